#include <string.h>

#include "fuzz.h"
#include "record_chain.h"

/*
 * Verifies a chain of two segments: first both are the raw input, then both are
 * a signed segment with the input as its body. Guards against stored values
 * that crash the verifier.
 */
int
/* NOLINTNEXTLINE(readability-identifier-naming) */
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct lstr segments[2] = {
	    lstr_make(data, size), lstr_make(data, size)};
	Ch__RecordBody *body = ch__record_body__unpack(NULL, size, data);
	struct lstr_buf content = {0};
	struct rec_signer signer;
	struct rec_verify_report report;

	rec_verify(segments, 2, NULL, NULL, NULL, &report);
	if (body != NULL && rec_signer_create(&signer) == STATUS_OK &&
	    rec_segment_encode(body, &signer, &content) == STATUS_OK) {
		segments[0] = lstr_buf_view(&content);
		segments[1] = segments[0];
		rec_verify(segments, 2, NULL, NULL, NULL, &report);
	}
	lstr_buf_free(&content);
	ch__record_body__free_unpacked(body, NULL);
	return 0;
}
