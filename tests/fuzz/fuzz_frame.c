#include <stdlib.h>
#include <string.h>

#include "frame.h"
#include "fuzz.h"

static const uint8_t fuzz_key[FRAME_KEY_BYTES] = {1};

/*
 * Unpacks the input as a decrypted message and packs it again. Guards against
 * crashes caused by a peer that has the cluster key and sends a malformed
 * message.
 */
static void
fuzz_unpack(const uint8_t *data, size_t size)
{
	Ch__Frame *frame = ch__frame__unpack(NULL, size, data);
	uint8_t *packed;
	size_t len;

	if (frame == NULL)
		return;
	len = ch__frame__get_packed_size(frame);
	packed = malloc(len + 1);
	if (packed == NULL || ch__frame__pack(frame, packed) != len)
		abort();
	free(packed);
	ch__frame__free_unpacked(frame, NULL);
}

/*
 * Reads messages until more bytes are needed or the connection fails.
 */
static void
read_all(struct frame_codec *codec, struct lstr_buf *in, struct lstr_buf *reply)
{
	Ch__Frame *frame;
	size_t before;

	do {
		before = in->len;
		if (frame_read(codec, in, &frame, reply) != STATUS_OK)
			return;
		if (frame != NULL)
			ch__frame__free_unpacked(frame, NULL);
	} while (in->len < before);
}

/*
 * Reads the input as the bytes that follow a valid handshake, or, if handshake
 * is false, as the first bytes of a connection. Guards against crashes caused
 * by a peer without the cluster key.
 */
static void
fuzz_codec(const uint8_t *data, size_t size, bool handshake)
{
	struct frame_codec *server = NULL;
	struct frame_codec *client = NULL;
	struct lstr_buf to_server = {0};
	struct lstr_buf to_client = {0};

	if (frame_codec_create(fuzz_key, false, &server) != STATUS_OK ||
	    frame_codec_create(fuzz_key, true, &client) != STATUS_OK)
		abort();
	if (handshake) {
		frame_write_preface(client, &to_server);
		frame_write_preface(server, &to_client);
		read_all(client, &to_client, &to_server);
		read_all(server, &to_server, &to_client);
	}
	lstr_buf_append(&to_server, lstr_make(data, size));
	read_all(server, &to_server, &to_client);
	frame_codec_destroy(server);
	frame_codec_destroy(client);
	lstr_buf_free(&to_server);
	lstr_buf_free(&to_client);
}

/*
 * Passes one input to the message decoder and to the codec, before and after
 * the handshake.
 */
int
/* NOLINTNEXTLINE(readability-identifier-naming) */
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	fuzz_unpack(data, size);
	fuzz_codec(data, size, false);
	fuzz_codec(data, size, true);
	return 0;
}
