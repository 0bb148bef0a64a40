#include <glib.h>

#include "departures.h"

struct departure {
	/* Start of the process, as the server states it. */
	int64_t born;
	int64_t noted_at;
};

struct departures {
	/* struct departure by identifier of the server. */
	GHashTable *by_id;
};

/*
 * Creates an empty table.
 */
struct departures *
departures_new(void)
{
	struct departures *departures = g_new0(struct departures, 1);

	departures->by_id =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return departures;
}

/*
 * Frees a table; NULL is allowed.
 */
void
departures_free(struct departures *departures)
{
	if (departures == NULL)
		return;
	g_hash_table_destroy(departures->by_id);
	g_free(departures);
}

/*
 * Returns true if a departure is too old to matter; predicate for the table.
 */
static gboolean
is_too_old(gpointer key, gpointer value, gpointer data)
{
	const struct departure *departure = value;
	const int64_t *now = data;

	(void)key;
	return *now - departure->noted_at > DEPARTURES_KEEP_USEC;
}

/*
 * Records that a process is draining or was removed, and drops old records.
 */
void
departures_note(
    struct departures *departures, const char *id, int64_t born, int64_t now)
{
	struct departure *departure;

	g_hash_table_foreach_remove(departures->by_id, is_too_old, &now);
	departure = g_hash_table_lookup(departures->by_id, id);
	if (departure == NULL) {
		departure = g_new0(struct departure, 1);
		g_hash_table_insert(departures->by_id, g_strdup(id), departure);
	}
	departure->born = MAX(departure->born, born);
	departure->noted_at = now;
}

/*
 * Drops the record of a server.
 */
void
departures_forget(struct departures *departures, const char *id)
{
	g_hash_table_remove(departures->by_id, id);
}

/*
 * Returns true if a process that started at that time, or a later one of the
 * same server, is recorded.
 */
bool
departures_contain(
    const struct departures *departures, const char *id, int64_t born)
{
	const struct departure *departure =
	    g_hash_table_lookup(departures->by_id, id);

	return departure != NULL && born <= departure->born;
}
