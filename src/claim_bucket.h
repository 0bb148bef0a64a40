#ifndef CH_CLAIM_BUCKET_H
#define CH_CLAIM_BUCKET_H

#include <glib.h>

#include "claim_inflight.h"

/* Delay before a failed call to the key-value service is repeated. */
#define CLAIM_RETRY_USEC ((int64_t)200000)

enum claim_bucket_state {
	/* Reading the log from the key-value service. */
	CLAIM_BUCKET_LOADING,
	/* The log is up to date and no batch is in flight. */
	CLAIM_BUCKET_READY,
	/* Writing the batch in flight. */
	CLAIM_BUCKET_COMMITTING,
	/* Reading the slot back to find out whether the batch was written. */
	CLAIM_BUCKET_DECIDING
};

/* One bucket: its log, the waiting requests and reports, and the batch. */
struct claim_bucket {
	struct claim *claim;
	uint32_t index;
	enum claim_bucket_state state;
	struct claim_log *log;
	bool ring_read;
	/* Ticket of the pending call; 0 when there is none. */
	uint64_t ticket;
	int64_t retry_at;
	int64_t commit_at;
	/* Next check of the deadlines; ignored while no request waits. */
	int64_t check_at;
	GQueue requests;
	GQueue reports;
	struct claim_inflight inflight;
};

struct claim {
	struct claim_settings settings;
	/* Maps bucket index to struct claim_bucket. */
	GHashTable *buckets;
	GQueue actions;
	uint64_t last_ticket;
	uint64_t last_batch;
	struct claim_counts counts;
};

void claim_bucket_reply(struct claim_bucket *, const struct claim_request *,
    Ch__ClaimResult, const struct claim_record *);
void claim_bucket_refuse_waiting(struct claim_bucket *);
void claim_bucket_refuse_in_flight(struct claim_bucket *, int64_t);
int64_t claim_bucket_commit_due_at(const struct claim_bucket *, bool);
void claim_bucket_write_batch(struct claim_bucket *);
void claim_bucket_requeue_batch(struct claim_bucket *);
void claim_bucket_complete_batch(struct claim_bucket *, uint64_t, int64_t);
void claim_bucket_reload(struct claim_bucket *);
void claim_bucket_resolve_batch(
    struct claim_bucket *, uint64_t, struct lstr, int64_t);
void claim_bucket_step(struct claim_bucket *, int64_t);

#endif
