#include "harness.h"

#include <string.h>

#include "conf.h"
#include "frame.h"
#include "sample.h"

static const struct sample_size small = {2, 6, 2, 5};
/* Large enough for several frames. */
static const struct sample_size large = {4, 2000, 3, 3000};

/*
 * Activates documents as a revision and returns the result.
 */
static enum conf_result
install(struct conf *conf, uint64_t revision, const json_t *inventory,
    const json_t *rules)
{
	struct part_set *set = NULL;

	ck_assert_int_eq(part_split(inventory, rules, &set), STATUS_OK);
	return conf_install(conf, revision, "change", set);
}

/*
 * Creates a configuration of a given size at a revision.
 */
static struct conf *
create_conf(const struct sample_size *size, uint64_t revision)
{
	struct conf *conf = conf_create();

	ck_assert_int_eq(
	    install(conf, revision, sample_inventory(size), sample_rules(size)),
	    CONF_APPLIED);
	return conf;
}

/*
 * Adds a revision in which one instance has a new address.
 */
static void
move_instance(struct conf *conf, size_t position, const char *address)
{
	json_t *inventory = NULL;
	json_t *rules = NULL;
	json_t *copy;

	ck_assert_int_eq(conf_documents(conf, &inventory, &rules), STATUS_OK);
	copy = json_deep_copy(inventory);
	sample_set_instance_address(copy, position, address);
	ck_assert_int_eq(
	    install(conf, conf_revision(conf) + 1, copy, rules), CONF_APPLIED);
}

/*
 * Sends all frames that a receiver needs and returns the last result. Sets
 * *frames to the number of frames.
 */
static enum conf_result
send_all(const struct conf *from, struct conf *to, int *frames)
{
	struct conf_feed *feed =
	    conf_feed_create(from, conf_pull_base_revision(to));
	enum conf_result result = CONF_STALE;
	Ch__ConfigUpdate *update;

	*frames = 0;
	while (feed != NULL && (update = conf_feed_next(feed)) != NULL) {
		ck_assert_uint_lt(ch__config_update__get_packed_size(update),
		    FRAME_MAX_BYTES - 1024);
		result = conf_apply(to, update);
		ch__config_update__free_unpacked(update, NULL);
		(*frames)++;
	}
	conf_feed_destroy(feed);
	return result;
}

/*
 * Returns whether two processes hold the same parts.
 */
static bool
same_parts(const struct conf *a, const struct conf *b)
{
	uint8_t x[PART_SET_DIGEST_BYTES];
	uint8_t y[PART_SET_DIGEST_BYTES];

	part_set_digest(conf_parts(a), x);
	part_set_digest(conf_parts(b), y);
	return memcmp(x, y, sizeof(x)) == 0;
}

/* Guards against activating an incomplete configuration. */
START_TEST(full_update_is_activated_by_its_last_frame)
{
	struct conf *from = create_conf(&large, 3);
	struct conf *to = conf_create();
	struct conf_feed *feed = conf_feed_create(from, 0);
	Ch__ConfigUpdate *update;
	Ch__ConfigUpdate *frames[16];
	int count = 0;

	while ((update = conf_feed_next(feed)) != NULL)
		frames[count++] = update;
	ck_assert_int_ge(count, 2);
	for (int i = count - 1; i >= 0; i--) {
		ck_assert_uint_eq(conf_revision(to), 0);
		ck_assert_ptr_null(conf_inventory(to));
		/* A duplicate frame must not be counted again. */
		ck_assert_int_eq(conf_apply(to, frames[i]),
		    i == 0 ? CONF_APPLIED : CONF_INCOMPLETE);
		ck_assert_int_eq(conf_apply(to, frames[i]),
		    i == 0 ? CONF_STALE : CONF_INCOMPLETE);
	}
	ck_assert_uint_eq(conf_revision(to), 3);
	ck_assert(same_parts(from, to));
	ck_assert_uint_eq(conf_inventory(to)->instance_count, 6000);
	conf_feed_destroy(feed);
	conf_destroy(from);
	conf_destroy(to);
}
END_TEST

