#include "harness.h"

#include <string.h>

#include "h1_priv.h"
#include "platform.h"

/* Fields of an entry that a server always writes, besides those that a test
 * states. */
#define ENTRY_REST                                                             \
	"\"version\":\"v1\",\"slots\":8,\"coldRemainingMs\":0,\"sequence\":1,"

/* Checks the decoding of a configuration: traffic splits, unknown fields, API
 * keys and units. */
START_TEST(configuration_is_decoded)
{
	static const char text[] =
	    "{\"version\":7,\"future\":{\"x\":1},\"routes\":["
	    "{\"name\":\"r1\",\"host\":\"H.example\",\"prefix\":\"/a/\","
	    "\"kind\":\"streaming\",\"timeoutMs\":20000,"
	    "\"targetLatencyMs\":500,\"targetGapMs\":250,\"maxAttempts\":2,"
	    "\"resumable\":true,\"trafficSplit\":[{\"service\":\"s\","
	    "\"weight\":90},{\"service\":\"t\",\"weight\":10}]},"
	    "{\"name\":\"r2\",\"host\":\"h.example\",\"prefix\":\"/a/b/\","
	    "\"kind\":\"non_idempotent\",\"service\":\"t\"},"
	    "{\"name\":\"bad\",\"host\":\"h.example\",\"prefix\":\"/c/\","
	    "\"kind\":\"a kind of tomorrow\",\"service\":\"t\"}],"
	    "\"services\":[{\"name\":\"t\",\"maxConnections\":110}],"
	    "\"limits\":{\"maxHeaderBytes\":1000,\"idleTimeoutMs\":15000},"
	    "\"tenants\":[{\"name\":\"acme\",\"apiKeys\":[\"k1\",7],"
	    "\"priority\":1}]}";
	struct fleet_config *config = NULL;
	const struct fleet_route *route;

	ck_assert_int_eq(
	    platform_decode_config(lstr_from(text), &config), STATUS_OK);
	ck_assert_int_eq(config->version, 7);
	route = fleet_config_find_route(
	    config, lstr_from("h.example:8080"), lstr_from("/a/x?q=/a/b/"));
	ck_assert_ptr_nonnull(route);
	ck_assert_str_eq(route->name, "r1");
	ck_assert_int_eq(route->objective_usec, 500000);
	ck_assert(route->resumable);
	ck_assert_str_eq(fleet_route_pick_service(route, 89), "s");
	ck_assert_str_eq(fleet_route_pick_service(route, 90), "t");
	route = fleet_config_find_route(
	    config, lstr_from("h.example"), lstr_from("/a/b/c"));
	ck_assert_str_eq(route->name, "r2");
	ck_assert_int_eq(route->kind, FLEET_NON_IDEMPOTENT);
	ck_assert_ptr_null(fleet_config_find_route(
	    config, lstr_from("h.example"), lstr_from("/c/d")));
	ck_assert_str_eq(
	    fleet_config_find_organisation(config, lstr_from("k1"))->name,
	    "acme");
	ck_assert_ptr_null(
	    fleet_config_find_organisation(config, lstr_from("k")));
	ck_assert_uint_eq(config->limits.head_max_bytes, 1000);
	ck_assert_int_eq(config->limits.idle_timeout_usec, 15000000);
	fleet_config_unref(config);
}
END_TEST

/* Guards against accepting values that are not a configuration. */
START_TEST(unreadable_configuration_is_refused)
{
	static const char *const texts[] = {"", "no json", "[]", "{}",
	    "{\"version\":\"7\",\"routes\":[]}", "{\"version\":7}"};
	struct fleet_config *config = NULL;

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++)
		ck_assert_int_eq(
		    platform_decode_config(lstr_from(texts[i]), &config),
		    STATUS_INVALID);
}
END_TEST

