#ifndef CH_CTL_LINES_H
#define CH_CTL_LINES_H

#include <stdbool.h>

#include <glib.h>
#include <jansson.h>

#include "ctl.h"

/* Lines of node logs, as chestnuthoistctl reads them from files. */
struct ctl_line {
	json_t *json;
	/* Milliseconds of the wall clock of the node that wrote it. */
	int64_t at;
};

/* Tells whether a line is wanted. */
typedef bool (*ctl_line_fn)(const json_t *, void *arg);

enum ctl_exit ctl_lines_read(
    const char *path, ctl_line_fn, void *arg, GPtrArray **);
const char *ctl_line_text(const struct ctl_line *, const char *name);
int64_t ctl_line_number(const struct ctl_line *, const char *name);

#endif
