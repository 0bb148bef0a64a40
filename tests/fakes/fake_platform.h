#ifndef CH_FAKE_PLATFORM_H
#define CH_FAKE_PLATFORM_H

#include "h1.h"

/*
 * A fake of the users' platform that runs on the loop of a test: the store,
 * layered engines and plain servers, with faults that tests can inject.
 */
struct fake_platform;

/* The engines are the first servers, and the plain ones follow. */
#define FAKE_ENGINE_COUNT 5
#define FAKE_PLAIN_COUNT 2
#define FAKE_LAYER_COUNT 8

#define FAKE_DEADLY_PART "dead"
#define FAKE_PAUSE_USEC (1200 * LOOP_USEC_PER_MSEC)

/* Faults of an engine or a plain server; some are for one of them only. */
enum fake_fault {
	FAKE_NONE,
	/*
	 * Engine: sends nothing from the given event on, not even responses to
	 * queries. Plain: runs the request and sends nothing.
	 */
	FAKE_UNRESPONSIVE,
	/*
	 * Closes the connection in the middle of the given event (engine) or of
	 * the body (plain).
	 */
	FAKE_TRUNCATED,
	/* Plain: runs the request and closes without a response. */
	FAKE_NO_RESPONSE,
	/* Plain: sends a response to another request first. */
	FAKE_STRAY_RESPONSE,
	/*
	 * Engine: on a connection that has carried a request before, writes a
	 * refusal first, without an identifier or with that of an earlier
	 * request.
	 */
	FAKE_REPEATED_REFUSAL,
	FAKE_REPEATED_STRAY_REFUSAL,
	/*
	 * Engine: breaks a stream off within the given event, and answers the
	 * request to continue it with an error whose body looks like events, or
	 * with a success: a page, or events without identifiers.
	 */
	FAKE_CONTINUED_BY_ERROR,
	FAKE_CONTINUED_BY_PAGE,
	FAKE_CONTINUED_BY_NOTES,
	/* Both: responds with 503, with a stamp but without a statement that
	 * the request did not run. */
	FAKE_UNPROVED_REFUSAL,
	/* Plain: responds with status 500. */
	FAKE_ERROR,
	/* Both: rejects the request and states that it did not run. */
	FAKE_REFUSED,
	/* Engine: sends the given event byte by byte and never completes it. */
	FAKE_TRICKLE,
	/*
	 * Engine: falls silent for FAKE_PAUSE_USEC after each stream's given
	 * event, also to queries and new requests, and then goes on.
	 */
	FAKE_PAUSING,
	/*
	 * Engine: ends when it begins to write the answer to a request with the
	 * part FAKE_DEADLY_PART in its prompt, and comes back after a while.
	 */
	FAKE_DEADLY,
	/* The same; its responses have neither a length nor chunks. */
	FAKE_DEADLY_UNFRAMED,
	/*
	 * Responses have neither a length nor chunks and end with their
	 * connection. Engine: after the last event, within the given event, or
	 * by a reset before it. Plain: after the body, or by a reset within it.
	 */
	FAKE_UNFRAMED,
	FAKE_UNFRAMED_CUT,
	FAKE_UNFRAMED_RESET,
	/*
	 * Both: sends bytes until the connection is closed, as an unfinished
	 * head, as interim responses, as the body of a success, a refusal or
	 * the response to another request.
	 */
	FAKE_ENDLESS_HEAD,
	FAKE_ENDLESS_INTERIM,
	FAKE_ENDLESS_SUCCESS,
	FAKE_ENDLESS_REFUSAL,
	FAKE_ENDLESS_STRAY
};

/* The calls that fake_platform_set_raw_answer() is about. */
enum fake_calls {
	/* Requests that are passed on, and of these, those that continue a
	 * stream. */
	FAKE_CALLS_REQUESTS = 1 << 0,
	FAKE_CALLS_CONTINUATIONS = 1 << 1,
	/* Orders to engines, and queries of their reports. */
	FAKE_CALLS_ORDERS = 1 << 2,
	FAKE_CALLS_REPORTS = 1 << 3,
	FAKE_CALLS_STORE = 1 << 4
};

