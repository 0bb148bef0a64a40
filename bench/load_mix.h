#ifndef CH_LOAD_MIX_H
#define CH_LOAD_MIX_H

#include <stdbool.h>
#include <stdlib.h>

#include <glib.h>
#include <jansson.h>

#include "loop.h"

#define LOAD_ORGANISATIONS_MAX 64
/* Width of one timeline bin. */
#define LOAD_BIN_USEC (100 * LOOP_USEC_PER_MSEC)
/* A request that waits longer than this for a token counts as delayed. */
#define LOAD_DELAYED_USEC (1 * LOOP_USEC_PER_SEC)

/* What one organisation sent and received. */
struct load_organisation {
	const char *name;
	/* Cumulative sum of the shares up to and including this one. */
	double share_end;
	int64_t sent;
	int64_t run;
	/* Lookups sent and tokens received in the measurement window. */
	int64_t measured_lookups;
	int64_t measured_tokens;
};

/* The organisations that send the requests, and when tokens arrived. */
struct load_mix {
	struct load_organisation list[LOAD_ORGANISATIONS_MAX];
	guint count;
	int64_t started_at;
	int64_t measure_from;
	int64_t measure_until;
	int64_t delayed;
	/* Tokens of requests whose outcome was not "run". */
	int64_t wasted_tokens;
	/* Number of tokens (uint32_t) in each bin of LOAD_BIN_USEC. */
	GArray *timeline;
};

/*
 * Initialises the organisations. Shares are positive numbers separated by
 * commas, one for each name; NULL means equal shares. The names are borrowed.
 * Returns false if there are too many names, a share is not positive, or the
 * number of shares differs from the number of names.
 */
static inline bool
load_mix_init(struct load_mix *mix, char **names, const char *shares)
{
	char **share_texts = g_strsplit(shares != NULL ? shares : "", ",", 0);
	guint count = g_strv_length(names);
	bool valid = count <= LOAD_ORGANISATIONS_MAX &&
	    (shares == NULL || g_strv_length(share_texts) == count);
	double sum = 0;

	mix->count = count;
	mix->timeline = g_array_new(FALSE, TRUE, sizeof(uint32_t));
	for (guint i = 0; valid && i < count; i++) {
		double share =
		    shares != NULL ? strtod(share_texts[i], NULL) : 1;

		valid = share > 0;
		sum += share;
		mix->list[i].name = names[i];
		mix->list[i].share_end = sum;
	}
	g_strfreev(share_texts);
	return valid;
}

/*
 * Sets the start time and the measurement window, which lasts from now + from
 * to now + until (microseconds).
 */
static inline void
load_mix_start(struct load_mix *mix, int64_t now, int64_t from, int64_t until)
{
	mix->started_at = now;
	mix->measure_from = now + from;
	mix->measure_until = now + until;
}

/*
 * Returns a random organisation for the next request, weighted by share.
 */
static inline struct load_organisation *
load_mix_draw(struct load_mix *mix, GRand *random)
{
	double at = g_rand_double(random) * mix->list[mix->count - 1].share_end;
	guint i = 0;

	while (i + 1 < mix->count && at >= mix->list[i].share_end)
		i++;
	return &mix->list[i];
}

/*
 * Returns whether a time lies in the measurement window.
 */
static inline bool
load_mix_is_measured(const struct load_mix *mix, int64_t now)
{
	return now >= mix->measure_from && now < mix->measure_until;
}

/*
 * Counts a token in the timeline and, inside the measurement window, for its
 * organisation.
 */
static inline void
load_mix_count_token(
    struct load_mix *mix, struct load_organisation *organisation, int64_t now)
{
	guint bin = (guint)((now - mix->started_at) / LOAD_BIN_USEC);

	if (bin >= mix->timeline->len)
		g_array_set_size(mix->timeline, bin + 1);
	g_array_index(mix->timeline, uint32_t, bin)++;
	if (load_mix_is_measured(mix, now))
		organisation->measured_tokens++;
}

/*
 * Counts a finished request; its tokens are wasted unless it was run.
 */
static inline void
load_mix_count_request(struct load_mix *mix,
    struct load_organisation *organisation, bool delayed, bool run,
    uint32_t tokens)
{
	mix->delayed += delayed;
	organisation->run += run;
	if (!run)
		mix->wasted_tokens += tokens;
}

/*
 * Returns how many requests may have been started by now, given a rate in
 * requests per second (0: no limit) and a burst size in requests.
 */
static inline int64_t
load_mix_allowed(
    const struct load_mix *mix, int64_t now, int64_t rate, int64_t burst)
{
	if (rate == 0)
		return INT64_MAX;
	return ((now - mix->started_at) * rate / LOOP_USEC_PER_SEC / burst +
		   1) *
	    burst;
}

/*
 * Adds the counts and the timeline to a JSON report.
 */
static inline void
load_mix_json(const struct load_mix *mix, json_t *report)
{
	json_t *list = json_object();
	json_t *timeline = json_array();

	for (guint i = 0; i < mix->count; i++) {
		const struct load_organisation *o = &mix->list[i];

		json_object_set_new(list, o->name,
		    json_pack("{s:I,s:I,s:I,s:I}", "sent", (json_int_t)o->sent,
			"run", (json_int_t)o->run, "measured_lookups",
			(json_int_t)o->measured_lookups, "measured_tokens",
			(json_int_t)o->measured_tokens));
	}
	for (guint i = 0; i < mix->timeline->len; i++)
		json_array_append_new(timeline,
		    json_integer(g_array_index(mix->timeline, uint32_t, i)));
	json_object_set_new(report, "organisations", list);
	json_object_set_new(report, "timeline_100ms", timeline);
	json_object_set_new(report, "delayed", json_integer(mix->delayed));
	json_object_set_new(
	    report, "wasted_tokens", json_integer(mix->wasted_tokens));
}

#endif
