#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "stream.h"

#define BACKOFF_BASE_USEC ((int64_t)50 * 1000)
#define BACKOFF_MAX_USEC ((int64_t)1000 * 1000)
#define RETRY_AFTER_USEC ((int64_t)1000 * 1000)

/*
 * Creates the state of a validated request, whose fields are copied. now is its
 * arrival time in microseconds.
 */
enum status
stream_create(const struct caller_request *caller_request,
    const char id[STREAM_REQUEST_ID_BYTES + 1], int64_t now,
    struct stream **out)
{
	struct stream *stream = calloc(1, sizeof(*stream));

	if (stream == NULL)
		return status_set(STATUS_NO_MEMORY, "request");
	memcpy(stream->request_id, id, STREAM_REQUEST_ID_BYTES);
	stream->organisation = lstr_dup_c(caller_request->organisation);
	stream->service = lstr_dup_c(caller_request->service);
	stream->operation = lstr_dup_c(caller_request->operation);
	stream->body = lstr_dup_c(caller_request->prompt);
	stream->body_len = caller_request->prompt.len;
	stream->key = lstr_dup_c(caller_request->key);
	stream->max_tokens = caller_request->max_tokens;
	stream->pipeline = caller_request->pipeline;
	stream->idempotent = caller_request->idempotent;
	stream->deadline = caller_request->deadline;
	stream->arrival = now;
	stream->attempt = 1;
	stream->delivered =
	    g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
	if (stream->organisation == NULL || stream->service == NULL ||
	    stream->operation == NULL || stream->body == NULL ||
	    stream->key == NULL) {
		stream_destroy(stream);
		return status_set(STATUS_NO_MEMORY, "request");
	}
	*out = stream;
	return STATUS_OK;
}

/*
 * Frees the state of a request.
 */
void
stream_destroy(struct stream *stream)
{
	if (stream == NULL)
		return;
	free(stream->organisation);
	free(stream->service);
	free(stream->operation);
	free(stream->body);
	free(stream->key);
	g_ptr_array_free(stream->delivered, TRUE);
	free(stream);
}

/*
 * Records that a router was chosen whose link is not established yet.
 */
void
stream_router_chosen(struct stream *stream)
{
	assert(stream->state == STREAM_WAITING);
	stream->state = STREAM_CONNECTING;
}

/*
 * Records that the Submit message was sent on an established link: from now on
 * the request may run.
 */
void
stream_submitted(struct stream *stream)
{
	assert(stream->state == STREAM_CONNECTING);
	stream->state = STREAM_SENT;
	stream->submissions++;
	stream->delivered_at_submit = stream->delivered->len;
}

/*
 * Fills in a Submit message that borrows from the stream. The array delivered
 * has space for all delivered tokens.
 */
void
stream_fill_submit(const struct stream *stream, uint64_t number,
    const char *replica, Ch__Submit *submit, ProtobufCBinaryData *delivered)
{
	ch__submit__init(submit);
	submit->stream = number;
	submit->request_id.data = (uint8_t *)stream->request_id;
	submit->request_id.len = STREAM_REQUEST_ID_BYTES;
	submit->organisation = stream->organisation;
	submit->service = stream->service;
	submit->operation = stream->operation;
	submit->body.data = (uint8_t *)stream->body;
	submit->body.len = stream->body_len;
	submit->max_tokens = stream->max_tokens;
	submit->idempotent = stream->idempotent;
	submit->idempotency_key = stream->key;
	submit->deadline = stream->deadline;
	submit->arrival = stream->arrival;
	submit->replica = (char *)replica;
	submit->attempt = stream->attempt;
	submit->delivered = delivered;
	submit->n_delivered = stream->delivered->len;
	for (guint i = 0; i < stream->delivered->len; i++) {
		gsize len;

		delivered[i].data = (uint8_t *)g_bytes_get_data(
		    stream->delivered->pdata[i], &len);
		delivered[i].len = len;
	}
}

