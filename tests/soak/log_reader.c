#include <string.h>

#include "log_reader.h"

/*
 * Reads the next whole line, without its end, into text, which truncates it.
 * Returns false if there is none yet. A log that has become shorter is that of
 * a new process, and is read from its start.
 */
bool
log_reader_next(struct log_reader *reader, char *text, size_t size)
{
	FILE *file = fopen(reader->path, "r");
	size_t len = 0;
	int byte;

	if (file == NULL)
		return false;
	fseek(file, 0, SEEK_END);
	if (ftell(file) < reader->offset)
		reader->offset = 0;
	fseek(file, reader->offset, SEEK_SET);
	while ((byte = fgetc(file)) != EOF && byte != '\n') {
		if (len + 1 < size)
			text[len++] = (char)byte;
	}
	text[len] = '\0';
	if (byte == '\n')
		reader->offset = ftell(file);
	fclose(file);
	return byte == '\n';
}

/*
 * Copies the value of a string field of a line. Returns false if the line does
 * not have it.
 */
bool
log_find_string(const char *line, const char *field, char *value, size_t size)
{
	char name[64];
	const char *at;
	const char *end;

	snprintf(name, sizeof(name), "\"%s\":\"", field);
	at = strstr(line, name);
	if (at == NULL)
		return false;
	at += strlen(name);
	end = strchr(at, '"');
	if (end == NULL)
		return false;
	snprintf(value, size, "%.*s", (int)(end - at), at);
	return true;
}
