#ifndef CH_SYNCD_H
#define CH_SYNCD_H

#include "proc.h"

/*
 * The syncd process, which manages configuration, membership, claims and
 * records.
 */
struct syncd;

struct syncd_settings {
	/* All "ip:port"; list_address may be NULL. */
	const char *listen;
	const char *operator_address;
	const char *kv_address;
	const char *list_address;
	/* Comma-separated addresses, or NULL. */
	const char *seed_peers;
	uint32_t claim_buckets;
	uint32_t claim_slots;
	int64_t claim_interval_usec;
	int64_t lease_usec;
	int64_t heartbeat_usec;
};

enum status syncd_create(
    struct proc *, const struct syncd_settings *, struct syncd **);
void syncd_destroy(struct syncd *);
uint16_t syncd_frames_port(const struct syncd *);
uint16_t syncd_operator_port(const struct syncd *);
json_t *syncd_dump(void *);
bool syncd_ready(void *);
void syncd_drain(void *);

#endif
