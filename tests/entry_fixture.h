#ifndef CH_TEST_ENTRY_FIXTURE_H
#define CH_TEST_ENTRY_FIXTURE_H

#include "harness.h"

#include <string.h>

#include "conf.h"
#include "entry.h"
#include "fetch.h"

#define FIXTURE_ROUTERS 2
#define FIXTURE_TOKENS 4
#define FIXTURE_VALIDITY_USEC (200 * LOOP_USEC_PER_MSEC)
#define FIXTURE_DRAIN_EXTRA_USEC (100 * LOOP_USEC_PER_MSEC)

#define PLAIN_REQUEST                                                          \
	"{'organisation':'o','service':'s','operation':'lookup','prompt':'x'}"

#define FIXTURE_INVENTORY                                                      \
	"{'places':[{'name':'p1','region':'r'}],'links':[],"                   \
	"'services':[{'name':'m','kind':'pipeline','layers':6},"               \
	"{'name':'s','kind':'plain'}],"                                        \
	"'accelerators':[{'kind':'k','layer_us':100}],"                        \
	"'instances':["                                                        \
	"{'name':'m1','place':'p1','service':'m','replica':'m1',"              \
	"'address':'127.0.0.1:1','accelerator':'k','first':0,'last':5},"       \
	"{'name':'s1','place':'p1','service':'s','replica':'s1',"              \
	"'address':'127.0.0.1:3'}]}"
#define FIXTURE_RULES                                                          \
	"{'organisations':[{'name':'o','priority':1,'weight':10,"              \
	"'max_concurrent':5}],"                                                \
	"'requests':[{'service':'s','operation':'swap','idempotent':false}],"  \
	"'defaults':{'priority':3,'weight':1,'max_concurrent':2,"              \
	"'deadline_ms':9000,'allow_unknown':false}}"

/* What a fake router does with a submission. */
enum router_behaviour {
	BEHAVIOUR_RUN,
	/* Sends two tokens of a pipeline, then crashes. */
	BEHAVIOUR_CRASH,
	BEHAVIOUR_HOLD,
	BEHAVIOUR_MOVE,
	BEHAVIOUR_REFUSE
};

struct fixture;

struct router {
	struct fixture *fixture;
	Ch__Hello hello;
	struct link_context context;
	struct link_listener *listener;
	struct link *link;
	char node[8];
	char address[32];
	int submit_count;
	int cancel_count;
	/* Of the last submission. */
	uint64_t stream;
	uint32_t attempt;
	size_t delivered;
};

/* A fake syncd and routers, an entry and a caller in one event loop. */
struct fixture {
	struct loop *loop;
	Ch__Hello hello;
	struct link_context context;
	struct link_listener *syncd;
	struct link *syncd_link;
	struct conf *conf;
	struct router routers[FIXTURE_ROUTERS];
	/* Used by one submission each; the last one is used repeatedly. */
	enum router_behaviour behaviours[4];
	int next_behaviour;
	struct proc proc;
	struct entry *entry;
	/* "ip:port" of the entry for callers. */
	char address[64];
	bool role_leaving;
	struct fetch *fetch;
	bool done;
	enum status status;
	long http_status;
	struct lstr_buf body;
	/* HTTP header sent with the following calls, or NULL. */
	const char *header;
};

/*
 * Parses JSON written with single quotes.
 */
static inline json_t *
fixture_json(const char *text)
{
	char *copy = strdup(text);
	json_t *json;

	for (char *c = copy; *c != '\0'; c++) {
		if (*c == '\'')
			*c = '"';
	}
	json = json_loads(copy, 0, NULL);
	free(copy);
	ck_assert_ptr_nonnull(json);
	return json;
}

/*
 * Sends the configuration and the view to the entry.
 */
