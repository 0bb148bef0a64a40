/*
 * Measures the cost of one Token message in the frame codec: packing,
 * encryption, and reading from a buffer that is filled in chunks of 64 KB, as
 * on a link. Prints nanoseconds of processor time per message.
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
 * Completes the handshake between two codecs.
 */
static void
handshake(struct frame_codec *client, struct frame_codec *server)
{
	struct lstr_buf to_client = {0};
	struct lstr_buf to_server = {0};
	Ch__Frame *frame = NULL;

	frame_write_preface(client, &to_server);
	frame_write_preface(server, &to_client);
	frame_read(client, &to_client, &frame, &to_server);
	frame_read(server, &to_server, &frame, &to_client);
	frame_read(client, &to_client, &frame, &to_server);
	lstr_buf_free(&to_client);
	lstr_buf_free(&to_server);
}

/*
 * Returns the processor time of this process in nanoseconds.
 */
static double
cpu_nsec(void)
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
 * Reads all messages in chunks and returns their number.
 */
static uint32_t
read_messages(struct frame_codec *codec, struct lstr wire)
{
	struct lstr_buf in = {0};
	struct lstr_buf reply = {0};
	uint32_t count = 0;

	for (size_t offset = 0; offset < wire.len; offset += CHUNK_BYTES) {
		size_t len = wire.len - offset < CHUNK_BYTES ? wire.len - offset
							     : CHUNK_BYTES;
		Ch__Frame *frame = NULL;

		lstr_buf_append(&in, lstr_make(wire.data + offset, len));
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
 * Prints the cost of writing and reading a message. Fails if messages are
 * missing.
 */
int
main(void)
{
	struct frame_codec *client = NULL;
	struct frame_codec *server = NULL;
	struct lstr_buf wire = {0};
	double start;
	double write_end;
	double end;
	uint32_t count;

	frame_codec_create(key, true, &client);
	frame_codec_create(key, false, &server);
	handshake(client, server);
	start = cpu_nsec();
	write_messages(client, &wire);
	write_end = cpu_nsec();
	count = read_messages(server, lstr_buf_view(&wire));
	end = cpu_nsec();
	printf("messages=%u bytes_each=%.1f write_ns=%.0f read_ns=%.0f\n",
	    count, (double)wire.len / MESSAGES, (write_end - start) / MESSAGES,
	    (end - write_end) / MESSAGES);
	lstr_buf_free(&wire);
	frame_codec_destroy(client);
	frame_codec_destroy(server);
	return count == MESSAGES ? EXIT_SUCCESS : EXIT_FAILURE;
}
