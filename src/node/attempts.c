#include <stddef.h>

#include "attempts.h"
#include "pool.h"

/*
 * Records that the request is sent to a server. There must be less than
 * ATTEMPTS_MAX attempts.
 */
void
attempts_add(struct attempts *attempts, struct pool_server *server)
{
	attempts->list[attempts->count++] = (struct attempt){.server = server,
	    .process_known =
		!server->connection_lost && server->failing_since == 0};
}

/*
 * Records that the server of the last attempt states that the request has not
 * run there and never will.
 */
void
attempts_note_not_run(struct attempts *attempts)
{
	if (attempts->count > 0)
		attempts->list[attempts->count - 1].not_run = true;
}

/*
 * Returns the server of the last attempt; NULL: there was none.
 */
struct pool_server *
attempts_last(const struct attempts *attempts)
{
	return attempts->count > 0 ? attempts->list[attempts->count - 1].server
				   : NULL;
}

/*
 * Returns whether the process that an attempt was sent to has ended since: a
 * later one has its identifier or address. A connection that ends or is refused
 * may also be one too many for a sound server.
 */
static bool
has_ended(const struct attempt *attempt)
{
#ifdef ATTEMPTS_TEST_COUNT_BY_BELIEF
	return attempt->server->failing_since != 0;
#else
	return attempt->process_known && attempt->server->replaced;
#endif
}

/*
 * Returns whether the request may be running, or have run, in an attempt at a
 * process that has not ended.
 */
static bool
may_be_running(const struct attempt *attempt)
{
	return !attempt->not_run && !has_ended(attempt);
}

/*
 * Returns on how many servers the request runs or may have run, without those
 * that are known to have ended.
 */
uint32_t
attempts_count_runs(const struct attempts *attempts)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < attempts->count; i++) {
		const struct attempt *attempt = &attempts->list[i];
		bool repeated = false;

		for (uint32_t k = 0; k < i && !repeated; k++)
			repeated =
			    attempts->list[k].server == attempt->server &&
			    may_be_running(&attempts->list[k]);
		count += !repeated && may_be_running(attempt);
	}
	return count;
}

/*
 * Returns whether the request may be sent once more if it may run on at most
 * runs_max servers.
 */
bool
attempts_may_add(const struct attempts *attempts, uint32_t runs_max)
{
	return attempts->count < ATTEMPTS_MAX &&
	    attempts_count_runs(attempts) < runs_max;
}
