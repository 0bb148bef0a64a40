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

/* Settings common to all fakes. */
#define FAKE_SETTINGS                                                          \
	{"listen", SETTING_ADDRESS, "127.0.0.1:0", 0, 0,                       \
	    "Address to listen on", false, NULL, 0},                           \
	{                                                                      \
		"port-file", SETTING_TEXT, NULL, 1, FAKE_PATH_MAX - 8,         \
		    "File to write 'http=ip:port' to when ready", false, NULL, \
		    0                                                          \
	}

/*
 * Sends a JSON response and releases the reference to its body.
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
 * Sends an error response with an error code.
 */
static inline void
fake_respond_error(
    struct httpd_request *request, unsigned int status, const char *error)
{
	fake_respond(request, status, json_pack("{s:s}", "error", error));
}

/*
 * Parses the body of a request as JSON. Returns NULL if it is invalid.
 */
static inline json_t *
fake_body(const struct httpd_request *request)
{
	struct lstr body = httpd_body(request);

	return json_loadb(body.data, body.len, 0, NULL);
}

/*
 * Stops the loop on SIGTERM and SIGINT.
 */
static inline void
fake_on_stop(void *arg)
{
	loop_stop(arg);
}

/*
 * Writes the port file and renames it to its final name, so that a reader never
 * sees an incomplete file.
 */
static inline int
fake_write_port_file(const char *path, uint16_t port)
{
	char temporary_path[FAKE_PATH_MAX];
	FILE *file;

	if (path == NULL)
		return 0;
	snprintf(temporary_path, sizeof(temporary_path), "%s.new", path);
	file = fopen(temporary_path, "w");
	if (file == NULL)
		return -1;
	fprintf(file, "http=127.0.0.1:%u\n", port);
	if (fclose(file) != 0)
		return -1;
	return rename(temporary_path, path);
}

/*
 * Parses the settings of a fake. Returns false after printing an error.
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
 * Starts the HTTP server of a fake and runs it until a signal stops it. Returns
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
