#include <stdio.h>
#include <string.h>

#include <xxhash.h>

#include "rendezvous.h"

#define KEY_MAX_BYTES 160

/*
 * Restricts which members are candidates. A criterion that is NULL does not
 * apply.
 */
struct filter {
	bool (*is_eligible)(const struct view_member *);
	const char *region;
	const char *place;
	const char *excluded_place;
	const struct view_member *const *excluded;
	size_t excluded_count;
};

/*
 * Returns the rendezvous hashing score of a node for a key; the node with the
 * highest score is chosen.
 */
uint64_t
rendezvous_score(struct lstr node, struct lstr key)
{
	return XXH3_64bits_withSeed(
	    node.data, node.len, XXH3_64bits(key.data, key.len));
}

/*
 * Returns whether a member can own replicas.
 */
static bool
has_ready_router(const struct view_member *member)
{
	return member->state == VIEW_LIVE && member->router_ready &&
	    member->router_address[0] != '\0';
}

/*
 * Returns whether a member can own claim buckets, watch the key-value service
 * and hold record copies.
 */
static bool
has_live_syncd(const struct view_member *member)
{
	return member->state == VIEW_LIVE && member->syncd_address[0] != '\0';
}

/*
 * Returns whether a member can exchange heartbeats. A leaving member still runs
 * and answers; a suspected one is excluded because it may not answer.
 */
static bool
is_heartbeat_peer(const struct view_member *member)
{
	return member->state != VIEW_SUSPECTED &&
	    member->syncd_address[0] != '\0';
}

/*
 * Returns whether a member meets all criteria of a filter.
 */
static bool
matches(const struct filter *filter, const struct view_member *member)
{
	for (size_t i = 0; i < filter->excluded_count; i++) {
		if (filter->excluded[i] == member)
			return false;
	}
	return filter->is_eligible(member) &&
	    (filter->region == NULL ||
		strcmp(member->region, filter->region) == 0) &&
	    (filter->place == NULL ||
		strcmp(member->place, filter->place) == 0) &&
	    (filter->excluded_place == NULL ||
		strcmp(member->place, filter->excluded_place) != 0);
}

/*
 * Returns the member with the highest score for a key among those that match
 * the filter, or NULL if none does. A tie goes to the lower node name.
 */
static const struct view_member *
choose_highest(
    const struct view *view, const struct filter *filter, struct lstr key)
{
	const struct view_member *best = NULL;
	uint64_t best_score = 0;

	for (size_t i = 0; i < view_count(view); i++) {
		const struct view_member *member = view_at(view, i);
		uint64_t score;

		if (!matches(filter, member))
			continue;
		score = rendezvous_score(lstr_from(member->node), key);
		if (best == NULL || score > best_score) {
			best = member;
			best_score = score;
		}
	}
	return best;
}

/*
 * Copies a string into a NUL-terminated buffer, truncating it to the buffer
 * size.
 */
static const char *
copy_to_cstr(struct lstr s, char *buffer, size_t size)
{
	snprintf(buffer, size, "%.*s", LSTR_ARG(s));
	return buffer;
}

/*
 * Returns the member whose router owns a replica: an eligible member of the
 * region, or of any region if the given one has none.
 */
const struct view_member *
rendezvous_replica_owner(
    const struct view *view, struct lstr region, struct lstr replica)
{
	char name[VIEW_NAME_MAX_BYTES + 1];
	struct filter filter = {.is_eligible = has_ready_router,
	    .region = copy_to_cstr(region, name, sizeof(name))};
	const struct view_member *owner =
	    choose_highest(view, &filter, replica);

	if (owner != NULL)
		return owner;
	filter.region = NULL;
	return choose_highest(view, &filter, replica);
}

/*
 * Returns the member whose syncd owns a claim bucket.
 */
const struct view_member *
rendezvous_bucket_owner(const struct view *view, uint32_t bucket)
{
	const struct filter filter = {.is_eligible = has_live_syncd};
	char key[KEY_MAX_BYTES];

	snprintf(key, sizeof(key), "bucket/%u", bucket);
	return choose_highest(view, &filter, lstr_from(key));
}

/*
 * Returns whether a node is one of the RENDEZVOUS_WATCHERS_PER_PLACE members
 * that watch the key-value service for their data centre; false if it is not a
 * member.
 */
bool
rendezvous_is_watcher(const struct view *view, struct lstr node)
{
	const struct view_member *self = view_find(view, node);
	const struct view_member *watchers[RENDEZVOUS_WATCHERS_PER_PLACE];
	struct filter filter = {
	    .is_eligible = has_live_syncd, .excluded = watchers};
	char key[KEY_MAX_BYTES];

	if (self == NULL)
		return false;
	filter.place = self->place;
	snprintf(key, sizeof(key), "watch/%s", self->place);
	for (size_t i = 0; i < RENDEZVOUS_WATCHERS_PER_PLACE; i++) {
		watchers[i] = choose_highest(view, &filter, lstr_from(key));
		if (watchers[i] == self)
			return true;
		if (watchers[i] == NULL)
			return false;
		filter.excluded_count = i + 1;
	}
	return false;
}

/*
 * Selects the peers to which a node sends heartbeats: two in its own data
 * centre and one in another data centre, or any other members where these do
 * not exist. Returns the number of peers, which is 0 if the node is not a
 * member.
 */
size_t
rendezvous_heartbeat_peers(const struct view *view, struct lstr node,
    const struct view_member *peers[RENDEZVOUS_HEARTBEAT_PEERS])
{
	const struct view_member *self = view_find(view, node);
	const struct view_member *excluded[RENDEZVOUS_HEARTBEAT_PEERS + 1] = {
	    self};
	struct filter filter = {.is_eligible = is_heartbeat_peer,
	    .excluded = excluded,
	    .excluded_count = 1};
	char key[KEY_MAX_BYTES];
	size_t count = 0;

	if (self == NULL)
		return 0;
	snprintf(key, sizeof(key), "heartbeat/%s", self->node);
	while (count < RENDEZVOUS_HEARTBEAT_PEERS) {
		bool same_place = count < RENDEZVOUS_HEARTBEAT_PEERS - 1;
		const struct view_member *peer;

		filter.place = same_place ? self->place : NULL;
		filter.excluded_place = same_place ? NULL : self->place;
		peer = choose_highest(view, &filter, lstr_from(key));
		filter.place = filter.excluded_place = NULL;
		if (peer == NULL)
			peer = choose_highest(view, &filter, lstr_from(key));
		if (peer == NULL)
			break;
		peers[count++] = peer;
		excluded[filter.excluded_count++] = peer;
	}
	return count;
}

/*
 * Returns the member whose syncd holds the copy of a node's record: a member in
 * another data centre, in the node's region if possible. The node's data centre
 * is a parameter because the node itself may not be a member.
 */
const struct view_member *
rendezvous_record_peer(
    const struct view *view, struct lstr node, struct lstr place)
{
	const struct view_member *self = view_find(view, node);
	char name[VIEW_NAME_MAX_BYTES + 1];
	struct filter filter = {.is_eligible = has_live_syncd,
	    .excluded_place = copy_to_cstr(place, name, sizeof(name)),
	    .region = self ? self->region : NULL};
	const struct view_member *peer;
	char key[KEY_MAX_BYTES];

	snprintf(key, sizeof(key), "record/%.*s", LSTR_ARG(node));
	peer = choose_highest(view, &filter, lstr_from(key));
	if (peer != NULL || filter.region == NULL)
		return peer;
	filter.region = NULL;
	return choose_highest(view, &filter, lstr_from(key));
}
