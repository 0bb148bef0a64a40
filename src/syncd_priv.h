#ifndef CH_SYNCD_PRIV_H
#define CH_SYNCD_PRIV_H

#include <glib.h>

#include "claim.h"
#include "conf.h"
#include "httpd.h"
#include "instance_list.h"
#include "kv.h"
#include "membership.h"
#include "metric.h"
#include "rendezvous.h"
#include "peer.h"
#include "record.h"
#include "syncd.h"

/* Private to the files syncd*.c. */

#define SYNCD_KV_TIMEOUT_USEC (2 * LOOP_USEC_PER_SEC)
#define SYNCD_TICK_USEC (100 * LOOP_USEC_PER_MSEC)
#define SYNCD_RETRY_USEC (1 * LOOP_USEC_PER_SEC)
/* How long the service may hold a watch open, and the timeout of the call. */
#define SYNCD_WATCH_USEC (25 * LOOP_USEC_PER_SEC)
#define SYNCD_WATCH_TIMEOUT_USEC (30 * LOOP_USEC_PER_SEC)
#define SYNCD_KEY_MAX_BYTES 256

struct syncd;

/* An accepted link. Its ID is never reused. */
struct syncd_session {
	struct syncd *syncd;
	uint64_t id;
	struct link *link;
	Ch__Role role;
	/* Opened by an entry or a router of this node. */
	bool local;
	bool subscribed;
	/*
	 * Configuration revision last sent to the session or received in its
	 * heartbeats.
	 */
	uint64_t revision;
};

/* A connection opened by this process to another syncd. */
struct syncd_outgoing {
	struct syncd *syncd;
	struct peer *peer;
	/* NULL for a seed. */
	char *node;
	/*
	 * Required for the duties of this node; a connection that is not
	 * required is closed after keep_until.
	 */
	bool required;
	bool heartbeat;
	int64_t keep_until;
};

/*
 * The session or outgoing connection on which a message arrived and its answer
 * is sent; exactly one member is set.
 */
struct syncd_origin {
	struct syncd_session *session;
	struct syncd_outgoing *outgoing;
};

/*
 * State of a key or prefix in the key-value service that is read once and then
 * watched while this node is a watcher.
 */
struct syncd_watch {
	struct syncd *syncd;
	bool call_pending;
	bool watching;
	int64_t retry_at;
	uint64_t after_revision;
};

struct syncd_last_heartbeat {
	uint64_t revision;
	int64_t at;
};

struct syncd {
	struct proc *proc;
	struct loop *loop;
	struct syncd_settings settings;
	struct fetch *fetch;
	struct kv *kv;
	struct instance_list *instance_list;
	struct link_listener *listener;
	struct httpd *httpd;
	struct loop_timer *timer;
	struct loop_timer *claim_timer;
	char frames_address[64];
	bool draining;
	/*
	 * Time until which a stop waits for pending stores; 0 until the local
	 * processes have disconnected.
	 */
	int64_t drain_deadline;
	bool removed_self;
	bool ready_logged;

	/*
	 * Sessions by ID, outgoing connections by node, and connections to
	 * seeds.
	 */
	GHashTable *sessions;
	uint64_t last_session;
	GHashTable *outgoing;
	GPtrArray *seeds;
	int64_t next_heartbeat_at;
	/* Node to struct syncd_last_heartbeat. */
	GHashTable *last_heartbeats;

	struct membership *membership;
	struct syncd_watch membership_watch;
	bool is_watcher;

	struct conf *conf;
	struct syncd_watch config_watch;
	struct config_load *load;
	int64_t config_pull_at;

	struct claim *claim;
	/* Pending claim requests of local routers, by ID. */
	GHashTable *forwards;
	uint64_t last_forward;
	GQueue outcomes;
	/* Owning node of each bucket for view version bucket_owners_version. */
	char **bucket_owners;
	uint64_t bucket_owners_version;

	struct rec_copies *copies;
	GQueue stores;
	GQueue unacked_copies;
	/*
	 * "node boot" to struct copy_source; also the keys of queued public
	 * keys, with the value NULL.
	 */
	GHashTable *copy_sources;