/* Checks the decoding of valid and invalid server entries. */
START_TEST(server_entries_are_decoded_or_refused)
{
	static const char *const bad[] = {"", "\xff\xfe", "{}",
	    "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\"}",
	    "{\"service\":\"s\",\"address\":\"10.0.0.1\",\"zone\":\"z\","
	    "\"state\":\"ready\"}",
	    "{\"service\":7,\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
	    "\"state\":\"ready\"}",
	    "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
	    "\"state\":\"dreaming\"}"};
	struct fleet_server server;

	ck_assert_int_eq(
	    platform_decode_server(lstr_from("i-1"),
		lstr_from("{\"service\":\"s\",\"address\":\"10.0.0.1:80\","
			  "\"zone\":\"z\",\"state\":\"draining\"," ENTRY_REST
			  "\"kind\":\"a100\",\"born\":1700000000123,"
			  "\"layers\":{\"source\":4,\"target\":9}}"),
		&server),
	    STATUS_OK);
	ck_assert_int_eq(server.state, FLEET_DRAINING);
	ck_assert_uint_eq(server.layer_from, 4);
	ck_assert_uint_eq(server.layer_to, 9);
	ck_assert_int_eq(server.born, 1700000000123);
	fleet_server_clear(&server);
	ck_assert_int_eq(
	    platform_decode_server(lstr_from("i-1"),
		lstr_from("{\"service\":\"s\",\"address\":\"10.0.0.1:80\","
			  "\"zone\":\"z\",\"state\":\"ready\"," ENTRY_REST
			  "\"layers\":null}"),
		&server),
	    STATUS_OK);
	ck_assert_uint_eq(server.layer_to, 0);
	fleet_server_clear(&server);
	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++)
		ck_assert_int_eq(platform_decode_server(lstr_from("i-1"),
				     lstr_from(bad[i]), &server),
		    STATUS_INVALID);
}
END_TEST

/* Checks the decoding of an engine's report. */
START_TEST(report_is_decoded)
{
	struct adapter_report report;

	ck_assert_int_eq(
	    platform_decode_report(
		lstr_from("{\"busy\":true,\"sequence\":3,\"layers\":"
			  "[{\"source\":0,\"target\":5}],\"stalledServers\":"
			  "[{\"id\":\"i-2\",\"address\":\"10.0.0.2:80\"},{}]}"),
		&report),
	    STATUS_OK);
	ck_assert(report.busy);
	ck_assert_int_eq(report.order_sequence, 3);
	ck_assert_uint_eq(report.layer_to, 5);
	ck_assert_uint_eq(report.stalled->len, 1);
	g_ptr_array_free(report.stalled, TRUE);
	ck_assert_int_eq(
	    platform_decode_report(lstr_from("[]"), &report), STATUS_INVALID);
}
END_TEST

/* Checks the encoding of an order to hold layers. */
START_TEST(order_is_encoded)
{
	struct adapter_order order = {4, 9, 77, 2};
	struct lstr_buf text = {0};

	platform_encode_order("10.0.0.1:80", "i-1", &order, &text);
	lstr_buf_append(&text, lstr_make("", 1));
	ck_assert_ptr_nonnull(strstr(text.data, "Expect-Instance: i-1\r\n"));
	ck_assert_ptr_nonnull(strstr(text.data,
	    "{\"operation\":\"place\",\"source\":4,\"target\":9,"
	    "\"drainMode\":\"backoff\",\"fencingToken\":77,"
	    "\"precondition\":2}"));
	lstr_buf_free(&text);
	ck_assert_int_eq(platform_order_outcome(202), ADAPTER_ORDER_ACCEPTED);
	ck_assert_int_eq(platform_order_outcome(409), ADAPTER_ORDER_STALE);
	ck_assert_int_eq(platform_order_outcome(412), ADAPTER_ORDER_FENCED);
	ck_assert_int_eq(platform_order_outcome(500), ADAPTER_ORDER_REFUSED);
}
END_TEST