/*
 * Ends a request with the given outcome, code and message.
 */
static enum stream_action
end_request(struct stream *stream, struct stream_outcome *outcome,
    Ch__Outcome how, const char *code, const char *message)
{
	memset(outcome, 0, sizeof(*outcome));
	outcome->outcome = how;
	outcome->code = code;
	outcome->message = message;
	stream->state = STREAM_ENDED;
	return STREAM_END;
}

/*
 * Ends a request without a complete response. The outcome is "not run" only if
 * no submission can have run.
 */
static enum stream_action
end_without_response(struct stream *stream, struct stream_outcome *outcome,
    const char *code, const char *message)
{
	return end_request(stream, outcome,
	    stream->maybe_ran ? CH__OUTCOME__OUTCOME_UNKNOWN
			      : CH__OUTCOME__OUTCOME_NOT_RUN,
	    code, message);
}

/*
 * Schedules another submission of a request. The first retry is immediate;
 * after that the backoff doubles with each submission and has full jitter. The
 * request ends if the limit of submissions is reached or the deadline would
 * pass.
 */
static enum stream_action
schedule_retry(struct stream *stream, int64_t now, GRand *random,
    struct stream_outcome *outcome, const char *code, const char *message)
{
	int64_t wait = 0;

	if (stream->submissions > 1) {
		wait = BACKOFF_BASE_USEC << (stream->submissions - 2);
		if (wait > BACKOFF_MAX_USEC)
			wait = BACKOFF_MAX_USEC;
		wait = (int64_t)(g_rand_double(random) * (double)wait);
	}
	if (stream->submissions >= STREAM_SUBMISSIONS_MAX ||
	    now + wait >= stream->deadline)
		return end_without_response(stream, outcome, code, message);
	stream->state = STREAM_WAITING;
	stream->retry_at = now + wait;
	return STREAM_RETRY;
}

/*
 * Returns whether every token that the caller asked for was delivered.
 */
static bool
is_complete(const struct stream *stream)
{
	return stream->pipeline && stream->delivered->len == stream->max_tokens;
}

/*
 * Abandons the current submission, which may have run.
 */
static enum stream_action
abandon_submission(struct stream *stream, int64_t now, GRand *random,
    struct stream_outcome *outcome, const char *code, const char *message)
{
	stream->maybe_ran = true;
	stream->attempt += STREAM_ATTEMPTS_RESERVED;
	if (!stream->idempotent)
		return end_without_response(stream, outcome, code, message);
	return schedule_retry(stream, now, random, outcome, code, message);
}

/*
 * Handles a token of the current submission. A position that was already
 * delivered is ignored; a gap or a token beyond the limits abandons the
 * submission.
 */
enum stream_action
stream_on_token(struct stream *stream, const Ch__Token *token, int64_t now,
    GRand *random, struct stream_outcome *outcome)
{
	enum stream_action action;

	assert(stream->state == STREAM_SENT);
	if (token->position < stream->delivered->len)
		return STREAM_NO_ACTION;
	if (token->position == stream->delivered->len && !is_complete(stream) &&
	    token->text.len <= STREAM_TOKEN_MAX_BYTES) {
		g_ptr_array_add(stream->delivered,
		    g_bytes_new(token->text.data, token->text.len));
		return STREAM_DELIVER;
	}
	action = abandon_submission(stream, now, random, outcome, "wrong-token",
	    "a router sent a token out of order");
	return action == STREAM_RETRY ? STREAM_CANCEL_AND_RETRY : action;
}

/*
 * Handles the end of a submission that ran. The token count of a pipeline must
 * equal the number of tokens delivered, either in total or in this submission.
 */
static enum stream_action
on_run(struct stream *stream, const Ch__Done *done, int64_t now, GRand *random,
    struct stream_outcome *outcome)
{
	uint32_t count = stream->delivered->len;

