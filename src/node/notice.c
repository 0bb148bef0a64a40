#include "notice.h"
#include "slog.h"

/*
 * Records and logs what a server states about itself in a response.
 */
void
notice_apply(struct pool *pool, struct pool_server *server,
    const struct adapter_notice *notice, int64_t now)
{
	if (notice->leaving && pool_note_leaving(pool, server, now))
		slog_event(EV_SERVER_LEAVING, "{s:s, s:s}", "server",
		    server->info.id, "evidence", "its response");
	if (notice->retry_after_usec > 0 &&
	    pool_note_refuses(server, notice->retry_after_usec, now))
		slog_event(EV_SERVER_REFUSES, "{s:s, s:I}", "server",
		    server->info.id, "for_ms",
		    (json_int_t)((server->refuses_until - now) /
			LOOP_USEC_PER_MSEC));
}