static inline void
fixture_send_state(struct fixture *f)
{
	struct conf_feed *feed = conf_feed_create(f->conf, 0);
	Ch__Member members[FIXTURE_ROUTERS];
	Ch__Member *list[FIXTURE_ROUTERS];
	Ch__View view = CH__VIEW__INIT;
	Ch__Frame frame = CH__FRAME__INIT;
	Ch__ConfigUpdate *update;

	while (feed != NULL && (update = conf_feed_next(feed)) != NULL) {
		frame.kind_case = CH__FRAME__KIND_CONFIG_UPDATE;
		frame.config_update = update;
		link_send(f->syncd_link, &frame);
		ch__config_update__free_unpacked(update, NULL);
	}
	conf_feed_destroy(feed);
	for (int i = 0; i < FIXTURE_ROUTERS; i++) {
		Ch__Member *m = &members[i];

		ch__member__init(m);
		m->node = f->routers[i].node;
		m->place = "p1";
		m->region = "r";
		m->state = CH__NODE_STATE__NODE_STATE_LIVE;
		m->entry_address = "127.0.0.1:7";
		m->router_address = f->routers[i].address;
		m->syncd_address = "127.0.0.1:8";
		m->entry_ready = m->router_ready = true;
		list[i] = m;
	}
	view.version = 1;
	view.whole = true;
	view.n_members = FIXTURE_ROUTERS;
	view.members = list;
	frame.kind_case = CH__FRAME__KIND_VIEW;
	frame.view = &view;
	link_send(f->syncd_link, &frame);
}

static inline void
syncd_up(struct link *link, void *arg)
{
	((struct fixture *)arg)->syncd_link = link;
}

static inline void
syncd_frame(struct link *link, const Ch__Frame *frame, void *arg)
{
	struct fixture *f = arg;

	(void)link;
	if (frame->kind_case == CH__FRAME__KIND_SUBSCRIBE)
		fixture_send_state(f);
	if (frame->kind_case == CH__FRAME__KIND_ROLE_STATE)
		f->role_leaving = frame->role_state->leaving;
}

static inline void
syncd_down(struct link *link, enum status status, void *arg)
{
	(void)link;
	(void)status;
	((struct fixture *)arg)->syncd_link = NULL;
}

/*
 * Sends the tokens at positions from "from" up to but excluding "to".
 */
static inline void
router_send_tokens(
    struct router *router, uint64_t stream, uint32_t from, uint32_t to)
{
	for (uint32_t i = from; i < to; i++) {
		Ch__Frame frame = CH__FRAME__INIT;
		Ch__Token token = CH__TOKEN__INIT;
		char text[16];

		snprintf(text, sizeof(text), "t%u", i);
		token.stream = stream;
		token.position = i;
		token.text.data = (uint8_t *)text;
		token.text.len = strlen(text);
		frame.kind_case = CH__FRAME__KIND_TOKEN;
		frame.token = &token;
		link_send(router->link, &frame);
	}
}

/*
 * Sends the end of a submission.
 */
static inline void
router_send_done(struct router *router, const Ch__Submit *submit,
    Ch__Outcome outcome, const char *code)
{
	Ch__Frame frame = CH__FRAME__INIT;
	Ch__Done done = CH__DONE__INIT;

	done.stream = submit->stream;
	done.outcome = outcome;
	done.code = (char *)code;
	done.message = (char *)code;
	done.tokens = submit->max_tokens;
	done.status = 200;
	done.body.data = (uint8_t *)"answer";
	done.body.len = strlen("answer");
	done.attempt = submit->attempt;
	frame.kind_case = CH__FRAME__KIND_DONE;
	frame.done = &done;
	link_send(router->link, &frame);
}

/*
 * Closes a router's listener and link, as if its process had crashed.
 */
static inline void
router_crash(struct router *router)
{
	link_listener_destroy(router->listener);
	router->listener = NULL;
	if (router->link != NULL)
		link_close(router->link, STATUS_CLOSED);
}

/*
 * Handles a submission with the next configured behaviour.
 */
