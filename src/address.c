#include "address.h"

/* Proximity of an entry to the caller; lower is nearer. */
enum proximity {
	PROXIMITY_PLACE,
	PROXIMITY_REGION,
	PROXIMITY_OTHER
};

/*
 * Returns the proximity of a member to a data centre and a region. An empty
 * data centre or region matches no member.
 */
static enum proximity
proximity_of(
    const struct view_member *member, struct lstr place, struct lstr region)
{
	if (place.len > 0 && lstr_equal_c(place, member->place))
		return PROXIMITY_PLACE;
	if (region.len > 0 && lstr_equal_c(region, member->region))
		return PROXIMITY_REGION;
	return PROXIMITY_OTHER;
}

/*
 * Returns whether callers may be sent to a member's entry.
 */
static bool
is_usable(const struct view_member *member)
{
	return member->state == VIEW_LIVE && member->entry_ready &&
	    member->entry_address != NULL && member->entry_address[0] != '\0';
}

/*
 * Chooses up to ADDR_MAX members with a usable entry: members of the data
 * centre first, then of the region, then all others. Members of equal proximity
 * are chosen at random, which spreads callers over them. Returns the number of
 * pointers to the given members that were written to out.
 */
size_t
addr_choose(const struct view_member *const *members, size_t count,
    struct lstr place, struct lstr region, GRand *random,
    const struct view_member *out[ADDR_MAX])
{
	uint64_t keys[ADDR_MAX];
	size_t chosen = 0;

	for (size_t i = 0; i < count; i++) {
		uint64_t key;
		size_t pos;

		if (!is_usable(members[i]))
			continue;
		key = (uint64_t)proximity_of(members[i], place, region) << 32 |
		    g_rand_int(random);
		if (chosen == ADDR_MAX && key >= keys[ADDR_MAX - 1])
			continue;
		pos = chosen < ADDR_MAX ? chosen++ : ADDR_MAX - 1;
		for (; pos > 0 && keys[pos - 1] > key; pos--) {
			keys[pos] = keys[pos - 1];
			out[pos] = out[pos - 1];
		}
		keys[pos] = key;
		out[pos] = members[i];
	}
	return chosen;
}