/* Checks the encoding of an order to continue along another path. */
START_TEST(reroute_is_encoded)
{
	const struct adapter_stage stages[] = {
	    {"10.0.0.1:80", 0, 5}, {"10.0.0.2:80", 5, 9}};
	struct adapter_reroute order = {"abc", stages, 2};
	struct lstr_buf text = {0};
	char *address;

	platform_encode_reroute("10.0.0.1:80", "i-1", &order, &text);
	lstr_buf_append(&text, lstr_make("", 1));
	ck_assert_ptr_nonnull(strstr(text.data, "Expect-Instance: i-1\r\n"));
	ck_assert_ptr_nonnull(strstr(text.data,
	    "{\"operation\":\"repath\",\"id\":\"abc\","
	    "\"path\":\"10.0.0.1:80=0-5,10.0.0.2:80=5-9\"}"));
	lstr_buf_free(&text);
	address = platform_decode_refusing_server(
	    lstr_from("{\"address\":\"10.0.0.2:80\"}"));
	ck_assert_str_eq(address, "10.0.0.2:80");
	g_free(address);
	ck_assert_ptr_null(platform_decode_refusing_server(lstr_from("{}")));
	ck_assert_ptr_null(
	    platform_decode_refusing_server(lstr_from("nothing")));
}
END_TEST

/*
 * Makes a connection that has received the head of a response with one header.
 * The test frees the head_text.
 */
static struct h1_conn
received_head(unsigned int status, const char *name, const char *value,
    struct header *header)
{
	struct h1_conn conn = {.headers = header, .header_count = 1};

	conn.parser.status_code = status;
	conn.parser.http_major = 1;
	conn.parser.http_minor = 1;
	header->name = (struct span){0, (uint32_t)strlen(name)};
	header->value =
	    (struct span){(uint32_t)strlen(name), (uint32_t)strlen(value)};
	lstr_buf_printf(&conn.head_text, "%s%s", name, value);
	return conn;
}

/*
 * Decodes a response head with one header.
 */
static struct adapter_notice
decode_notice(unsigned int status, const char *name, const char *value)
{
	struct header header;
	struct h1_conn conn = received_head(status, name, value, &header);
	struct adapter_response response;

	platform_parse_response(&conn, &response);
	lstr_buf_free(&conn.head_text);
	return response.notice;
}

/* Guards against missing that a server leaves, and against taking another value
 * of the header for it. */
START_TEST(leaving_server_is_recognised)
{
	ck_assert(decode_notice(200, "Server-Leaving", "1").leaving);
	ck_assert(decode_notice(503, "server-leaving", "1 ").leaving);
	ck_assert(!decode_notice(200, "Server-Leaving", "0").leaving);
	ck_assert(!decode_notice(200, "Server-Leaving", "").leaving);
	ck_assert(!decode_notice(200, "X-Server-Leaving", "1").leaving);
}
END_TEST

/* Guards against missing the time in a refusal, and against times from values
 * that are none. */
START_TEST(retry_time_of_a_refusal_is_decoded)
{
	static const char *const bad[] = {"", "-3", "+3", "soon", "nan", "inf",
	    "1e9", "0x10", "3 s", "1.2.3", ".", "0", "0.0",
	    "Wed, 21 Oct 2026 07:28:00 GMT"};
	const char *name = "Retry-After";

	ck_assert_int_eq(
	    decode_notice(503, name, "2").retry_after_usec, 2000000);
	ck_assert_int_eq(
	    decode_notice(503, name, "0.25 ").retry_after_usec, 250000);
	ck_assert_int_eq(decode_notice(429, name, "2").retry_after_usec, 0);
	ck_assert_int_eq(decode_notice(200, name, "2").retry_after_usec, 0);
	ck_assert_int_eq(decode_notice(503, name, "99999999999999999999999999")
			     .retry_after_usec,
	    1000000000000000);
	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++)
		ck_assert_int_eq(
		    decode_notice(503, name, bad[i]).retry_after_usec, 0);
}
END_TEST

/* Guards against callers that return at the time which one server has set for
 * this node. */