static inline void
router_handle_submit(struct router *router, const Ch__Submit *submit)
{
	struct fixture *f = router->fixture;
	enum router_behaviour behaviour = f->behaviours[f->next_behaviour];
	uint32_t from = (uint32_t)submit->n_delivered;

	if (f->next_behaviour < 3)
		f->next_behaviour++;
	router->submit_count++;
	router->stream = submit->stream;
	router->attempt = submit->attempt;
	router->delivered = submit->n_delivered;
	switch (behaviour) {
	case BEHAVIOUR_RUN:
		router_send_tokens(
		    router, submit->stream, from, submit->max_tokens);
		router_send_done(router, submit, CH__OUTCOME__OUTCOME_RUN, "");
		break;
	case BEHAVIOUR_CRASH:
		if (submit->max_tokens > 0)
			router_send_tokens(
			    router, submit->stream, from, from + 2);
		router_crash(router);
		break;
	case BEHAVIOUR_MOVE:
		router_send_done(
		    router, submit, CH__OUTCOME__OUTCOME_MOVED, "moved");
		break;
	case BEHAVIOUR_REFUSE:
		router_send_done(
		    router, submit, CH__OUTCOME__OUTCOME_NOT_RUN, "queue-full");
		break;
	case BEHAVIOUR_HOLD:
		break;
	}
}

static inline void
router_up(struct link *link, void *arg)
{
	((struct router *)arg)->link = link;
}

static inline void
router_frame(struct link *link, const Ch__Frame *frame, void *arg)
{
	struct router *router = arg;

	(void)link;
	if (frame->kind_case == CH__FRAME__KIND_CANCEL)
		router->cancel_count++;
	if (frame->kind_case == CH__FRAME__KIND_SUBMIT)
		router_handle_submit(router, frame->submit);
}

static inline void
router_down(struct link *link, enum status status, void *arg)
{
	struct router *router = arg;

	(void)status;
	if (router->link == link)
		router->link = NULL;
}

/*
 * Initialises the identity and the link context of a process.
 */
static inline void
fixture_init_identity(struct fixture *f, const char *node, Ch__Role role,
    Ch__Hello *hello, struct link_context *context)
{
	ch__hello__init(hello);
	hello->node = (char *)node;
	hello->place = "p1";
	hello->region = "r";
	hello->role = role;
	hello->protocol = LINK_PROTOCOL;
	context->loop = f->loop;
	context->hello = hello;
	context->silence_limit_usec = HARNESS_DEADLINE_USEC;
	context->queue_max_bytes = LINK_QUEUE_MAX_BYTES;
}

/*
 * Starts the fake routers.
 */
static inline void
fixture_start_routers(struct fixture *f)
{
	static const struct link_ops ops = {
	    router_up, router_frame, router_down};

	for (int i = 0; i < FIXTURE_ROUTERS; i++) {
		struct router *r = &f->routers[i];

		r->fixture = f;
		snprintf(r->node, sizeof(r->node), "n%d", i);
		fixture_init_identity(
		    f, r->node, CH__ROLE__ROLE_ROUTER, &r->hello, &r->context);
		ck_assert_int_eq(link_listen(&r->context, "127.0.0.1:0", &ops,
				     r, &r->listener),
		    STATUS_OK);
		snprintf(r->address, sizeof(r->address), "127.0.0.1:%u",
		    link_listener_port(r->listener));
	}
}

static inline bool
fixture_is_ready(void *arg)
{
	const struct fixture *f = arg;
	json_t *dump = entry_dump(f->entry);
	json_t *local = json_object_get(dump, "local");
	bool ready = json_is_true(json_object_get(dump, "ready")) &&
	    json_integer_value(json_object_get(local, "members")) ==
		FIXTURE_ROUTERS;

	json_decref(dump);
	return ready;
}

/*
 * Starts the syncd, the routers and the caller. Writes the address of the syncd
 * to a buffer of 32 bytes.
 */
