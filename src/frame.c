#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include <arpa/inet.h>

#include <sodium.h>
#include <zstd.h>

#include "frame.h"

#define MAGIC "CHF1"
#define MAGIC_BYTES 4
#define NONCE_BYTES 32
#define PREFACE_BYTES (MAGIC_BYTES + NONCE_BYTES)
#define LENGTH_BYTES 4
#define HEADER_BYTES crypto_secretstream_xchacha20poly1305_HEADERBYTES
/* The first byte of each plaintext states the coding of the message. */
#define CODING_BYTES 1
#define CODING_PLAIN 0
#define CODING_ZSTD 1
#define COMPRESSION_LEVEL 3
/*
 * A window of 32 KB covers the last few hundred control messages. A syncd has
 * about a hundred links, so larger windows would use too much memory.
 */
#define COMPRESSION_WINDOW_LOG 15
/* 8,192 entries; the default tables would use 1 MB for each link. */
#define COMPRESSION_TABLE_LOG 13
#define OVERHEAD_BYTES crypto_secretstream_xchacha20poly1305_ABYTES

/* Maximum ciphertext size: incompressible data grows by less than 1/128. */
#define WIRE_MAX_BYTES                                                         \
	(FRAME_MAX_BYTES + FRAME_MAX_BYTES / 128 + 512 + OVERHEAD_BYTES)

enum read_state {
	READ_PREFACE,
	READ_HEADER,
	READ_FRAMES
};

struct frame_codec {
	uint8_t key[FRAME_KEY_BYTES];
	uint8_t own_nonce[NONCE_BYTES];
	uint8_t peer_nonce[NONCE_BYTES];
	bool client;
	enum read_state read_state;
	/* Largest ciphertext that is accepted. */
	size_t wire_max;
	crypto_secretstream_xchacha20poly1305_state push;
	crypto_secretstream_xchacha20poly1305_state pull;
	/* One stream per direction, so that its messages share a window. */
	ZSTD_CCtx *compressor;
	ZSTD_DCtx *decompressor;
};

/*
 * Parses a cluster key of 64 hexadecimal digits. Returns STATUS_INVALID for
 * anything else.
 */
enum status
frame_key_from_hex(const char *hex, uint8_t key[FRAME_KEY_BYTES])
{
	size_t len = 0;

	if (sodium_hex2bin(key, FRAME_KEY_BYTES, hex, strlen(hex), NULL, &len,
		NULL) != 0 ||
	    len != FRAME_KEY_BYTES)
		return status_set(
		    STATUS_INVALID, "cluster key is not 64 hex digits");
	return STATUS_OK;
}

/*
 * Creates the codec of one connection. client is true on the end that opened
 * the connection; each direction uses a key of its own.
 */
enum status
frame_codec_create(
    const uint8_t key[FRAME_KEY_BYTES], bool client, struct frame_codec **out)
{
	struct frame_codec *codec;

	if (sodium_init() < 0)
		return status_set(STATUS_IO, "libsodium cannot start");
	codec = calloc(1, sizeof(*codec));
	if (codec == NULL)
		return status_set(STATUS_NO_MEMORY, "frame codec");
	memcpy(codec->key, key, FRAME_KEY_BYTES);
	codec->client = client;
	codec->wire_max = WIRE_MAX_BYTES;
	randombytes_buf(codec->own_nonce, NONCE_BYTES);
	*out = codec;
	return STATUS_OK;
}

/*
 * Erases the keys of a codec and frees it. NULL is allowed.
 */
void
frame_codec_destroy(struct frame_codec *codec)
{
	if (codec == NULL)
		return;
	ZSTD_freeCCtx(codec->compressor);
	ZSTD_freeDCtx(codec->decompressor);
	sodium_memzero(codec, sizeof(*codec));
	free(codec);
}

/*
 * Appends the preface, which is the first data sent on a connection.
 */
enum status
frame_write_preface(struct frame_codec *codec, struct lstr_buf *out)
{
	enum status status = lstr_buf_append(out, lstr_from(MAGIC));

	if (status != STATUS_OK)
		return status;
	return lstr_buf_append(out, lstr_make(codec->own_nonce, NONCE_BYTES));
}

