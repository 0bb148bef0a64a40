#include "harness.h"

#include <string.h>

#include "conf.h"
#include "syncd_client.h"
#include "sample.h"

static const struct sample_size size = {2, 1500, 3, 10};

/*
 * A process and a fake syncd in one event loop.
 */
struct fixture {
	struct loop *loop;
	struct link_context context;
	Ch__Hello hello;
	struct link_listener *listener;
	struct link *link;
	struct conf *conf;
	struct syncd_client *syncd_client;
	int subscriptions;
	uint64_t subscribed_revision;
	uint64_t config_revision;
	int frames;
	int views;
	int instances;
	int downs;
};

/*
 * Sends the update frames from a revision to the current one.
 */
static void
send_config(struct fixture *f, uint64_t have)
{
	struct conf_feed *feed = conf_feed_create(f->conf, have);
	Ch__ConfigUpdate *update;

	while (feed != NULL && (update = conf_feed_next(feed)) != NULL) {
		Ch__Frame frame = CH__FRAME__INIT;

		frame.kind_case = CH__FRAME__KIND_CONFIG_UPDATE;
		frame.config_update = update;
		ck_assert_int_eq(link_send(f->link, &frame), STATUS_OK);
		ch__config_update__free_unpacked(update, NULL);
	}
	conf_feed_destroy(feed);
}

static void
syncd_link_up(struct link *link, void *arg)
{
	((struct fixture *)arg)->link = link;
}

static void
syncd_link_frame(struct link *link, const Ch__Frame *frame, void *arg)
{
	struct fixture *f = arg;

	(void)link;
	ck_assert_int_eq(frame->kind_case, CH__FRAME__KIND_SUBSCRIBE);
	f->subscriptions++;
	f->subscribed_revision = frame->subscribe->revision;
	send_config(f, frame->subscribe->revision);
}

static void
syncd_link_down(struct link *link, enum status status, void *arg)
{
	(void)status;
	if (((struct fixture *)arg)->link == link)
		((struct fixture *)arg)->link = NULL;
}

static void
on_config(const struct inv *inv, void *arg)
{
	((struct fixture *)arg)->config_revision = inv->revision;
}

static void
on_view(const struct view *view, void *arg)
{
	(void)view;
	((struct fixture *)arg)->views++;
}

static void
on_instances(void *arg)
{
	((struct fixture *)arg)->instances++;
}

static void
on_frame(const Ch__Frame *frame, void *arg)
{
	ck_assert_int_eq(frame->kind_case, CH__FRAME__KIND_CLAIM_REPLY);
	((struct fixture *)arg)->frames++;
}

static void
on_down(void *arg)
{
	((struct fixture *)arg)->downs++;
}

static const struct link_ops syncd_link_ops = {
    syncd_link_up, syncd_link_frame, syncd_link_down};
static const struct syncd_client_ops syncd_client_callbacks = {
    on_config, on_view, on_instances, on_frame, NULL, on_down};

/*
 * Starts the fake syncd with revision 1 and connects the process to it.
 */
static void
fixture_start(struct fixture *f)
{
	struct part_set *set = NULL;
	char address[32];

	memset(f, 0, sizeof(*f));
	ck_assert_int_eq(loop_create(&f->loop), STATUS_OK);
	ch__hello__init(&f->hello);
	f->hello.node = "n1";
	f->hello.role = CH__ROLE__ROLE_ENTRY;
	f->hello.protocol = LINK_PROTOCOL;
	f->context.loop = f->loop;
	f->context.hello = &f->hello;
	f->context.silence_limit_usec = HARNESS_DEADLINE_USEC;
	f->context.queue_max_bytes = LINK_QUEUE_MAX_BYTES;
	f->conf = conf_create();
	part_split(sample_inventory(&size), sample_rules(&size), &set);
	ck_assert_int_eq(conf_install(f->conf, 1, "c1", set), CONF_APPLIED);
	ck_assert_int_eq(link_listen(&f->context, "127.0.0.1:0",
			     &syncd_link_ops, f, &f->listener),
	    STATUS_OK);
	snprintf(address, sizeof(address), "127.0.0.1:%u",
	    link_listener_port(f->listener));
	ck_assert_int_eq(syncd_client_create(&f->context, address,
			     &syncd_client_callbacks, f, &f->syncd_client),
	    STATUS_OK);
}

