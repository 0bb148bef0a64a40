#ifndef CH_CLAIM_FLIGHT_H
#define CH_CLAIM_FLIGHT_H

#include <glib.h>

#include "claim_log.h"

struct claim_waiting_request {
	struct claim_request request;
	/* Answered already, while its batch is still in flight. */
	bool answered;
};

struct claim_waiting_report {
	struct claim_report report;
	int64_t since;
};

/* The batch in flight. Kept until it is decided whether it was written. */
struct claim_flight {
	Ch__ClaimBatch *batch;
	uint8_t *packed;
	size_t packed_len;
	uint32_t slot;
	uint64_t version;
	/* An attempt had no clear answer. */
	bool ambiguous;
	GQueue requests;
	GQueue reports;
};

void claim_flight_build(struct claim_flight *, const struct claim_log *,
    const uint64_t[2], GQueue *, GQueue *);
void claim_flight_clear(struct claim_flight *);

#endif