/*
 * Returns whether the handshake of prefaces and stream headers is complete, so
 * that messages can be written.
 */
bool
frame_is_ready(const struct frame_codec *codec)
{
	return codec->read_state == READ_FRAMES;
}

/*
 * Limits the messages that are accepted from now on, so that a peer that is not
 * authenticated yet makes the receiver keep little.
 */
void
frame_set_max(struct frame_codec *codec, size_t max)
{
	codec->wire_max = max < WIRE_MAX_BYTES - OVERHEAD_BYTES
	    ? max + OVERHEAD_BYTES
	    : WIRE_MAX_BYTES;
}

/*
 * Derives the key of one direction from the cluster key and both nonces.
 */
static void
derive_key(
    const struct frame_codec *codec, bool from_client, uint8_t *direction_key)
{
	const uint8_t *client_nonce =
	    codec->client ? codec->own_nonce : codec->peer_nonce;
	const uint8_t *server_nonce =
	    codec->client ? codec->peer_nonce : codec->own_nonce;
	uint8_t label = from_client ? 'c' : 's';
	crypto_generichash_state state;

	crypto_generichash_init(&state, codec->key, FRAME_KEY_BYTES,
	    crypto_secretstream_xchacha20poly1305_KEYBYTES);
	crypto_generichash_update(&state, &label, 1);
	crypto_generichash_update(&state, client_nonce, NONCE_BYTES);
	crypto_generichash_update(&state, server_nonce, NONCE_BYTES);
	crypto_generichash_final(&state, direction_key,
	    crypto_secretstream_xchacha20poly1305_KEYBYTES);
}

/*
 * Processes the peer's preface and appends this end's stream header to reply.
 */
static enum status
read_preface(
    struct frame_codec *codec, struct lstr_buf *in, struct lstr_buf *reply)
{
	uint8_t key[crypto_secretstream_xchacha20poly1305_KEYBYTES];
	uint8_t header[HEADER_BYTES];

	if (memcmp(in->data, MAGIC, MAGIC_BYTES) != 0)
		return status_set(
		    STATUS_DENIED, "peer does not speak this protocol");
	memcpy(codec->peer_nonce, in->data + MAGIC_BYTES, NONCE_BYTES);
	lstr_buf_consume(in, PREFACE_BYTES);
	if (memcmp(codec->peer_nonce, codec->own_nonce, NONCE_BYTES) == 0)
		return status_set(STATUS_DENIED, "peer reflects the nonce");
	derive_key(codec, codec->client, key);
	crypto_secretstream_xchacha20poly1305_init_push(
	    &codec->push, header, key);
	sodium_memzero(key, sizeof(key));
	codec->read_state = READ_HEADER;
	return lstr_buf_append(reply, lstr_make(header, HEADER_BYTES));
}

/*
 * Processes the peer's stream header.
 */
static enum status
read_header(struct frame_codec *codec, struct lstr_buf *in)
{
	uint8_t key[crypto_secretstream_xchacha20poly1305_KEYBYTES];
	int rc;

	derive_key(codec, !codec->client, key);
	rc = crypto_secretstream_xchacha20poly1305_init_pull(
	    &codec->pull, (const uint8_t *)in->data, key);
	sodium_memzero(key, sizeof(key));
	lstr_buf_consume(in, HEADER_BYTES);
	if (rc != 0)
		return status_set(STATUS_DENIED, "bad stream header");
	codec->read_state = READ_FRAMES;
	return STATUS_OK;
}

/*
 * Enables compression of the messages written from now on. The peer must have
 * announced that it accepts them. Control messages repeat names and addresses,
 * so all messages of the link share one window.
 */
enum status
frame_enable_compression(struct frame_codec *codec)
{
	if (codec->compressor != NULL)
		return STATUS_OK;
	codec->compressor = ZSTD_createCCtx();
	if (codec->compressor == NULL)
		return status_set(STATUS_NO_MEMORY, "compressor");
	ZSTD_CCtx_setParameter(
	    codec->compressor, ZSTD_c_compressionLevel, COMPRESSION_LEVEL);
	ZSTD_CCtx_setParameter(
	    codec->compressor, ZSTD_c_windowLog, COMPRESSION_WINDOW_LOG);
	ZSTD_CCtx_setParameter(
	    codec->compressor, ZSTD_c_hashLog, COMPRESSION_TABLE_LOG);
	ZSTD_CCtx_setParameter(
	    codec->compressor, ZSTD_c_chainLog, COMPRESSION_TABLE_LOG);
	return STATUS_OK;
}