/* Guards against sending the full configuration where a delta suffices. */
START_TEST(known_revision_gets_a_delta)
{
	struct conf *from = create_conf(&small, 1);
	struct conf *to = create_conf(&small, 1);
	struct conf_feed *feed;
	Ch__ConfigUpdate *update;
	int frames;

	move_instance(from, 0, "10.1.1.1:1");
	move_instance(from, 0, "10.1.1.1:2");
	feed = conf_feed_create(from, 1);
	update = conf_feed_next(feed);
	ck_assert(!conf_feed_is_full(feed));
	ck_assert_uint_eq(update->n_changed, 1);
	ch__config_update__free_unpacked(update, NULL);
	conf_feed_destroy(feed);
	ck_assert_int_eq(send_all(from, to, &frames), CONF_APPLIED);
	ck_assert_uint_eq(conf_revision(to), 3);
	ck_assert(same_parts(from, to));
	ck_assert_int_eq(send_all(from, to, &frames), CONF_STALE);
	ck_assert_int_eq(frames, 0);
}
END_TEST

/*
 * Guards against a receiver that stays outdated because the history no longer
 * contains its revision.
 */
START_TEST(unknown_revision_gets_full_configuration)
{
	struct conf *from = create_conf(&small, 1);
	struct conf *to = create_conf(&small, 1);
	int frames;

	for (int i = 0; i <= CONF_HISTORY_MAX; i++) {
		char address[32];

		snprintf(address, sizeof(address), "10.1.1.1:%d", i + 1);
		move_instance(from, 0, address);
	}
	ck_assert_int_eq(send_all(from, to, &frames), CONF_APPLIED);
	ck_assert_uint_eq(conf_revision(to), CONF_HISTORY_MAX + 2);
	ck_assert(same_parts(from, to));
}
END_TEST

/* Guards against a removed part that stays active. */
START_TEST(removed_part_is_removed)
{
	struct conf *from = create_conf(&small, 1);
	struct conf *to = create_conf(&small, 1);
	struct sample_size fewer = small;
	int frames;

	fewer.organisations = 0;
	ck_assert_int_eq(
	    install(from, 2, sample_inventory(&small), sample_rules(&fewer)),
	    CONF_APPLIED);
	ck_assert_int_eq(send_all(from, to, &frames), CONF_APPLIED);
	ck_assert_uint_eq(conf_inventory(to)->organisation_count, 0);
	ck_assert(same_parts(from, to));
}
END_TEST

/* Guards against a process that goes back to a lower revision (G7). */
START_TEST(revision_never_decreases)
{
	struct conf *old = create_conf(&small, 4);
	struct conf *to = create_conf(&small, 5);
	struct conf_feed *feed = conf_feed_create(old, 0);
	Ch__ConfigUpdate *update = conf_feed_next(feed);
	json_t *dump;

	ck_assert_int_eq(conf_apply(to, update), CONF_STALE);
	update->revision = 5;
	ck_assert_int_eq(conf_apply(to, update), CONF_STALE);
	ck_assert_int_eq(
	    install(to, 5, sample_inventory(&small), sample_rules(&small)),
	    CONF_STALE);
	ck_assert_uint_eq(conf_revision(to), 5);
	dump = conf_dump(to);
	ck_assert_int_eq(json_integer_value(json_object_get(dump, "stale")), 3);
	json_decref(dump);
}
END_TEST

/*
 * Guards against applying a delta to a configuration that it is not based on.
 */
START_TEST(mismatched_delta_requests_a_pull)
{
	struct conf *from = create_conf(&small, 1);
	struct conf *empty = conf_create();
	struct conf *other = conf_create();
	struct sample_size differs = small;
	struct conf_feed *feed;
	Ch__ConfigUpdate *update;
	int frames;

	move_instance(from, 0, "10.1.1.1:1");
	feed = conf_feed_create(from, 1);
	update = conf_feed_next(feed);
	ck_assert_int_eq(conf_apply(empty, update), CONF_PULL_NEEDED);
	differs.organisations = 6;
	install(other, 1, sample_inventory(&differs), sample_rules(&differs));
	ck_assert_uint_eq(conf_pull_base_revision(other), 1);
	ck_assert_int_eq(conf_apply(other, update), CONF_PULL_NEEDED);
	ck_assert_uint_eq(conf_revision(other), 1);
	ck_assert_uint_eq(conf_pull_base_revision(other), 0);
	ck_assert_int_eq(send_all(from, other, &frames), CONF_APPLIED);
	ck_assert(same_parts(from, other));
	ck_assert_uint_eq(conf_pull_base_revision(other), 2);
}
END_TEST