START_TEST(retry_time_of_a_server_is_not_passed_on)
{
	struct header header;
	struct h1_conn conn = received_head(503, "Retry-After", "7", &header);
	struct lstr_buf text = {0};

	platform_encode_response(&conn, false, LOOP_USEC_PER_SEC, &text);
	lstr_buf_append(&text, lstr_make("", 1));
	ck_assert_ptr_null(strstr(text.data, "Retry-After"));
	lstr_buf_free(&text);
	lstr_buf_free(&conn.head_text);
}
END_TEST

/* Guards against callers that use a connection just when it is closed, because
 * they are not told how long it is kept. */
START_TEST(callers_are_told_how_long_connections_are_kept)
{
	static const struct {
		int64_t keep_usec;
		const char *stated;
		const char *absent;
	} rows[] = {{15900 * LOOP_USEC_PER_MSEC, "Keep-Alive: timeout=15\r\n",
			"Connection"},
	    {0, "Connection: close\r\n", "Keep-Alive"},
	    {900 * LOOP_USEC_PER_MSEC, "\r\n", "Keep-Alive"}};

	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		struct header header;
		struct h1_conn conn =
		    received_head(200, "Keep-Alive", "timeout=3", &header);
		struct lstr_buf text = {0};

		platform_encode_response(
		    &conn, false, rows[i].keep_usec, &text);
		platform_encode_refusal(
		    503, lstr_from("a"), 0, rows[i].keep_usec, "full", &text);
		lstr_buf_append(&text, lstr_make("", 1));
		ck_assert_ptr_nonnull(strstr(text.data, rows[i].stated));
		ck_assert_ptr_nonnull(
		    strstr(strstr(text.data, "503"), rows[i].stated));
		ck_assert_ptr_null(strstr(text.data, rows[i].absent));
		lstr_buf_free(&text);
		lstr_buf_free(&conn.head_text);
	}
}
END_TEST

/* Checks the parsing of lookup requests and the readiness check. */
START_TEST(lookup_and_readiness_are_parsed)
{
	struct adapter_lookup lookup = {NULL, NULL};

	ck_assert(platform_is_lookup(
	    lstr_from("/lookup?name=x&region=r%2d1&zone=here"), &lookup));
	ck_assert_str_eq(lookup.place, "here");
	ck_assert_str_eq(lookup.region, "r-1");
	g_free(lookup.place);
	g_free(lookup.region);
	ck_assert(platform_is_lookup(lstr_from("/lookup"), &lookup));
	ck_assert_ptr_null(lookup.place);
	ck_assert(!platform_is_lookup(lstr_from("/else"), &lookup));
	ck_assert(platform_is_ready_check(lstr_from("/readiness")));
}
END_TEST

/* Checks the encoding of store calls and the mapping of their HTTP statuses. */
START_TEST(store_calls_are_encoded)
{
	struct kv_args args = {.key = lstr_from("a/b c"),
	    .value_base64 = "dg==",
	    .version = 9,
	    .after = 4,
	    .wait_msec = 600,
	    .lease = lstr_from("77"),
	    .ttl_msec = 3000};
	struct kv_http_request text = {0};
	char *body;

	platform_store_protocol.build_request(KV_WATCH, &args, &text);
	ck_assert_str_eq(
	    text.path, "/kv-watch?prefix=a/b%20c&after=4&waitMs=600");
	g_free(text.path);
	memset(&text, 0, sizeof(text));
	platform_store_protocol.build_request(KV_PUT, &args, &text);
	body = json_dumps(text.body, JSON_COMPACT);
	ck_assert_str_eq(text.method, "POST");
	ck_assert_str_eq(body,
	    "{\"precondition\":[{\"key\":\"a/b c\",\"revision\":9}],"
	    "\"write\":[{\"key\":\"a/b c\",\"value\":\"dg==\","
	    "\"lease\":77}],\"remove\":[]}");
	free(body);
	json_decref(text.body);
	g_free(text.path);
	ck_assert_int_eq(
	    platform_store_protocol.status(KV_PUT, 503), STATUS_UNAVAILABLE);
	ck_assert_int_eq(
	    platform_store_protocol.status(KV_PUT, 500), STATUS_AMBIGUOUS);
	ck_assert_int_eq(
	    platform_store_protocol.status(KV_PUT, 412), STATUS_CONFLICT);
	ck_assert_int_eq(
	    platform_store_protocol.status(KV_WATCH, 410), STATUS_EXPIRED);
}
END_TEST