/*
 * Writes the coding byte and the compressed message to plain, flushed so that
 * the reader can decompress all of it. plain must have space for
 * CODING_BYTES + ZSTD_compressBound(len) bytes.
 */
static enum status
compress_message(struct frame_codec *codec, const uint8_t *packed, size_t len,
    uint8_t *plain, size_t *plain_len)
{
	ZSTD_inBuffer in = {packed, len, 0};
	ZSTD_outBuffer out = {plain + CODING_BYTES, ZSTD_compressBound(len), 0};
	size_t left =
	    ZSTD_compressStream2(codec->compressor, &out, &in, ZSTD_e_flush);

	if (ZSTD_isError(left) || left != 0)
		return status_set(STATUS_IO, "message cannot be compressed");
	plain[0] = CODING_ZSTD;
	*plain_len = CODING_BYTES + out.pos;
	return STATUS_OK;
}

/*
 * Encrypts a plaintext and appends its wire length and the ciphertext.
 */
static enum status
encrypt_frame(struct frame_codec *codec, const uint8_t *plain, size_t len,
    uint8_t *cipher, struct lstr_buf *out)
{
	uint32_t wire_length = htonl((uint32_t)(len + OVERHEAD_BYTES));
	enum status status;

	crypto_secretstream_xchacha20poly1305_push(&codec->push, cipher, NULL,
	    plain, len, NULL, 0,
	    crypto_secretstream_xchacha20poly1305_TAG_MESSAGE);
	status = lstr_buf_append(out, lstr_make(&wire_length, LENGTH_BYTES));
	if (status == STATUS_OK)
		status = lstr_buf_append(
		    out, lstr_make(cipher, len + OVERHEAD_BYTES));
	return status;
}

/*
 * Compresses (if enabled), encrypts and appends one message. Returns
 * STATUS_FULL if the message is larger than FRAME_MAX_BYTES, in which case
 * nothing is appended. After any other failure the connection must be closed.
 */
enum status
frame_write(
    struct frame_codec *codec, const Ch__Frame *frame, struct lstr_buf *out)
{
	size_t len = ch__frame__get_packed_size(frame);
	size_t bound = CODING_BYTES + ZSTD_compressBound(len);
	size_t plain_len = CODING_BYTES + len;
	enum status status = STATUS_OK;
	uint8_t *buffer;
	uint8_t *plain;

	assert(frame_is_ready(codec));
	if (len > FRAME_MAX_BYTES)
		return status_set(
		    STATUS_FULL, "message of %zu bytes is too large", len);
	buffer = malloc(len + 2 * bound + OVERHEAD_BYTES);
	if (buffer == NULL)
		return status_set(STATUS_NO_MEMORY, "message");
	plain = buffer + len;
	if (codec->compressor != NULL) {
		ch__frame__pack(frame, buffer);
		status =
		    compress_message(codec, buffer, len, plain, &plain_len);
	} else {
		plain[0] = CODING_PLAIN;
		ch__frame__pack(frame, plain + CODING_BYTES);
	}
	if (status == STATUS_OK)
		status =
		    encrypt_frame(codec, plain, plain_len, plain + bound, out);
	free(buffer);
	return status;
}

/*
 * Decompresses one message into a buffer that the caller frees. Returns
 * STATUS_INVALID for a message that would exceed FRAME_MAX_BYTES.
 */
static enum status
decompress_message(struct frame_codec *codec, const uint8_t *data, size_t len,
    struct lstr_buf *message)
{
	uint8_t chunk[ZSTD_BLOCKSIZE_MAX / 8];
	ZSTD_inBuffer in = {data, len, 0};
	ZSTD_outBuffer out = {chunk, sizeof(chunk), 0};

