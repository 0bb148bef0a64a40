#include "harness.h"

#include "frame.h"

static const uint8_t test_key[FRAME_KEY_BYTES] = {1, 2, 3};

/*
 * Two connected codecs and the bytes in transit to each of them.
 */
struct pair {
	struct frame_codec *client;
	struct frame_codec *server;
	struct lstr_buf to_client;
	struct lstr_buf to_server;
};

/*
 * Exchanges prefaces and headers between two codecs.
 */
static enum status
handshake(struct pair *p, const uint8_t *client_key, const uint8_t *server_key)
{
	Ch__Frame *frame = NULL;

	frame_codec_create(client_key, true, &p->client);
	frame_codec_create(server_key, false, &p->server);
	frame_write_preface(p->client, &p->to_server);
	frame_write_preface(p->server, &p->to_client);
	frame_read(p->client, &p->to_client, &frame, &p->to_server);
	frame_read(p->server, &p->to_server, &frame, &p->to_client);
	return frame_read(p->client, &p->to_client, &frame, &p->to_server);
}

/*
 * Frees a pair.
 */
static void
pair_free(struct pair *p)
{
	frame_codec_destroy(p->client);
	frame_codec_destroy(p->server);
	lstr_buf_free(&p->to_client);
	lstr_buf_free(&p->to_server);
}

/*
 * Queues a Cancel for the server.
 */
static void
write_cancel(struct pair *p, uint64_t stream)
{
	Ch__Frame frame = CH__FRAME__INIT;
	Ch__Cancel cancel = CH__CANCEL__INIT;

	cancel.stream = stream;
	frame.kind_case = CH__FRAME__KIND_CANCEL;
	frame.cancel = &cancel;
	ck_assert_int_eq(
	    frame_write(p->client, &frame, &p->to_server), STATUS_OK);
}

/* Guards against messages that are altered or reordered in transit. */
START_TEST(messages_arrive_in_order)
{
	struct pair p = {0};
	Ch__Frame *frame = NULL;

	ck_assert_int_eq(handshake(&p, test_key, test_key), STATUS_OK);
	write_cancel(&p, 7);
	write_cancel(&p, 8);
	for (uint64_t i = 7; i <= 8; i++) {
		ck_assert_int_eq(
		    frame_read(p.server, &p.to_server, &frame, &p.to_client),
		    STATUS_OK);
		ck_assert_ptr_nonnull(frame);
		ck_assert_uint_eq(frame->cancel->stream, i);
		ch__frame__free_unpacked(frame, NULL);
	}
	pair_free(&p);
}
END_TEST

/* Guards against reading a message before it is complete. */
START_TEST(partial_message_waits)
{
	struct pair p = {0};
	Ch__Frame *frame = NULL;

	ck_assert_int_eq(handshake(&p, test_key, test_key), STATUS_OK);
	write_cancel(&p, 7);
	p.to_server.len--;
	ck_assert_int_eq(
	    frame_read(p.server, &p.to_server, &frame, &p.to_client),
	    STATUS_OK);
	ck_assert_ptr_null(frame);
	pair_free(&p);
}
END_TEST

/* Guards against accepting a peer without the cluster key. */
START_TEST(other_key_is_refused)
{
	static const uint8_t other[FRAME_KEY_BYTES] = {9};
	struct pair p = {0};
	Ch__Frame *frame = NULL;

	ck_assert_int_eq(handshake(&p, other, test_key), STATUS_OK);
	write_cancel(&p, 7);
	ck_assert_int_eq(
	    frame_read(p.server, &p.to_server, &frame, &p.to_client),
	    STATUS_DENIED);
	pair_free(&p);
}
END_TEST

/* Guards against replay of a message by an attacker on the network. */
START_TEST(replayed_message_is_refused)
{
	struct pair p = {0};
	struct lstr_buf copy = {0};
	Ch__Frame *frame = NULL;

	ck_assert_int_eq(handshake(&p, test_key, test_key), STATUS_OK);
	write_cancel(&p, 7);
	lstr_buf_append(&copy, lstr_buf_view(&p.to_server));
	frame_read(p.server, &p.to_server, &frame, &p.to_client);
	ch__frame__free_unpacked(frame, NULL);
	ck_assert_int_eq(
	    frame_read(p.server, &copy, &frame, &p.to_client), STATUS_DENIED);
	lstr_buf_free(&copy);
	pair_free(&p);
}
END_TEST

/* Guards against unbounded memory use through a forged length. */
START_TEST(huge_length_is_refused)
{
	struct pair p = {0};
	Ch__Frame *frame = NULL;

	ck_assert_int_eq(handshake(&p, test_key, test_key), STATUS_OK);
	lstr_buf_append(&p.to_server, lstr_make("\xff\xff\xff\xff", 4));
	ck_assert_int_eq(
	    frame_read(p.server, &p.to_server, &frame, &p.to_client),
	    STATUS_INVALID);
	pair_free(&p);
}
END_TEST

/* Guards against corruption of messages by the shared compression window. */
START_TEST(compressed_messages_arrive_in_order)
{
	struct pair p = {0};
	Ch__Frame *frame = NULL;

	ck_assert_int_eq(handshake(&p, test_key, test_key), STATUS_OK);
	write_cancel(&p, 1);
	ck_assert_int_eq(frame_enable_compression(p.client), STATUS_OK);
	for (uint64_t i = 2; i <= 1000; i++)
		write_cancel(&p, i);
	for (uint64_t i = 1; i <= 1000; i++) {
		ck_assert_int_eq(
		    frame_read(p.server, &p.to_server, &frame, &p.to_client),
		    STATUS_OK);
		ck_assert_ptr_nonnull(frame);
		ck_assert_uint_eq(frame->cancel->stream, i);
		ch__frame__free_unpacked(frame, NULL);
	}
	pair_free(&p);
}
END_TEST

/* Guards against rejecting the largest message and against a wrong limit. */
START_TEST(largest_message_is_delivered_compressed)
{
	struct pair p = {0};
	Ch__Frame *received = NULL;
	Ch__Frame frame = CH__FRAME__INIT;
	Ch__RecordStore store = CH__RECORD_STORE__INIT;
	size_t len = FRAME_MAX_BYTES - 64;
	uint8_t *random = malloc(len);

	for (size_t i = 0; i < len; i++)
		random[i] = (uint8_t)((i * 2654435761u) >> 13);
	ck_assert_int_eq(handshake(&p, test_key, test_key), STATUS_OK);
	ck_assert_int_eq(frame_enable_compression(p.client), STATUS_OK);
	store.content.data = random;
	store.content.len = len;
	frame.kind_case = CH__FRAME__KIND_RECORD_STORE;
	frame.record_store = &store;
	ck_assert_int_eq(
	    frame_write(p.client, &frame, &p.to_server), STATUS_OK);
	ck_assert_int_eq(
	    frame_read(p.server, &p.to_server, &received, &p.to_client),
	    STATUS_OK);
	ck_assert_ptr_nonnull(received);
	ck_assert_mem_eq(received->record_store->content.data, random, len);
	ch__frame__free_unpacked(received, NULL);
	store.content.len = FRAME_MAX_BYTES;
	ck_assert_int_eq(
	    frame_write(p.client, &frame, &p.to_server), STATUS_FULL);
	free(random);
	pair_free(&p);
}
END_TEST

HARNESS_MAIN("frame", compressed_messages_arrive_in_order,
    largest_message_is_delivered_compressed, messages_arrive_in_order,
    partial_message_waits, other_key_is_refused, replayed_message_is_refused,
    huge_length_is_refused)
