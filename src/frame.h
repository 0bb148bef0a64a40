#ifndef CH_FRAME_H
#define CH_FRAME_H

#include <stdbool.h>
#include <stdint.h>

#include "chestnuthoist.pb-c.h"

#include "lstr.h"

#define FRAME_KEY_BYTES 32
/* Maximum size of a packed message. */
#define FRAME_MAX_BYTES (1024 * 1024)

/*
 * The encryption and compression state of one connection. frame_read() decodes
 * bytes from the peer; frame_write() encodes messages to it.
 */
struct frame_codec;

enum status frame_key_from_hex(const char *, uint8_t[FRAME_KEY_BYTES]);
enum status frame_codec_create(
    const uint8_t[FRAME_KEY_BYTES], bool, struct frame_codec **);
void frame_codec_destroy(struct frame_codec *);
enum status frame_write_preface(struct frame_codec *, struct lstr_buf *);
enum status frame_enable_compression(struct frame_codec *);
bool frame_is_ready(const struct frame_codec *);
void frame_set_max(struct frame_codec *, size_t);
enum status frame_write(
    struct frame_codec *, const Ch__Frame *, struct lstr_buf *);
enum status frame_read(
    struct frame_codec *, struct lstr_buf *, Ch__Frame **, struct lstr_buf *);

#endif
