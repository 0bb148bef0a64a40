#ifndef CH_CONF_H
#define CH_CONF_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

#include "chestnuthoist.pb-c.h"

#include "inventory.h"
#include "part.h"

/* Number of recent revisions kept so that receivers can be sent a delta. */
#define CONF_HISTORY_MAX 64
/* Target size of a frame; its last part may exceed it. */
#define CONF_FRAME_BYTES ((size_t)512 * 1024)
#define CONF_FRAMES_MAX 256
/* Maximum content of a transfer that is not yet active. */
#define CONF_TRANSFER_MAX_BYTES ((size_t)32 * 1024 * 1024)

/*
 * Result of applying an update. CONF_INCOMPLETE: the transfer needs further
 * frames; nothing has changed. CONF_STALE: the revision is not above the active
 * one. CONF_PULL_NEEDED: the update is not based on the active configuration;
 * send a ConfigPull with the revision from conf_pull_base_revision().
 * CONF_INVALID: the update was rejected, status_message() gives the reason;
 * nothing has changed.
 */
enum conf_result {
	CONF_APPLIED,
	CONF_INCOMPLETE,
	CONF_STALE,
	CONF_PULL_NEEDED,
	CONF_INVALID
};

/* The configuration of one process. Its revision never decreases. */
struct conf;

struct conf *conf_create(void);
void conf_destroy(struct conf *);
uint64_t conf_revision(const struct conf *);
const char *conf_change_id(const struct conf *);
const struct inv *conf_inventory(const struct conf *);
const struct part_set *conf_parts(const struct conf *);
enum conf_result conf_apply(struct conf *, const Ch__ConfigUpdate *);
enum conf_result conf_install(
    struct conf *, uint64_t, const char *, struct part_set *);
void conf_drop_previous(struct conf *);
uint64_t conf_pull_base_revision(const struct conf *);
size_t conf_reuse_parts(const struct conf *, const struct part_manifest *,
    struct part_set *, const struct part_manifest_entry **);
enum status conf_documents(const struct conf *, json_t **, json_t **);
json_t *conf_dump(const struct conf *);

/* The frames that update a receiver from its revision to the active one. */
struct conf_feed;

struct conf_feed *conf_feed_create(const struct conf *, uint64_t);
void conf_feed_destroy(struct conf_feed *);
bool conf_feed_is_full(const struct conf_feed *);
Ch__ConfigUpdate *conf_feed_next(struct conf_feed *);

#endif