struct fake_platform *fake_platform_new(struct loop *, struct h1 *);
void fake_platform_free(struct fake_platform *);
/* Bytes that servers sent for the endless faults. */
size_t fake_platform_endless_bytes(const struct fake_platform *);
uint16_t fake_platform_port(const struct fake_platform *);
/* Stores a configuration with one organisation, which has the given key. */
void fake_platform_configure(
    struct fake_platform *, int version, const char *key);
/* Adds the idempotent route /NAME/ to all later configurations. */
void fake_platform_add_route(struct fake_platform *, const char *name);
/* The same for a non-idempotent one with a time limit of 20 s. */
void fake_platform_add_long_route(struct fake_platform *, const char *name);
/* The same for an idempotent one, which may be sent to two servers. */
void fake_platform_add_repeatable_route(
    struct fake_platform *, const char *name);
/* The same for an idempotent one, which may be sent to three servers. */
void fake_platform_add_persistent_route(
    struct fake_platform *, const char *name);
/* Sets the limits of callers' heads and bodies in all later configurations. */
void fake_platform_set_request_limits(
    struct fake_platform *, size_t head_max, size_t body_max);
/* Sets the time for which they may be idle, in the same way. */
void fake_platform_set_idle_timeout(struct fake_platform *, int msec);
/* Keeps a copy of the store's items, leases and revision. */
void fake_platform_copy_store(struct fake_platform *);
/*
 * Restores the store from its copy and raises its era: it loses all later
 * writes and leases, gives out their revisions and identifiers again, cuts the
 * pending watches and refuses watches from revisions that it does not have. A
 * little later, the servers write their entries again if they differ, and the
 * operator writes its configurations since the copy again, one after another.
 */
void fake_platform_restore_store(struct fake_platform *);
/* Completes these writes now; also done by a new configuration. */
void fake_platform_rewrite(struct fake_platform *);
/* The store does not state its era, like that of an older platform. */
void fake_platform_hide_era(struct fake_platform *);
/* Writes entries of another writer with the addresses of the servers. */
void fake_platform_put_odd_entries(struct fake_platform *);
/* All servers write their entries, unchanged, which raises the revision. */
void fake_platform_touch_servers(struct fake_platform *);
/* Grants a lease that another process renews. */
void fake_platform_grant_lease_to_other(struct fake_platform *);
bool fake_platform_has_key(const struct fake_platform *, const char *key);
/* While silent, the store does not respond. */
void fake_platform_set_store_silent(struct fake_platform *, bool silent);
/* Injects a fault into all servers of the last layers, or all plain ones. */
void fake_platform_set_engine_fault(
    struct fake_platform *, enum fake_fault, unsigned int event);
void fake_platform_set_plain_fault(struct fake_platform *, enum fake_fault);
/* Answers some calls with these bytes, in which "@ID" stands for the identifier
 * of the request, and closes the connection unless it is kept. calls 0: none.
 * The bytes are borrowed. */
void fake_platform_set_raw_answer(
    struct fake_platform *, unsigned int calls, struct lstr bytes, bool keep);
/* The same for one server only. */
void fake_platform_set_raw_server(struct fake_platform *, unsigned int server);
/* Returns the number of calls that were answered so. */
unsigned int fake_platform_raw_count(const struct fake_platform *);
/* Sets the length of the plain servers' responses. */
void fake_platform_set_plain_length(struct fake_platform *, size_t bytes);
/* All engines fall silent until then and go on. */
void fake_platform_pause_engines(struct fake_platform *, int64_t until);
/* The same for one server, of any kind. The reports of the others list an
 * engine as stalled while their streams run through it. */
void fake_platform_pause_server(
    struct fake_platform *, unsigned int server, int64_t until);
