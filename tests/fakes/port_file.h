#ifndef CH_FAKE_PORT_FILE_H
#define CH_FAKE_PORT_FILE_H

#include <stdbool.h>

#include <glib.h>

/*
 * Writes the port of a stand-in, unless no file is asked for. The file
 * appears whole under its name, so that a reader never sees part of it.
 */
static inline bool
port_file_write(const char *path, unsigned int port)
{
	char *text;
	gboolean written;

	if (path == NULL)
		return true;
	text = g_strdup_printf("%u\n", port);
	written = g_file_set_contents(path, text, -1, NULL);
	g_free(text);
	return written;
}

#endif
