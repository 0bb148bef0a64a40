#ifndef CH_CLAIM_BUCKET_H
#define CH_CLAIM_BUCKET_H

#include <glib.h>

#include "claim_flight.h"

/* Wait after a failed call of the key-value service. */
#define CLAIM_RETRY_USEC ((int64_t)200000)

enum claim_bucket_state {
	CLAIM_BUCKET_LOADING,
	CLAIM_BUCKET_READY,
	CLAIM_BUCKET_COMMITTING,
	CLAIM_BUCKET_DECIDING
};

struct claim_bucket {
	struct claim *claim;
	uint32_t index;
	enum claim_bucket_state state;
	struct claim_log *log;
	bool ring_read;
	/* Ticket of the call that is awaited; 0 for none. */
	uint64_t ticket;
	int64_t retry_at;
	int64_t commit_at;
	/* Next check of deadlines; INT64_MAX while nothing waits. */
	int64_t check_at;
	GQueue requests;
	GQueue reports;
	struct claim_flight flight;
};

struct claim {
	struct claim_settings settings;
	/* Index to struct claim_bucket. */
	GHashTable *buckets;
	GQueue actions;
	uint64_t last_ticket;
	uint64_t last_batch;
	struct claim_counts counts;
};

void claim_bucket_reply(struct claim_bucket *, const struct claim_request *,
    Ch__ClaimResult, const struct claim_known *);
void claim_bucket_refuse_waiting(struct claim_bucket *);
void claim_bucket_refuse_in_flight(struct claim_bucket *, int64_t);
int64_t claim_bucket_commit_due_at(const struct claim_bucket *, bool);
void claim_bucket_swap(struct claim_bucket *);
void claim_bucket_flight_return(struct claim_bucket *);
void claim_bucket_flight_written(struct claim_bucket *, uint64_t, int64_t);
void claim_bucket_reload(struct claim_bucket *);
void claim_bucket_decide_flight(
    struct claim_bucket *, uint64_t, struct lstr, int64_t);
void claim_bucket_step(struct claim_bucket *, int64_t);

#endif
