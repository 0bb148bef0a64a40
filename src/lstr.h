#ifndef CH_LSTR_H
#define CH_LSTR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "status.h"

/* A view of a string that it does not own; not null-terminated. */
struct lstr {
	const char *data;
	size_t len;
};

/*
 * A growing buffer that owns its bytes. Zero-initialise before use; callers may
 * read data and len. The bytes from base to data have been consumed.
 */
struct lstr_buf {
	char *data;
	size_t len;
	char *base;
	size_t size;
};

/* Arguments for a "%.*s" conversion. */
#define LSTR_ARG(s) (int)(s).len, (s).data

struct lstr lstr_from(const char *);
struct lstr lstr_make(const void *, size_t);
bool lstr_equal(struct lstr, struct lstr);
bool lstr_equal_c(struct lstr, const char *);
bool lstr_starts_with(struct lstr, const char *);
char *lstr_dup_c(struct lstr);
enum status lstr_to_int64(struct lstr, int64_t *);

enum status lstr_buf_reserve(struct lstr_buf *, size_t size);
enum status lstr_buf_append(struct lstr_buf *, struct lstr);
enum status lstr_buf_prepend(struct lstr_buf *, struct lstr);
enum status lstr_buf_printf(struct lstr_buf *, const char *, ...)
    __attribute__((format(printf, 2, 3)));
void lstr_buf_consume(struct lstr_buf *, size_t);
void lstr_buf_clear(struct lstr_buf *);
void lstr_buf_free(struct lstr_buf *);
struct lstr lstr_buf_view(const struct lstr_buf *);

#endif