/*
 * Adds a revision with a changed instance address to the syncd.
 */
static void
add_revision(struct fixture *f, uint64_t revision)
{
	json_t *inventory = sample_inventory(&size);
	struct part_set *set = NULL;
	char address[32];

	snprintf(address, sizeof(address), "10.1.1.1:%d", (int)revision);
	sample_set_instance_address(inventory, 0, address);
	part_split(inventory, sample_rules(&size), &set);
	ck_assert_int_eq(
	    conf_install(f->conf, revision, "c", set), CONF_APPLIED);
}

static bool
has_config(void *arg)
{
	struct fixture *f = arg;

	return f->config_revision == conf_revision(f->conf);
}

static bool
has_frame(void *arg)
{
	return ((struct fixture *)arg)->frames > 0;
}

static bool
is_down(void *arg)
{
	return ((struct fixture *)arg)->downs > 0;
}

/*
 * Guards against losing or partially applying a configuration that is sent in
 * several frames.
 */
START_TEST(configuration_arrives_in_several_frames)
{
	struct fixture f;

	fixture_start(&f);
	ck_assert_ptr_null(syncd_client_inventory(f.syncd_client));
	ck_assert(harness_wait(f.loop, has_config, &f));
	ck_assert_uint_eq(f.subscribed_revision, 0);
	ck_assert_uint_eq(
	    syncd_client_inventory(f.syncd_client)->instance_count, 4500);
	add_revision(&f, 2);
	send_config(&f, 1);
	ck_assert(harness_wait(f.loop, has_config, &f));
	ck_assert_int_eq(f.subscriptions, 1);
}
END_TEST

/* Guards against a process that keeps an old revision after it missed one. */
START_TEST(missed_revision_causes_a_new_subscription)
{
	struct fixture f;

	fixture_start(&f);
	ck_assert(harness_wait(f.loop, has_config, &f));
	add_revision(&f, 2);
	add_revision(&f, 3);
	send_config(&f, 2);
	ck_assert(harness_wait(f.loop, has_config, &f));
	ck_assert_int_eq(f.subscriptions, 2);
	ck_assert_uint_eq(f.subscribed_revision, 1);
}
END_TEST

/* Guards against discarding the known state when the syncd disconnects. */
START_TEST(state_outlives_the_syncd_link)
{
	struct fixture f;
	Ch__Frame frame = CH__FRAME__INIT;
	Ch__Instance item = CH__INSTANCE__INIT;
	Ch__Instance *items[] = {&item};
	Ch__Instances instances = CH__INSTANCES__INIT;
	Ch__ClaimReply reply = CH__CLAIM_REPLY__INIT;

	fixture_start(&f);
	ck_assert(harness_wait(f.loop, has_config, &f));
	item.name = "i00001-0";
	item.leaving = true;
	instances.items = items;
	instances.n_items = 1;
	frame.kind_case = CH__FRAME__KIND_INSTANCES;
	frame.instances = &instances;
	link_send(f.link, &frame);
	frame.kind_case = CH__FRAME__KIND_CLAIM_REPLY;
	frame.claim_reply = &reply;
	link_send(f.link, &frame);
	ck_assert(harness_wait(f.loop, has_frame, &f));
	ck_assert_int_eq(f.instances, 1);
	link_listener_destroy(f.listener);
	link_close(f.link, STATUS_CLOSED);
	ck_assert(harness_wait(f.loop, is_down, &f));
	ck_assert(!syncd_client_is_up(f.syncd_client));
	ck_assert_uint_eq(syncd_client_inventory(f.syncd_client)->revision, 1);
	ck_assert(syncd_client_instance_leaving(
	    f.syncd_client, lstr_from("i00001-0")));
}
END_TEST

HARNESS_MAIN("local", configuration_arrives_in_several_frames,
    missed_revision_causes_a_new_subscription, state_outlives_the_syncd_link)
