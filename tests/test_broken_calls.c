#include "harness.h"

#include <arpa/inet.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "ctl.h"
#include "engine.h"
#include "instance_list.h"
#include "kv.h"
#include "plain.h"

#define CALL_USEC (10 * LOOP_USEC_PER_SEC)
#define TEXT_MAX_BYTES 1024

/* Answers for a body, of which the first is valid: the length of the body, and
 * then the body, stand between these parts. */
static const struct {
	const char *start;
	const char *middle;
	const char *end;
	/* The length is hexadecimal. */
	bool in_chunks;
} formats[] = {{"HTTP/1.1 200 X\r\nContent-Length: ", "\r\n\r\n", "", false},
    {"HTTP/1.1 000 X\r\nContent-Length: ", "\r\n\r\n", "", false},
    {"HTTP/1.1 600 X\r\nContent-Length: ", "\r\n\r\n", "", false},
    {"HTTP/1.1 200 X\r\nX More: y\r\nContent-Length: ", "\r\n\r\n", "", false},
    {"HTTP/1.1 200 X\r\nX\001: y\r\nContent-Length: ", "\r\n\r\n", "", false},
    {"HTTP/1.1 200 X\r\nContent-Length: ", "\r\n X: y\r\n\r\n", "", false},
    {"HTTP/1.1 200 X\r\nContent-Length : 1\r\nContent-Length: ", "\r\n\r\n", "",
	false},
    {"HTTP/1.1 200 X\r\nContent-Length: +", "\r\n\r\n", "", false},
    {"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n", " x\r\n",
	"\r\n0\r\n\r\n", true},
    {"HTTP/1.1 200 X\r\nTransfer-Encoding: gzip\r\nX: ", "\r\n\r\n", "", false},
    {"HTTP/1.1 100 X\r\n\r\nHTTP/1.1 000 X\r\nContent-Length: ", "\r\n\r\n", "",
	false}};

#define FORMATS (sizeof(formats) / sizeof(*formats))

struct fixture {
	struct loop *loop;
	struct fetch *fetch;
	/* The process that answers each call with the same bytes. */
	pid_t server;
	char address[32];
	bool done;
	enum status status;
	bool maybe_run;
	size_t tokens;
};

/*
 * Answers each connection with the same bytes and closes it.
 */
static void
serve(int listener, const char *answer)
{
	char request[4096];

	for (;;) {
		int fd = accept(listener, NULL, NULL);

		if (recv(fd, request, sizeof(request), 0) > 0)
			send(fd, answer, strlen(answer), MSG_NOSIGNAL);
		shutdown(fd, SHUT_WR);
		while (recv(fd, request, sizeof(request), 0) > 0)
			;
		close(fd);
	}
}

/*
 * Starts a server whose answers have a body, in one of the formats.
 */
