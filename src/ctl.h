#ifndef CH_CTL_H
#define CH_CTL_H

#include <jansson.h>

#include "loop.h"
#include "lstr.h"
#include "settings.h"

/* Exit codes of chestnuthoistctl; see docs/operators.md. */
enum ctl_exit {
	CTL_EXIT_OK = 0,
	CTL_EXIT_FAILED = 1,
	CTL_EXIT_USAGE = 2,
	CTL_EXIT_CONFLICT = 3,
	CTL_EXIT_INVALID = 4,
	CTL_EXIT_UNAVAILABLE = 5,
	CTL_EXIT_UNKNOWN = 6,
	CTL_EXIT_RECORD = 7
};

/* Flags of all commands; texts that were not given are NULL. */
struct ctl_options {
	const char *syncd;
	const char *inventory;
	const char *rules;
	const char *base;
	const char *node;
	int64_t timeout_usec;
};

/* One invocation of chestnuthoistctl, with its HTTP client. */
struct ctl;

/* A command; name is its words, separated by single spaces. */
struct ctl_command {
	const char *name;
	int argument_count;
	/* The command reads only files and needs no syncd. */
	bool local;
	enum ctl_exit (*run)(struct ctl *, char **arguments);
};

/* The result of a call to the syncd. The caller releases json if not NULL. */
struct ctl_response {
	enum status status;
	bool maybe_sent;
	long http_status;
	json_t *json;
};

extern const struct ctl_command ctl_apply_command;
extern const struct ctl_command ctl_show_command;
extern const struct ctl_command ctl_status_command;
extern const struct ctl_command ctl_record_verify_command;
extern const struct ctl_command ctl_record_explain_command;
extern const struct ctl_command ctl_explain_command;
extern const struct ctl_command ctl_order_verify_command;
extern const struct ctl_command ctl_order_compare_command;

enum status ctl_create(
    struct loop *, const struct ctl_options *, struct ctl **);
void ctl_destroy(struct ctl *);
const struct ctl_options *ctl_options(const struct ctl *);
void ctl_call(struct ctl *, const char *method, const char *path, struct lstr,
    struct ctl_response *);
enum ctl_exit ctl_get(struct ctl *, const char *path, json_t **);
void ctl_error(const char *, ...) __attribute__((format(printf, 1, 2)));
enum ctl_exit ctl_run(
    struct ctl *, const struct ctl_command *const *, int, char **);

#endif
