#ifndef CH_CTL_LINES_H
#define CH_CTL_LINES_H

#include <stdbool.h>

#include <glib.h>
#include <jansson.h>

#include "ctl.h"

/* A line of a node log, as chestnuthoistctl reads it from a file. */
struct ctl_line {
	json_t *json;
	/* Unix time in milliseconds, by the clock of the node; 0: unknown. */
	int64_t time_msec;
};

/* Returns true if a line is to be kept. */
typedef bool (*ctl_line_filter)(const json_t *, void *arg);

enum ctl_exit ctl_lines_read(
    const char *path, ctl_line_filter, void *arg, GPtrArray **);
const char *ctl_line_text(const struct ctl_line *, const char *name);
int64_t ctl_line_number(const struct ctl_line *, const char *name);

#endif