/* Guards against activating corrupted or invalid content. */
START_TEST(invalid_content_is_rejected)
{
	struct conf *from = create_conf(&small, 1);
	struct conf *to = create_conf(&small, 1);
	json_t *bad = sample_inventory(&small);
	struct conf_feed *feed;
	Ch__ConfigUpdate *update;

	json_object_set_new(
	    json_array_get(json_object_get(bad, "instances"), 0), "last",
	    json_integer(999));
	ck_assert_int_eq(
	    install(to, 2, bad, sample_rules(&small)), CONF_INVALID);
	ck_assert_ptr_nonnull(strstr(status_message(), ".last: 999"));
	move_instance(from, 0, "10.1.1.1:1");
	feed = conf_feed_create(from, 1);
	update = conf_feed_next(feed);
	update->changed[0]->content.data[5] ^= 1;
	ck_assert_int_eq(conf_apply(to, update), CONF_INVALID);
	ck_assert_uint_eq(conf_revision(to), 1);
	ck_assert_uint_eq(conf_inventory(to)->revision, 1);
}
END_TEST

/* Guards against a dead sender that blocks the transfer of another one. */
START_TEST(abandoned_transfer_is_replaced)
{
	struct conf *first = create_conf(&large, 3);
	struct conf *second = create_conf(&large, 3);
	struct conf *to = conf_create();
	struct conf_feed *feed = conf_feed_create(first, 0);
	int frames;

	ck_assert_int_eq(conf_apply(to, conf_feed_next(feed)), CONF_INCOMPLETE);
	move_instance(second, 0, "10.1.1.1:1");
	ck_assert_int_eq(send_all(second, to, &frames), CONF_APPLIED);
	ck_assert_uint_eq(conf_revision(to), 4);
}
END_TEST

/* Guards against memory that stays allocated for an outdated transfer. */
START_TEST(outdated_transfer_is_dropped)
{
	struct conf *from = create_conf(&large, 3);
	struct conf *to = conf_create();
	struct conf_feed *feed = conf_feed_create(from, 0);
	json_t *dump;

	ck_assert_int_eq(conf_apply(to, conf_feed_next(feed)), CONF_INCOMPLETE);
	ck_assert_int_eq(
	    install(to, 3, sample_inventory(&large), sample_rules(&large)),
	    CONF_APPLIED);
	dump = conf_dump(to);
	ck_assert_int_eq(
	    json_integer_value(json_object_get(dump, "arriving_frames")), 0);
	ck_assert_int_eq(conf_apply(to, conf_feed_next(feed)), CONF_STALE);
	json_decref(dump);
}
END_TEST

/* Guards against fetching parts again that are already active. */
START_TEST(unchanged_parts_are_reused)
{
	struct conf *from = create_conf(&small, 1);
	struct conf *to = create_conf(&small, 1);
	struct part_set *set = part_set_create();
	const struct part_manifest_entry *missing[PART_COUNT_MAX];
	struct part_manifest *manifest;

	move_instance(from, 0, "10.1.1.1:1");
	manifest = part_manifest_create(conf_parts(from), 2, "c");
	ck_assert_uint_eq(conf_reuse_parts(to, manifest, set, missing), 1);
	ck_assert_uint_eq(set->count + 1, manifest->count);
	ck_assert_ptr_nonnull(strstr(missing[0]->name, "instances/"));
}
END_TEST

HARNESS_MAIN("conf", full_update_is_activated_by_its_last_frame,
    known_revision_gets_a_delta, unknown_revision_gets_full_configuration,
    removed_part_is_removed, revision_never_decreases,
    mismatched_delta_requests_a_pull, invalid_content_is_rejected,
    abandoned_transfer_is_replaced, outdated_transfer_is_dropped,
    unchanged_parts_are_reused)
