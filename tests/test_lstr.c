#include "harness.h"

#include <glib.h>

#include "lstr.h"

#define ROUNDS 20000
#define STEP_MAX 300
#define SEED 7

/* Guards against losing or reordering bytes when a buffer moves its data. */
START_TEST(buffer_keeps_byte_order)
{
	GRand *rand = g_rand_new_with_seed(SEED);
	struct lstr_buf buf = {0};
	uint8_t written = 0;
	uint8_t read = 0;

	for (int i = 0; i < ROUNDS; i++) {
		size_t add = (size_t)g_rand_int_range(rand, 0, STEP_MAX);
		size_t drop = (size_t)g_rand_int_range(rand, 0, STEP_MAX);

		for (size_t k = 0; k < add; k++, written++)
			lstr_buf_append(&buf, lstr_make(&written, 1));
		if (drop > buf.len)
			drop = buf.len;
		for (size_t k = 0; k < drop; k++, read++)
			ck_assert_uint_eq((uint8_t)buf.data[k], read);
		lstr_buf_consume(&buf, drop);
	}
	lstr_buf_free(&buf);
	g_rand_free(rand);
}
END_TEST

/* Guards against a buffer that keeps growing while its contents are small. */
START_TEST(consumed_space_is_reused)
{
	struct lstr_buf buf = {0};

	for (int i = 0; i < ROUNDS; i++) {
		lstr_buf_append(&buf, lstr_from("0123456789"));
		lstr_buf_consume(&buf, i % 2 ? 10 : 5);
		if (buf.len > 100)
			lstr_buf_consume(&buf, buf.len);
	}
	ck_assert_uint_le(buf.size, 4096);
	lstr_buf_free(&buf);
}
END_TEST

/* Guards against accepting strings that are not decimal integers. */
START_TEST(malformed_integers_are_rejected)
{
	int64_t value = 0;

	ck_assert_int_eq(lstr_to_int64(lstr_from("-42"), &value), STATUS_OK);
	ck_assert_int_eq(value, -42);
	ck_assert_int_eq(
	    lstr_to_int64(lstr_from("4 2"), &value), STATUS_INVALID);
	ck_assert_int_eq(lstr_to_int64(lstr_from(""), &value), STATUS_INVALID);
	ck_assert_int_eq(
	    lstr_to_int64(lstr_from(" 4"), &value), STATUS_INVALID);
	ck_assert_int_eq(
	    lstr_to_int64(lstr_from("99999999999999999999"), &value),
	    STATUS_INVALID);
}
END_TEST

/* Guards against bytes that are lost or moved when text is put before contents
 * of which a part has been consumed. */
START_TEST(prepended_text_precedes_the_contents)
{
	struct lstr_buf buf = {0};

	for (int i = 0; i < 300; i++)
		ck_assert_int_eq(
		    lstr_buf_append(&buf, lstr_from("x")), STATUS_OK);
	lstr_buf_consume(&buf, 299);
	ck_assert_int_eq(lstr_buf_prepend(&buf, lstr_from("head ")), STATUS_OK);
	ck_assert(lstr_equal_c(lstr_buf_view(&buf), "head x"));
	lstr_buf_free(&buf);
	ck_assert_int_eq(lstr_buf_prepend(&buf, lstr_from("only")), STATUS_OK);
	ck_assert(lstr_equal_c(lstr_buf_view(&buf), "only"));
	lstr_buf_free(&buf);
}
END_TEST

HARNESS_MAIN("lstr", buffer_keeps_byte_order, consumed_space_is_reused,
    malformed_integers_are_rejected, prepended_text_precedes_the_contents)