	if (stream->pipeline && done->tokens != count &&
	    done->tokens != count - stream->delivered_at_submit)
		return abandon_submission(stream, now, random, outcome,
		    "tokens-missing", "tokens of the response did not arrive");
	end_request(stream, outcome, CH__OUTCOME__OUTCOME_RUN, "", "");
	outcome->status = done->status;
	outcome->body = lstr_make(done->body.data, done->body.len);
	return STREAM_END;
}

/*
 * Handles a refusal. It is passed to the caller only if no earlier submission
 * can have run; otherwise the request is submitted again.
 */
static enum stream_action
on_not_run(struct stream *stream, const Ch__Done *done, int64_t now,
    GRand *random, struct stream_outcome *outcome)
{
	if (stream->maybe_ran)
		return schedule_retry(
		    stream, now, random, outcome, done->code, done->message);
	end_request(stream, outcome, CH__OUTCOME__OUTCOME_NOT_RUN, done->code,
	    done->message);
	outcome->retry_at = done->retry_at;
	return STREAM_END;
}

/*
 * Handles the end of a submission. An order that is moved was not sent to a
 * backend server, so it may be submitted again like an idempotent request.
 */
enum stream_action
stream_on_done(struct stream *stream, const Ch__Done *done, int64_t now,
    GRand *random, struct stream_outcome *outcome)
{
	assert(stream->state == STREAM_SENT);
	if (done->attempt >= stream->attempt)
		stream->attempt = done->attempt + 1;
	switch (done->outcome) {
	case CH__OUTCOME__OUTCOME_RUN:
		return on_run(stream, done, now, random, outcome);
	case CH__OUTCOME__OUTCOME_NOT_RUN:
		return on_not_run(stream, done, now, random, outcome);
	case CH__OUTCOME__OUTCOME_MOVED:
		if (stream->idempotent)
			stream->maybe_ran = true;
		return schedule_retry(stream, now, random, outcome, "moved",
		    "the routers handed the request over too often");
	case CH__OUTCOME__OUTCOME_UNKNOWN:
		return end_request(stream, outcome,
		    CH__OUTCOME__OUTCOME_UNKNOWN, done->code, done->message);
	default:
		return end_request(stream, outcome,
		    CH__OUTCOME__OUTCOME_UNKNOWN, "router-error",
		    "a router gave no outcome");
	}
}

/*
 * Handles the loss of the link to the chosen router, or the failure to
 * establish it.
 */
enum stream_action
stream_on_link_lost(struct stream *stream, int64_t now, GRand *random,
    struct stream_outcome *outcome)
{
	if (stream->state == STREAM_CONNECTING) {
		stream->state = STREAM_WAITING;
		stream->retry_at = now;
		return STREAM_RETRY;
	}
	assert(stream->state == STREAM_SENT);
	if (is_complete(stream))
		return end_request(
		    stream, outcome, CH__OUTCOME__OUTCOME_RUN, "", "");
	return abandon_submission(stream, now, random, outcome, "router-lost",
	    "the connection to the router was lost");
}

/*
 * Ends a request whose deadline and grace period have passed, or for which no
 * router could be reached in time.
 */
enum stream_action
stream_check_timeouts(
    struct stream *stream, int64_t now, struct stream_outcome *outcome)
{
	if (now >= stream->deadline + STREAM_DEADLINE_GRACE_USEC) {
		if (stream->state == STREAM_SENT)
			stream->maybe_ran = true;
		return end_without_response(stream, outcome, "deadline",
		    "the deadline passed without a whole response");
	}
	if (stream->state == STREAM_SENT || stream->maybe_ran ||
	    now < stream->arrival + STREAM_ROUTER_WAIT_USEC)
		return STREAM_NO_ACTION;
	end_without_response(
	    stream, outcome, "no-router", "no router could be reached");
	outcome->retry_at = now + RETRY_AFTER_USEC;
	return STREAM_END;
}
