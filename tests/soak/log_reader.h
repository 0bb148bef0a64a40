#ifndef CH_SOAK_LOG_READER_H
#define CH_SOAK_LOG_READER_H

#include <stdbool.h>
#include <stdio.h>

/* Reads the lines that a node adds to its log. */
struct log_reader {
	const char *path;
	long offset;
};

/* Reads the next whole line, without its end, into text. */
bool log_reader_next(struct log_reader *, char *text, size_t size);
/* Copies the value of a string field of a line. */
bool log_find_string(
    const char *line, const char *field, char *value, size_t size);

#endif
