#include "harness.h"

#include <string.h>

#include "conf.h"
#include "local.h"
#include "sample.h"

static const struct sample_size size = {2, 1500, 3, 10};

/*
 * A process and a simulated syncd in one event loop.
 */
struct world {
	struct loop *loop;
	struct link_context context;
	Ch__Hello hello;
	struct link_listener *listener;
	struct link *link;
	struct conf *conf;
	struct local *local;
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
send_config(struct world *w, uint64_t have)
{
	struct conf_feed *feed = conf_feed_create(w->conf, have);
	Ch__ConfigUpdate *update;

	while (feed != NULL && (update = conf_feed_next(feed)) != NULL) {
		Ch__Frame frame = CH__FRAME__INIT;

		frame.kind_case = CH__FRAME__KIND_CONFIG_UPDATE;
		frame.config_update = update;
		ck_assert_int_eq(link_send(w->link, &frame), STATUS_OK);
		ch__config_update__free_unpacked(update, NULL);
	}
	conf_feed_destroy(feed);
}

static void
server_up(struct link *link, void *arg)
{
	((struct world *)arg)->link = link;
}

static void
server_frame(struct link *link, const Ch__Frame *frame, void *arg)
{
	struct world *w = arg;

	(void)link;
	ck_assert_int_eq(frame->kind_case, CH__FRAME__KIND_SUBSCRIBE);
	w->subscriptions++;
	w->subscribed_revision = frame->subscribe->revision;
	send_config(w, frame->subscribe->revision);
}

static void
server_down(struct link *link, enum status status, void *arg)
{
	(void)status;
	if (((struct world *)arg)->link == link)
		((struct world *)arg)->link = NULL;
}

static void
on_config(const struct inv *inv, void *arg)
{
	((struct world *)arg)->config_revision = inv->revision;
}

static void
on_view(const struct view *view, void *arg)
{
	(void)view;
	((struct world *)arg)->views++;
}

static void
on_instances(void *arg)
{
	((struct world *)arg)->instances++;
}

static void
on_frame(const Ch__Frame *frame, void *arg)
{
	ck_assert_int_eq(frame->kind_case, CH__FRAME__KIND_CLAIM_REPLY);
	((struct world *)arg)->frames++;
}

static void
on_down(void *arg)
{
	((struct world *)arg)->downs++;
}

static const struct link_ops server_ops = {
    server_up, server_frame, server_down};
static const struct local_ops local_callbacks = {
    on_config, on_view, on_instances, on_frame, NULL, on_down};

/*
 * Starts the simulated syncd with revision 1 and connects the process to it.
 */
static void
world_start(struct world *w)
{
	struct part_set *set = NULL;
	char address[32];

	memset(w, 0, sizeof(*w));
	ck_assert_int_eq(loop_create(&w->loop), STATUS_OK);
	ch__hello__init(&w->hello);
	w->hello.node = "n1";
	w->hello.role = CH__ROLE__ROLE_ENTRY;
	w->hello.protocol = LINK_PROTOCOL;
	w->context.loop = w->loop;
	w->context.hello = &w->hello;
	w->context.silence_limit_usec = HARNESS_DEADLINE_USEC;
	w->context.queue_max_bytes = LINK_QUEUE_MAX_BYTES;
	w->conf = conf_create();
	part_split(sample_inventory(&size), sample_rules(&size), &set);
	ck_assert_int_eq(conf_adopt(w->conf, 1, "c1", set), CONF_APPLIED);
	ck_assert_int_eq(link_listen(&w->context, "127.0.0.1:0", &server_ops, w,
			     &w->listener),
	    STATUS_OK);
	snprintf(address, sizeof(address), "127.0.0.1:%u",
	    link_listener_port(w->listener));
	ck_assert_int_eq(
	    local_create(&w->context, address, &local_callbacks, w, &w->local),
	    STATUS_OK);
}

/*
 * Adds a revision with a changed instance address to the syncd.
 */
static void
add_revision(struct world *w, uint64_t revision)
{
	json_t *inventory = sample_inventory(&size);
	struct part_set *set = NULL;
	char address[32];

	snprintf(address, sizeof(address), "10.1.1.1:%d", (int)revision);
	sample_move_instance(inventory, 0, address);
	part_split(inventory, sample_rules(&size), &set);
	ck_assert_int_eq(conf_adopt(w->conf, revision, "c", set), CONF_APPLIED);
}

static bool
has_config(void *arg)
{
	struct world *w = arg;

	return w->config_revision == conf_revision(w->conf);
}

static bool
has_frame(void *arg)
{
	return ((struct world *)arg)->frames > 0;
}

static bool
is_down(void *arg)
{
	return ((struct world *)arg)->downs > 0;
}

/*
 * Guards against losing or partially applying a configuration that is sent in
 * several frames.
 */
START_TEST(configuration_comes_in_several_frames)
{
	struct world w;

	world_start(&w);
	ck_assert_ptr_null(local_inventory(w.local));
	ck_assert(harness_wait(w.loop, has_config, &w));
	ck_assert_uint_eq(w.subscribed_revision, 0);
	ck_assert_uint_eq(local_inventory(w.local)->instance_count, 4500);
	add_revision(&w, 2);
	send_config(&w, 1);
	ck_assert(harness_wait(w.loop, has_config, &w));
	ck_assert_int_eq(w.subscriptions, 1);
}
END_TEST

/* Guards against a process that keeps an old revision after it missed one. */
START_TEST(missed_change_leads_to_a_new_subscription)
{
	struct world w;

	world_start(&w);
	ck_assert(harness_wait(w.loop, has_config, &w));
	add_revision(&w, 2);
	add_revision(&w, 3);
	send_config(&w, 2);
	ck_assert(harness_wait(w.loop, has_config, &w));
	ck_assert_int_eq(w.subscriptions, 2);
	ck_assert_uint_eq(w.subscribed_revision, 1);
}
END_TEST

/* Guards against discarding the known state when the syncd disconnects. */
START_TEST(knowledge_outlives_the_syncd)
{
	struct world w;
	Ch__Frame frame = CH__FRAME__INIT;
	Ch__Instance item = CH__INSTANCE__INIT;
	Ch__Instance *items[] = {&item};
	Ch__Instances instances = CH__INSTANCES__INIT;
	Ch__ClaimReply reply = CH__CLAIM_REPLY__INIT;

	world_start(&w);
	ck_assert(harness_wait(w.loop, has_config, &w));
	item.name = "i00001-0";
	item.leaving = true;
	instances.items = items;
	instances.n_items = 1;
	frame.kind_case = CH__FRAME__KIND_INSTANCES;
	frame.instances = &instances;
	link_send(w.link, &frame);
	frame.kind_case = CH__FRAME__KIND_CLAIM_REPLY;
	frame.claim_reply = &reply;
	link_send(w.link, &frame);
	ck_assert(harness_wait(w.loop, has_frame, &w));
	ck_assert_int_eq(w.instances, 1);
	link_listener_destroy(w.listener);
	link_close(w.link, STATUS_CLOSED);
	ck_assert(harness_wait(w.loop, is_down, &w));
	ck_assert(!local_is_up(w.local));
	ck_assert_uint_eq(local_inventory(w.local)->revision, 1);
	ck_assert(local_instance_leaving(w.local, lstr_from("i00001-0")));
}
END_TEST

HARNESS_MAIN("local", configuration_comes_in_several_frames,
    missed_change_leads_to_a_new_subscription, knowledge_outlives_the_syncd)