	/*
	 * Leaving instances from the platform's list, and from routers with
	 * their time of expiry.
	 */
	GHashTable *list_leaving;
	GHashTable *router_leaving;
	int64_t list_poll_at;

	/* Pending requests of operators. */
	GPtrArray *publishes;
	GPtrArray *status_requests;
	GPtrArray *record_requests;
};

int64_t syncd_now(const struct syncd *);
void syncd_kv_result(struct syncd *, enum status);

/* syncd_peers.c */
enum status syncd_peers_open(struct syncd *);
void syncd_peers_close(struct syncd *);
void syncd_peers_update(struct syncd *);
void syncd_peers_tick(struct syncd *);
struct syncd_outgoing *syncd_connect(struct syncd *, const char *, int64_t);
enum status syncd_send(const struct syncd_origin *, const Ch__Frame *);
void syncd_send_local(struct syncd *, Ch__Role, const Ch__Frame *);
void syncd_send_syncds(
    struct syncd *, const Ch__Frame *, const struct syncd_origin *);
void syncd_send_place(struct syncd *, const Ch__Frame *);
bool syncd_has_local_session(const struct syncd *);

/* syncd_member.c */
void syncd_member_open(struct syncd *);
void syncd_member_tick(struct syncd *);
void syncd_member_role_state(struct syncd *, const Ch__RoleState *);
void syncd_member_role_closed(struct syncd *, Ch__Role);
void syncd_member_flush(struct syncd *);
void syncd_member_send(const struct syncd_origin *, bool);

/* syncd_config.c and syncd_publish.c */
void syncd_config_tick(struct syncd *);
void syncd_config_close(struct syncd *);
void syncd_config_send(struct syncd *, const struct syncd_origin *, uint64_t);
void syncd_config_apply(
    struct syncd *, const struct syncd_origin *, const Ch__ConfigUpdate *);
void syncd_config_peer_revision(
    struct syncd *, const struct syncd_origin *, uint64_t);
void syncd_config_changed(struct syncd *);
void syncd_config_part_key(
    const uint8_t[PART_DIGEST_BYTES], char[SYNCD_KEY_MAX_BYTES]);
void syncd_publish(struct syncd *, struct httpd_request *);
void syncd_publish_close(struct syncd *);
void syncd_publish_request_closed(struct syncd *, struct httpd_request *);

/* syncd_claims.c */
enum status syncd_claims_open(struct syncd *);
void syncd_claims_tick(struct syncd *);
void syncd_claims_request(
    struct syncd *, const struct syncd_origin *, const Ch__ClaimRequest *);
void syncd_claims_reply(struct syncd *, const Ch__ClaimReply *);
void syncd_claims_outcome(
    struct syncd *, const struct syncd_origin *, const Ch__ClaimOutcome *);
void syncd_claims_peer_down(struct syncd *, const char *);
void syncd_claims_close(struct syncd *);

/* syncd_records.c */
enum status syncd_records_open(struct syncd *);
void syncd_records_peer_up(struct syncd *, struct syncd_outgoing *);
void syncd_records_tick(struct syncd *);
void syncd_records_append(
    struct syncd *, const struct syncd_origin *, const Ch__RecordAppend *);
void syncd_records_ack(struct syncd *, const Ch__RecordAck *);
void syncd_records_store(struct syncd *, const Ch__RecordStore *);
void syncd_records_stored(struct syncd *, const Ch__RecordStored *);
void syncd_records_public_key(struct syncd *, const Ch__RoleState *);
void syncd_records_close(struct syncd *);

/* syncd_instances.c */
void syncd_instances_tick(struct syncd *);
void syncd_instances_receive(
    struct syncd *, const struct syncd_origin *, const Ch__Instances *);
void syncd_instances_send(struct syncd *, const struct syncd_origin *);

/* syncd_http.c */
enum status syncd_http_open(struct syncd *);
void syncd_http_close(struct syncd *);
void syncd_http_tick(struct syncd *);
void syncd_http_respond(struct httpd_request *, unsigned int, json_t *);
void syncd_http_refuse(
    struct httpd_request *, unsigned int, const char *, const char *);

#endif
