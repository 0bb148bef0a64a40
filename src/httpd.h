#ifndef CH_HTTPD_H
#define CH_HTTPD_H

#include <stdbool.h>
#include <stdint.h>

#include "account.h"
#include "loop.h"
#include "lstr.h"

/* An HTTP server that runs on an event loop. */
struct httpd;
struct httpd_request;

/*
 * request is called when the whole body has arrived. The handler responds
 * immediately or later, with httpd_respond(), or with httpd_stream_begin() and
 * the functions that follow it. closed is called once for each request that was
 * passed to request, when the response has been sent or the client has
 * disconnected; the request must not be used afterwards. closed may be NULL.
 */
struct httpd_ops {
	void (*request)(struct httpd_request *, void *);
	void (*closed)(struct httpd_request *, void *);
};

enum status httpd_create(struct loop *, const char *, size_t,
    const struct httpd_ops *, void *, struct httpd **);
void httpd_set_limits(
    struct httpd *, struct account *, unsigned int connections_max);
void httpd_register_metrics(void);
void httpd_destroy(struct httpd *);
void httpd_stop_listening(struct httpd *);
void httpd_close_after_responses(struct httpd *);
uint16_t httpd_port(const struct httpd *);
unsigned int httpd_open_requests(const struct httpd *);

struct lstr httpd_method(const struct httpd_request *);
struct lstr httpd_path(const struct httpd_request *);
struct lstr httpd_body(const struct httpd_request *);
const char *httpd_query(const struct httpd_request *, const char *);
const char *httpd_header(const struct httpd_request *, const char *);
void httpd_set_data(struct httpd_request *, void *);
void *httpd_get_data(const struct httpd_request *);

void httpd_respond(
    struct httpd_request *, unsigned int, const char *, struct lstr);
void httpd_stream_begin(struct httpd_request *, unsigned int, const char *);
enum status httpd_stream_write(struct httpd_request *, struct lstr);
void httpd_stream_end(struct httpd_request *);
enum status httpd_hold(struct httpd_request *, size_t);
size_t httpd_stream_queued(const struct httpd_request *);
void httpd_abort(struct httpd_request *);
bool httpd_client_disconnected(const struct httpd_request *);

#endif
