/*
 * Measures the cost of one Token message through the frame codec: packing,
 * encryption, and reading from a buffer filled with chunks of 64 KB, as a
 * link does. Prints nanoseconds of processor time for each message.
 */
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "frame.h"

#define MESSAGES 200000
#define CHUNK_BYTES ((size_t)65536)
#define NSEC_PER_SEC 1e9

static const uint8_t key[FRAME_KEY_BYTES] = {1};

/*
 * Connects two codecs.
 */
static void
handshake(struct frame_codec *client, struct frame_codec *server)
{
	struct lstr_buf a = {0};
	struct lstr_buf b = {0};
	Ch__Frame *frame = NULL;

	frame_write_preface(client, &b);
	frame_write_preface(server, &a);
	frame_read(client, &a, &frame, &b);
	frame_read(server, &b, &frame, &a);
	frame_read(client, &a, &frame, &b);
	lstr_buf_free(&a);
	lstr_buf_free(&b);
}

/*
 * Returns processor time in nanoseconds.
 */
static double
processor_time(void)
{
	return (double)clock() / CLOCKS_PER_SEC * NSEC_PER_SEC;
}

/*
 * Writes all messages into one buffer.
 */
static void
write_messages(struct frame_codec *codec, struct lstr_buf *wire)
{
	Ch__Frame frame = CH__FRAME__INIT;
	Ch__Token token = CH__TOKEN__INIT;
	uint8_t text[] = "word";

	frame.kind_case = CH__FRAME__KIND_TOKEN;
	frame.token = &token;
	token.text.data = text;
	token.text.len = sizeof(text) - 1;
	for (uint32_t i = 0; i < MESSAGES; i++) {
		token.stream = 12345;
		token.position = i;
		frame_write(codec, &frame, wire);
	}
}

/*
 * Reads all messages in chunks; returns how many there were.
 */
static uint32_t
read_messages(struct frame_codec *codec, struct lstr wire)
{
	struct lstr_buf in = {0};
	struct lstr_buf reply = {0};
	uint32_t count = 0;

	for (size_t at = 0; at < wire.len; at += CHUNK_BYTES) {
		size_t len =
		    wire.len - at < CHUNK_BYTES ? wire.len - at : CHUNK_BYTES;
		Ch__Frame *frame = NULL;

		lstr_buf_append(&in, lstr_make(wire.data + at, len));
		while (frame_read(codec, &in, &frame, &reply) == STATUS_OK &&
		    frame != NULL) {
			count++;
			ch__frame__free_unpacked(frame, NULL);
		}
	}
	lstr_buf_free(&in);
	return count;
}

/*
 * Prints the cost of writing and of reading.
 */
int
main(void)
{
	struct frame_codec *client = NULL;
	struct frame_codec *server = NULL;
	struct lstr_buf wire = {0};
	double start;
	double middle;
	double end;
	uint32_t count;

	frame_codec_create(key, true, &client);
	frame_codec_create(key, false, &server);
	handshake(client, server);
	start = processor_time();
	write_messages(client, &wire);
	middle = processor_time();
	count = read_messages(server, lstr_buf_view(&wire));
	end = processor_time();
	printf("messages=%u bytes_each=%.1f write_ns=%.0f read_ns=%.0f\n",
	    count, (double)wire.len / MESSAGES, (middle - start) / MESSAGES,
	    (end - middle) / MESSAGES);
	lstr_buf_free(&wire);
	frame_codec_destroy(client);
	frame_codec_destroy(server);
	return count == MESSAGES ? EXIT_SUCCESS : EXIT_FAILURE;
}
