#ifndef CH_CLAIM_INFLIGHT_H
#define CH_CLAIM_INFLIGHT_H

#include <glib.h>

#include "claim_log.h"

struct claim_waiting_request {
	struct claim_request request;
	/* The reply was sent although the batch is still in flight. */
	bool replied;
};

struct claim_waiting_report {
	struct claim_report report;
	/* When the report arrived. */
	int64_t since;
};

/* The batch in flight. Kept until it is known whether it was written. */
struct claim_inflight {
	Ch__ClaimBatch *batch;
	uint8_t *packed;
	size_t packed_len;
	uint32_t slot;
	uint64_t version;
	/* The result of a write is unknown, so the batch may be stored. */
	bool ambiguous;
	GQueue requests;
	GQueue reports;
};

void claim_inflight_build(struct claim_inflight *, const struct claim_log *,
    const uint64_t[2], GQueue *, GQueue *);
void claim_inflight_clear(struct claim_inflight *);

#endif