/* Streams that fall silent do so within an event. */
void fake_platform_pause_within_events(struct fake_platform *);
/* Makes a server refuse new requests, and state that they did not run. */
void fake_platform_refuse_requests(
    struct fake_platform *, unsigned int server, bool refuse);
/* Returns the number of requests at the servers that have not ended. */
unsigned int fake_platform_request_count(const struct fake_platform *);
/* Sets the interval between events. */
void fake_platform_set_event_interval(struct fake_platform *, int64_t usec);
/* Returns how often a request ran, over all servers. */
unsigned int fake_platform_run_count(
    const struct fake_platform *, const char *id);
/* Returns the number of open streams. */
unsigned int fake_platform_stream_count(const struct fake_platform *);
/* Returns the number of paths that did not cover all layers once and in order,
 * with servers that hold them or have held them; see LAYERS of the users'
 * rules. */
unsigned int fake_platform_incomplete_path_count(const struct fake_platform *);
/* Returns the number of other paths with layers that a server no longer held,
 * which are refused, and the longest time since it had given them up. */
unsigned int fake_platform_outdated_path_count(const struct fake_platform *);
int64_t fake_platform_outdated_path_usec(const struct fake_platform *);
/* Returns the number of executed orders to continue on another path. */
unsigned int fake_platform_reroute_count(const struct fake_platform *);
/* Makes the engines refuse such orders. */
void fake_platform_refuse_reroutes(struct fake_platform *);
/* Makes the faulty engine report that it is draining. */
void fake_platform_drain_engine(struct fake_platform *);
/* Makes all engines that hold the last layer report that they are draining. */
void fake_platform_drain_last_layers(struct fake_platform *);
/* Returns whether the engines that are not draining hold all layers. */
bool fake_platform_staying_engines_hold_all_layers(
    const struct fake_platform *);
/* Restarts the faulty engine without state. */
void fake_platform_restart_engine(struct fake_platform *);
bool fake_platform_engine_has_layers(const struct fake_platform *);
/* Makes an engine hold no layers any more, which its entry doesn't show yet. */
void fake_platform_give_up_layers(struct fake_platform *, unsigned int server);
/*
 * Restarts the faulty engine without state; from then on it closes the
 * connection of each call to it.
 */
void fake_platform_restart_engine_dropping_calls(struct fake_platform *);
/* Return the number of orders and queries that it received since then. */
unsigned int fake_platform_dropped_order_count(const struct fake_platform *);
unsigned int fake_platform_dropped_query_count(const struct fake_platform *);
/* Returns the number of running streams whose path uses the faulty engine. */
unsigned int fake_platform_faulty_stream_count(const struct fake_platform *);
/* Returns the number of requests with an Authorization header. */
unsigned int fake_platform_authorization_count(const struct fake_platform *);
/* Resets the counts of fake_platform_run_count(). */
void fake_platform_reset_run_counts(struct fake_platform *);

/* All answers of a server say that it is leaving, while its entry in the store
 * still says that it is ready. */
void fake_platform_set_leaving(struct fake_platform *, unsigned int server);
/* Makes a server refuse all calls with a Retry-After; NULL: it serves again.
 * The string is borrowed. */
void fake_platform_set_retry_after(
    struct fake_platform *, unsigned int server, const char *retry_after);
/* Makes the refusals of a server name another one as the one at fault. */
void fake_platform_set_named(
    struct fake_platform *, unsigned int server, unsigned int named);
/* Returns the number of calls to a server and of paths that have it behind the
 * first one. */
unsigned int fake_platform_received_count(
    const struct fake_platform *, unsigned int server);
/* Returns whether a server holds a layer. */
bool fake_platform_holds_layer(
    const struct fake_platform *, unsigned int server, unsigned int layer);
/* Writes the entry of a server again, that of a new process if it restarted. */
void fake_platform_touch_entry(
    struct fake_platform *, unsigned int server, bool restarted);

#endif
