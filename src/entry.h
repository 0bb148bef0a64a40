#ifndef CH_ENTRY_H
#define CH_ENTRY_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

#include "proc.h"

struct entry_config {
	/* "ip:port"; port 0 lets the kernel choose. */
	const char *http_address;
	const char *syncd_address;
	int64_t validity_usec;
	/*
	 * Additional wait after validity_usec during a drain: entries that do
	 * not know yet that this one is leaving may still return its address.
	 */
	int64_t drain_extra_usec;
};

struct entry;

enum status entry_create(
    struct proc *, const struct entry_config *, struct entry **);
void entry_destroy(struct entry *);
const char *entry_address(const struct entry *);
bool entry_is_ready(const struct entry *);
void entry_drain(struct entry *);
json_t *entry_dump(struct entry *);

#endif