	if (codec->decompressor == NULL)
		codec->decompressor = ZSTD_createDCtx();
	if (codec->decompressor == NULL)
		return status_set(STATUS_NO_MEMORY, "decompressor");
	do {
		size_t rc;

		out.pos = 0;
		rc = ZSTD_decompressStream(codec->decompressor, &out, &in);
		if (ZSTD_isError(rc) ||
		    message->len + out.pos > FRAME_MAX_BYTES)
			return status_set(
			    STATUS_INVALID, "message cannot be decompressed");
		if (lstr_buf_append(message, lstr_make(chunk, out.pos)) !=
		    STATUS_OK)
			return STATUS_NO_MEMORY;
	} while (in.pos < in.size || out.pos == out.size);
	return STATUS_OK;
}

/*
 * Decompresses, if necessary, and unpacks the message of a plaintext.
 */
static enum status
decode_message(struct frame_codec *codec, const uint8_t *plain, size_t len,
    Ch__Frame **out)
{
	struct lstr_buf message = {0};
	enum status status = STATUS_OK;

	*out = NULL;
	if (len < CODING_BYTES || plain[0] > CODING_ZSTD)
		return status_set(STATUS_INVALID, "unknown message coding");
	if (plain[0] == CODING_PLAIN) {
		*out = ch__frame__unpack(
		    NULL, len - CODING_BYTES, plain + CODING_BYTES);
	} else {
		status = decompress_message(
		    codec, plain + CODING_BYTES, len - CODING_BYTES, &message);
		if (status == STATUS_OK)
			*out = ch__frame__unpack(
			    NULL, message.len, (uint8_t *)message.data);
		lstr_buf_free(&message);
	}
	if (status == STATUS_OK && *out == NULL)
		status = status_set(STATUS_INVALID, "message is malformed");
	return status;
}

/*
 * Decrypts and unpacks a message that has been received completely.
 */
static enum status
decrypt_frame(struct frame_codec *codec, const uint8_t *cipher, size_t len,
    Ch__Frame **out)
{
	uint8_t *plain = malloc(len - OVERHEAD_BYTES + 1);
	enum status status;
	unsigned char tag;

	if (plain == NULL)
		return status_set(STATUS_NO_MEMORY, "message");
	if (crypto_secretstream_xchacha20poly1305_pull(
		&codec->pull, plain, NULL, &tag, cipher, len, NULL, 0) != 0)
		status = status_set(STATUS_DENIED, "message is not authentic");
	else
		status =
		    decode_message(codec, plain, len - OVERHEAD_BYTES, out);
	free(plain);
	return status;
}

/*
 * Reads the next message from the received bytes and removes its bytes from in.
 * Sets *frame to NULL if more bytes are needed; otherwise the caller frees it
 * with ch__frame__free_unpacked(). Bytes that the handshake has to send are
 * appended to reply. On any status other than STATUS_OK the connection must be
 * closed.
 */
enum status
frame_read(struct frame_codec *codec, struct lstr_buf *in, Ch__Frame **frame,
    struct lstr_buf *reply)
{
	enum status status = STATUS_OK;
	uint32_t length;

	*frame = NULL;
	if (codec->read_state == READ_PREFACE && in->len >= PREFACE_BYTES)
		status = read_preface(codec, in, reply);
	if (status == STATUS_OK && codec->read_state == READ_HEADER &&
	    in->len >= HEADER_BYTES)
		status = read_header(codec, in);
	if (status != STATUS_OK || codec->read_state != READ_FRAMES ||
	    in->len < LENGTH_BYTES)
		return status;
	memcpy(&length, in->data, LENGTH_BYTES);
	length = ntohl(length);
	if (length < OVERHEAD_BYTES || length > codec->wire_max)
		return status_set(STATUS_INVALID,
		    "frame length of %u bytes is out of range", length);
	if (in->len < LENGTH_BYTES + (size_t)length)
		return STATUS_OK;
	status = decrypt_frame(
	    codec, (const uint8_t *)in->data + LENGTH_BYTES, length, frame);
	lstr_buf_consume(in, LENGTH_BYTES + (size_t)length);
	return status;
}