static inline void
fixture_start_services(struct fixture *f, char *address)
{
	static const struct link_ops ops = {syncd_up, syncd_frame, syncd_down};
	json_t *inventory = fixture_json(FIXTURE_INVENTORY);
	json_t *rules = fixture_json(FIXTURE_RULES);
	struct part_set *set = NULL;

	memset(f, 0, sizeof(*f));
	ck_assert_int_eq(loop_create(&f->loop), STATUS_OK);
	fixture_init_identity(
	    f, "n0", CH__ROLE__ROLE_SYNCD, &f->hello, &f->context);
	part_split(inventory, rules, &set);
	json_decref(inventory);
	json_decref(rules);
	f->conf = conf_create();
	ck_assert_int_eq(conf_install(f->conf, 1, "c1", set), CONF_APPLIED);
	ck_assert_int_eq(
	    link_listen(&f->context, "127.0.0.1:0", &ops, f, &f->syncd),
	    STATUS_OK);
	snprintf(address, 32, "127.0.0.1:%u", link_listener_port(f->syncd));
	fixture_start_routers(f);
	ck_assert_int_eq(fetch_create(f->loop, &f->fetch), STATUS_OK);
}

/*
 * Starts all parts and waits until the entry is ready.
 */
static inline void
fixture_start(struct fixture *f)
{
	struct entry_config config = {.http_address = "127.0.0.1:0",
	    .validity_usec = FIXTURE_VALIDITY_USEC,
	    .drain_extra_usec = FIXTURE_DRAIN_EXTRA_USEC};
	char address[32];

	fixture_start_services(f, address);
	f->proc.loop = f->loop;
	fixture_init_identity(
	    f, "n0", CH__ROLE__ROLE_ENTRY, &f->proc.hello, &f->proc.links);
	config.syncd_address = address;
	ck_assert_int_eq(entry_create(&f->proc, &config, &f->entry), STATUS_OK);
	snprintf(f->address, sizeof(f->address), "%s", entry_address(f->entry));
	ck_assert(harness_wait(f->loop, fixture_is_ready, f));
}

/*
 * Stops the entry and the caller.
 */
static inline void
fixture_stop(struct fixture *f)
{
	entry_destroy(f->entry);
	fetch_destroy(f->fetch);
	lstr_buf_free(&f->body);
}

static inline void
fixture_on_done(
    struct fetch_call *call, const struct fetch_result *result, void *arg)
{
	struct fixture *f = arg;

	(void)call;
	f->done = true;
	f->status = result->status;
	f->http_status = result->http_status;
	lstr_buf_clear(&f->body);
	lstr_buf_append(&f->body, result->body);
	lstr_buf_append(&f->body, lstr_make("", 1));
}

/*
 * Starts an HTTP call to the entry. deadline is in microseconds; 0: none.
 */
static inline struct fetch_call *
fixture_call(struct fixture *f, const char *method, const char *path,
    const char *body, int64_t deadline)
{
	static const struct fetch_ops ops = {NULL, fixture_on_done};
	char url[128];
	const char *headers[] = {f->header, NULL};
	struct fetch_request request = {.method = method,
	    .url = url,
	    .headers = headers,
	    .body = lstr_from(body),
	    .deadline = deadline,
	    .once = true};
	struct fetch_call *call = NULL;

	f->done = false;
	snprintf(url, sizeof(url), "http://%s%s", f->address, path);
	ck_assert_int_eq(
	    fetch_start(f->fetch, &request, &ops, f, &call), STATUS_OK);
	return call;
}

static inline bool
fixture_is_done(void *arg)
{
	return ((struct fixture *)arg)->done;
}

/*
 * Posts a request written with single quotes and waits for the answer.
 */
static inline void
fixture_post(struct fixture *f, const char *text)
{
	json_t *json = fixture_json(text);
	char *body = json_dumps(json, 0);

	fixture_call(f, "POST", "/v1/requests", body, 0);
	free(body);
	json_decref(json);
	ck_assert(harness_wait(f->loop, fixture_is_done, f));
}

#endif