static void
fixture_start(struct fixture *f, size_t format, const char *body)
{
	struct sockaddr_in address = {
	    .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t len = sizeof(address);
	char answer[TEXT_MAX_BYTES];
	int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	memset(f, 0, sizeof(*f));
	ck_assert_int_eq(
	    bind(listener, (struct sockaddr *)&address, sizeof(address)), 0);
	ck_assert_int_eq(listen(listener, 4), 0);
	getsockname(listener, (struct sockaddr *)&address, &len);
	snprintf(f->address, sizeof(f->address), "127.0.0.1:%u",
	    (unsigned int)ntohs(address.sin_port));
	snprintf(answer, sizeof(answer),
	    formats[format].in_chunks ? "%s%zx%s%s%s" : "%s%zu%s%s%s",
	    formats[format].start, strlen(body), formats[format].middle, body,
	    formats[format].end);
	f->server = fork();
	ck_assert_int_ge(f->server, 0);
	if (f->server == 0)
		serve(listener, answer);
	close(listener);
	ck_assert_int_eq(loop_create(&f->loop), STATUS_OK);
	ck_assert_int_eq(fetch_create(f->loop, &f->fetch), STATUS_OK);
}

static void
fixture_stop(struct fixture *f)
{
	kill(f->server, SIGKILL);
	waitpid(f->server, NULL, 0);
	fetch_destroy(f->fetch);
	loop_destroy(f->loop);
}

static bool
is_done(void *arg)
{
	return ((struct fixture *)arg)->done;
}

static void
on_token(struct engine_call *call, const struct engine_token *token, void *arg)
{
	(void)call;
	(void)token;
	((struct fixture *)arg)->tokens++;
}

static void
on_end(struct engine_call *call, const struct engine_end *end, void *arg)
{
	struct fixture *f = arg;

	(void)call;
	f->status = end->status;
	f->maybe_run = end->maybe_run;
	f->done = true;
}

static const struct engine_listener listener_ops = {on_token, on_end};

/* Guards against tokens of an answer that is not valid. */
START_TEST(broken_answer_of_an_engine_fails_the_attempt)
{
	static const char body[] =
	    "{\"request\":\"r1\",\"attempt\":2,\"position\":5,"
	    "\"token\":\"t\",\"trail\":[],\"last\":true}\n";

	for (size_t i = 0; i < FORMATS; i++) {
		struct fixture f;
		struct engine *engine;
		struct engine_call *call;
		struct engine_stage stage = {.first = 0, .last = 3};
		struct engine_attempt attempt = {.request = lstr_from("r1"),
		    .attempt = 2,
		    .stages = &stage,
		    .stage_count = 1,
		    .prompt = lstr_from("x"),
		    .max_tokens = 9};

		fixture_start(&f, i, body);
		stage.instance = lstr_from("a");
		stage.address = lstr_from(f.address);
		ck_assert_int_eq(
		    engine_http_create(f.loop, f.fetch, &engine), STATUS_OK);
		ck_assert_int_eq(engine->vtable->start(engine, &attempt,
				     &listener_ops, &f, &call),
		    STATUS_OK);
		ck_assert(harness_wait(f.loop, is_done, &f));
		ck_assert_msg(f.status == (i == 0 ? STATUS_OK : STATUS_INVALID),
		    "'%s': %s", formats[i].start, status_name(f.status));
		ck_assert(f.maybe_run);
		ck_assert_uint_eq(f.tokens, i == 0);
		engine->vtable->destroy(engine);
		fixture_stop(&f);
	}
}
END_TEST

static void
on_load(const struct engine_load *load, void *arg)
{
	struct fixture *f = arg;

	f->status = load->status;
	f->done = true;
}

/* Guards against the load in an answer that is not valid. */
START_TEST(broken_answer_to_a_load_query_is_an_error)
{
	for (size_t i = 0; i < FORMATS; i++) {
		struct fixture f;
		struct engine *engine;

		fixture_start(
		    &f, i, "{\"running\":3,\"queued\":4,\"leaving\":true}");
		ck_assert_int_eq(
		    engine_http_create(f.loop, f.fetch, &engine), STATUS_OK);
		engine->vtable->query_load(engine, lstr_from("a"),
		    lstr_from(f.address), loop_now(f.loop) + CALL_USEC, on_load,
		    &f);
		ck_assert(harness_wait(f.loop, is_done, &f));
		ck_assert_msg(f.status == (i == 0 ? STATUS_OK : STATUS_INVALID),
		    "'%s': %s", formats[i].start, status_name(f.status));
		engine->vtable->destroy(engine);
		fixture_stop(&f);
	}
}
END_TEST

static void
on_plain_done(const struct plain_result *result, void *arg)
{
	struct fixture *f = arg;

	f->status = result->status;
	f->maybe_run = result->maybe_run;
	f->done = true;
}

/* Guards against an answer of a plain service that is not valid and reaches the
 * caller, and against an order that is taken not to have run because of it. */
START_TEST(broken_answer_of_a_plain_service_may_have_run)
{
	for (size_t i = 0; i < FORMATS; i++) {
		struct fixture f;
		struct plain *plain;
		struct plain_call *call;
		struct plain_request request = {.request = lstr_from("r1"),
		    .operation = lstr_from("swap"),
		    .body = lstr_from("b"),
		    .key = lstr_from("1-k"),
		    .fence = 5,
		    .once = true};

		fixture_start(&f, i, "done");
		request.address = lstr_from(f.address);
		request.deadline = loop_now(f.loop) + CALL_USEC;
		ck_assert_int_eq(
		    plain_http_create(f.loop, f.fetch, &plain), STATUS_OK);
		ck_assert_int_eq(plain->vtable->start(
				     plain, &request, on_plain_done, &f, &call),
		    STATUS_OK);
		ck_assert(harness_wait(f.loop, is_done, &f));
		ck_assert_msg(f.status == (i == 0 ? STATUS_OK : STATUS_INVALID),
		    "'%s': %s", formats[i].start, status_name(f.status));
		ck_assert(f.maybe_run);
		plain->vtable->destroy(plain);
		fixture_stop(&f);
	}
}
END_TEST

static void
on_kv_result(const struct kv_result *result, void *arg)
{
	struct fixture *f = arg;

	f->status = result->status;
	f->done = true;
}

/*
 * Makes a call of the key-value service.
 */
static void
start_kv_call(struct fixture *f, struct kv *kv, enum kv_kind kind)
{
	struct lstr key = lstr_from("k");
	int64_t deadline = loop_now(f->loop) + CALL_USEC;

	switch (kind) {
	case KV_GET:
		kv->vtable->get(kv, key, deadline, on_kv_result, f);
		break;
	case KV_PUT:
		kv->vtable->put(kv, key, lstr_from("v"), 0, lstr_make("", 0),
		    deadline, on_kv_result, f);
		break;
	case KV_DELETE:
		kv->vtable->remove(kv, key, 1, deadline, on_kv_result, f);
		break;
	case KV_LIST:
		kv->vtable->list(
		    kv, key, lstr_make("", 0), deadline, on_kv_result, f);
		break;
	case KV_LEASE_GRANT:
		kv->vtable->lease_grant(
		    kv, LOOP_USEC_PER_SEC, deadline, on_kv_result, f);
		break;
	case KV_LEASE_RENEW:
		kv->vtable->lease_renew(
		    kv, lstr_from("l"), deadline, on_kv_result, f);
		break;
	default:
		kv->vtable->watch(
		    kv, key, 1, loop_now(f->loop), deadline, on_kv_result, f);
	}
}

/* Guards against values, lists and confirmations in answers of the store that
 * are not valid. */
START_TEST(broken_answer_of_the_store_is_none)
{
	for (int n = 0; n < (int)FORMATS * KV_KIND_COUNT; n++) {
		enum kv_kind kind = (enum kv_kind)(n % KV_KIND_COUNT);
		size_t i = (size_t)n / KV_KIND_COUNT;
		struct fixture f;
		struct kv *kv;

		fixture_start(&f, i,
		    "{\"value\":\"dg==\",\"version\":1,\"revision\":1,"
		    "\"items\":[],\"events\":[],\"lease\":\"l\"}");
		ck_assert_int_eq(
		    kv_http_create(f.loop, f.fetch, f.address, &kv), STATUS_OK);
		start_kv_call(&f, kv, kind);
		ck_assert(harness_wait(f.loop, is_done, &f));
		ck_assert_msg(f.status ==
			(i == 0			    ? STATUS_OK
				: kv_is_write(kind) ? STATUS_AMBIGUOUS
						    : STATUS_UNAVAILABLE),
		    "kind %d, '%s': %s", (int)kind, formats[i].start,
		    status_name(f.status));
		kv->vtable->destroy(kv);
		fixture_stop(&f);
	}
}
END_TEST

static void
on_poll(const struct instance_list_result *result, void *arg)
{
	struct fixture *f = arg;

	f->status = result->status;
	f->done = true;
}

/* Guards against an empty list of instances in an answer that is not valid. */
START_TEST(broken_instance_list_is_unavailable)
{
	for (size_t i = 0; i < FORMATS; i++) {
		struct fixture f;
		struct instance_list *list;

		fixture_start(&f, i, "{\"instances\":[]}");
		ck_assert_int_eq(instance_list_http_create(
				     f.loop, f.fetch, f.address, &list),
		    STATUS_OK);
		list->vtable->poll(
		    list, loop_now(f.loop) + CALL_USEC, on_poll, &f);
		ck_assert(harness_wait(f.loop, is_done, &f));
		ck_assert_msg(
		    f.status == (i == 0 ? STATUS_OK : STATUS_UNAVAILABLE),
		    "'%s': %s", formats[i].start, status_name(f.status));
		list->vtable->destroy(list);
		fixture_stop(&f);
	}
}
END_TEST

/* Guards against an answer to an operator's command that is not valid. */
START_TEST(broken_answer_to_an_operator_is_an_error)
{
	for (size_t i = 0; i < FORMATS; i++) {
		struct fixture f;
		struct ctl_options options = {
		    .timeout_usec = 10 * LOOP_USEC_PER_SEC};
		struct ctl_response response;
		struct ctl *ctl;

		fixture_start(&f, i, "{\"revision\":42}");
		options.syncd = f.address;
		ck_assert_int_eq(ctl_create(f.loop, &options, &ctl), STATUS_OK);
		ctl_call(ctl, "GET", "/v1/config", lstr_make("", 0), &response);
		ck_assert_msg(
		    response.status == (i == 0 ? STATUS_OK : STATUS_INVALID),
		    "'%s': %s", formats[i].start, status_name(response.status));
		ck_assert((response.json != NULL) == (i == 0));
		ck_assert(response.maybe_sent);
		json_decref(response.json);
		ctl_destroy(ctl);
		fixture_stop(&f);
	}
}
END_TEST

HARNESS_MAIN("broken_calls", broken_answer_of_an_engine_fails_the_attempt,
    broken_answer_to_a_load_query_is_an_error,
    broken_answer_of_a_plain_service_may_have_run,
    broken_answer_of_the_store_is_none, broken_instance_list_is_unavailable,
    broken_answer_to_an_operator_is_an_error)