/* Guards against an entry of another writer that ends the node, counts as
 * another number, or hides the entry of a sound server. */
START_TEST(odd_entries_cost_only_themselves)
{
	static const char *const unusable[] = {"", "[", "null", "[]",
	    "{\"service\":7}",
	    "{\"service\":\"w\",\"address\":\"10.0.0.1:65536\",\"zone\":\"a\","
	    "\"state\":\"ready\"}",
	    "{\"service\":\"w\",\"address\":\"10.0.0.1:80\",\"zone\":\"a\","
	    "\"state\":\"ready\",\"slots\":123456789012345678901234567890}",
	    "{\"service\":\"w\",\"address\":\"10.0.0.1:80\",\"zone\":\"a\","
	    "\"state\":\"unknown\"}"};
	static const char odd[] =
	    "{\"service\":\"w\",\"address\":\"10.0.0.1:80\",\"zone\":\"a\","
	    "\"version\":\"v1\",\"coldRemainingMs\":0,\"sequence\":1,"
	    "\"state\":\"ready\",\"slots\":-1,\"born\":-4,"
	    "\"layers\":{\"source\":-5,\"target\":4294967297}}";
	struct fleet_server server;

	for (size_t i = 0; i < G_N_ELEMENTS(unusable); i++)
		ck_assert_int_eq(platform_decode_server(lstr_from("i-1"),
				     lstr_from(unusable[i]), &server),
		    STATUS_INVALID);
	ck_assert_int_eq(
	    platform_decode_server(lstr_make("", 0), lstr_from(odd), &server),
	    STATUS_INVALID);
	ck_assert_int_eq(
	    platform_decode_server(lstr_from("i-1"), lstr_from(odd), &server),
	    STATUS_OK);
	ck_assert_uint_eq(server.slots, 0);
	ck_assert_int_eq(server.born, 0);
	ck_assert_uint_eq(server.layer_from, 0);
	ck_assert_uint_eq(server.layer_to, 0);
	fleet_server_clear(&server);
}
END_TEST

/* Guards against using an entry of another writer, in which any one field is
 * missing or of another type. */
START_TEST(incomplete_entries_name_no_server)
{
	static const char *const fields[] = {"service", "address", "zone",
	    "version", "slots", "state", "coldRemainingMs", "sequence", "born"};
	struct fleet_server server;

	for (size_t i = 0; i < 2 * G_N_ELEMENTS(fields); i++) {
		const char *name = fields[i / 2];
		json_t *entry = json_loads(
		    "{\"service\":\"s\",\"address\":\"10.0.0.1:80\"," ENTRY_REST
		    "\"zone\":\"z\",\"state\":\"ready\",\"born\":17}",
		    0, NULL);
		bool usable = strcmp(name, "born") == 0 && i % 2 == 0;
		char *text;

		json_object_del(entry, name);
		if (i % 2 == 1)
			json_object_set_new(entry, name, json_array());
		text = json_dumps(entry, JSON_COMPACT);
		ck_assert_msg(
		    (platform_decode_server(lstr_from("i-1"), lstr_from(text),
			 &server) == STATUS_OK) == usable,
		    "%s", text);
		if (usable)
			fleet_server_clear(&server);
		free(text);
		json_decref(entry);
	}
}
END_TEST

HARNESS_MAIN("platform", incomplete_entries_name_no_server,
    configuration_is_decoded, unreadable_configuration_is_refused,
    server_entries_are_decoded_or_refused, report_is_decoded, order_is_encoded,
    reroute_is_encoded, leaving_server_is_recognised,
    retry_time_of_a_refusal_is_decoded, retry_time_of_a_server_is_not_passed_on,
    callers_are_told_how_long_connections_are_kept,
    lookup_and_readiness_are_parsed, store_calls_are_encoded,
    odd_entries_cost_only_themselves)
