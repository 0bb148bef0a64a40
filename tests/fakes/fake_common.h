#ifndef CH_FAKE_COMMON_H
#define CH_FAKE_COMMON_H

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "httpd.h"
#include "loop.h"
#include "settings.h"

#define FAKE_BODY_MAX_BYTES ((size_t)2 * 1024 * 1024)
#define FAKE_PATH_MAX 512

/* Settings that every stand-in has. */
#define FAKE_SETTINGS                                                          \
	{"listen", SETTING_ADDRESS, "127.0.0.1:0", 0, 0,                       \
	    "Address to listen on", false, NULL, 0},                           \
	{                                                                      \
		"port-file", SETTING_TEXT, NULL, 1, FAKE_PATH_MAX - 8,         \
		    "File that receives 'http=ip:port' when ready", false,     \
		    NULL, 0                                                    \
	}

/*
 * Answers a request with JSON and drops the reference.
 */
static inline void
fake_respond(struct httpd_request *request, unsigned int status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	httpd_respond(
	    request, status, "application/json", lstr_from(text ? text : ""));
	free(text);
	json_decref(body);
}

/*
 * Answers a request with an error code.
 */
static inline void
fake_refuse(
    struct httpd_request *request, unsigned int status, const char *error)
{
	fake_respond(request, status, json_pack("{s:s}", "error", error));
}

/*
 * Reads the body of a request as a JSON object; NULL when it is none.
 */
static inline json_t *
fake_body(const struct httpd_request *request)
{
	struct lstr body = httpd_body(request);

	return json_loadb(body.data, body.len, 0, NULL);
}

/*
 * Stops the loop, for SIGTERM and SIGINT.
 */
static inline void
fake_on_stop(void *arg)
{
	loop_stop(arg);
}

/*
 * Writes the port file under its final name in one step, so that a reader
 * sees all of it or nothing.
 */
static inline int
fake_write_port_file(const char *path, uint16_t port)
{
	char temporary[FAKE_PATH_MAX];
	FILE *file;

	if (path == NULL)
		return 0;
	snprintf(temporary, sizeof(temporary), "%s.new", path);
	file = fopen(temporary, "w");
	if (file == NULL)
		return -1;
	fprintf(file, "http=127.0.0.1:%u\n", port);
	if (fclose(file) != 0)
		return -1;
	return rename(temporary, path);
}

/*
 * Reads the settings of a stand-in; false after the error was printed.
 */
static inline bool
fake_settings(
    struct setting *settings, const char *summary, int *argc, char ***argv)
{
	if (settings_parse(settings, summary, NULL, argc, argv) == STATUS_OK)
		return true;
	fprintf(stderr, "%s\n", status_message());
	return false;
}

/*
 * Opens the server of a stand-in and serves until a signal stops it. Returns
 * the exit code.
 */
static inline int
fake_serve(struct loop *loop, const struct setting *settings,
    const struct httpd_ops *ops, void *arg)
{
	struct httpd *httpd = NULL;

	if (httpd_create(loop, settings_get(settings, "listen")->text,
		FAKE_BODY_MAX_BYTES, ops, arg, &httpd) != STATUS_OK ||
	    loop_on_signal(loop, SIGTERM, fake_on_stop, loop) != STATUS_OK ||
	    loop_on_signal(loop, SIGINT, fake_on_stop, loop) != STATUS_OK) {
		fprintf(stderr, "%s\n", status_message());
		return EXIT_FAILURE;
	}
	signal(SIGPIPE, SIG_IGN);
	if (fake_write_port_file(settings_get(settings, "port-file")->text,
		httpd_port(httpd)) != 0) {
		perror("port file");
		return EXIT_FAILURE;
	}
	loop_run(loop);
	httpd_destroy(httpd);
	return EXIT_SUCCESS;
}

#endif
