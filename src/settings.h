#ifndef CH_SETTINGS_H
#define CH_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include "status.h"

#define CH_VERSION "0.1.0"

enum setting_kind {
	SETTING_TEXT,
	SETTING_INT,
	SETTING_BOOL,
	SETTING_ADDRESS,
	SETTING_KEY
};

/*
 * One setting. A table of settings ends with an entry whose name is NULL.
 * SETTING_ADDRESS is "ip:port"; SETTING_KEY is 64 hexadecimal digits. min and
 * max bound the value of SETTING_INT and the length of SETTING_TEXT (max 0
 * means unlimited). After settings_parse(), text or number holds the value.
 */
/* The field order matches the columns of the tables. */
/* NOLINTNEXTLINE(clang-analyzer-optin.performance.Padding) */
struct setting {
	const char *name;
	enum setting_kind kind;
	const char *default_value;
	int64_t min;
	int64_t max;
	const char *help;
	/* A boolean, as wide as its neighbours to avoid padding. */
	int64_t required;
	char *text;
	int64_t number;
};

enum status settings_parse(
    struct setting *, const char *, const char *, int *, char ***);
const struct setting *settings_get(const struct setting *, const char *);
void settings_free(struct setting *);
enum status settings_split_address(const char *, char **, uint16_t *);

#endif
