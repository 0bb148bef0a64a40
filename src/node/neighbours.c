#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "neighbours.h"

/*
 * Orders nodes by data centre, then by name.
 */
static int
compare_nodes(const void *a, const void *b)
{
	const struct neighbours_node *x = a;
	const struct neighbours_node *y = b;
	int order = strcmp(x->place, y->place);

	return order != 0 ? order : strcmp(x->name, y->name);
}

/*
 * Returns the number of nodes in the data centre of the first one.
 */
static size_t
place_length(const struct neighbours_node *nodes, size_t count)
{
	size_t length = 1;

	while (
	    length < count && strcmp(nodes[length].place, nodes[0].place) == 0)
		length++;
	return length;
}

/*
 * Selects the nearest nodes of the own data centre on both sides of this node
 * in name order, so that the nodes that hear this one are those that it hears.
 */
static size_t
select_near(const struct neighbours_node *nodes, size_t count,
    const char *own_name, void **out)
{
	size_t max = MIN(count, (size_t)NEIGHBOURS_MAX);
	size_t after = 0;
	size_t selected = 0;

	while (after < count && strcmp(nodes[after].name, own_name) < 0)
		after++;
	for (size_t i = 0; selected < max; i++) {
		out[selected++] = nodes[(after + i) % count].data;
		if (selected < max)
			out[selected++] =
			    nodes[(after + count - 1 - i) % count].data;
	}
	return selected;
}

/*
 * Selects nodes of another data centre at the position that corresponds to that
 * of this node in its own, so that the senders spread over its nodes.
 */
static size_t
select_remote(const struct neighbours_node *nodes, size_t count,
    double position, size_t max, void **out)
{
	size_t first = (size_t)(position * (double)count);

	max = MIN(max, count);
	for (size_t i = 0; i < max; i++)
		out[i] = nodes[(first + i) % count].data;
	return max;
}

/*
 * Selects the nodes that this node reports to and stores their data pointers in
 * out, which has room for count entries. Sorts the nodes, which must not
 * include this one. Returns the number of selected nodes.
 */
size_t
neighbours_select(struct neighbours_node *nodes, size_t count,
    const char *own_name, const char *own_place, void **out)
{
	size_t selected = 0;
	size_t places = 0;
	size_t before = 0;
	size_t own_count = 0;
	size_t remote;
	double position;

	qsort(nodes, count, sizeof(nodes[0]), compare_nodes);
	for (size_t i = 0; i < count; i += place_length(nodes + i, count - i))
		places++;
	for (size_t i = 0; i < count; i++) {
		if (count <= NEIGHBOURS_MAX)
			out[i] = nodes[i].data;
		if (strcmp(nodes[i].place, own_place) != 0)
			continue;
		own_count++;
		before += strcmp(nodes[i].name, own_name) < 0;
	}
	if (count <= NEIGHBOURS_MAX)
		return count;
	position = (double)before / (double)(own_count + 1);
	remote = places > NEIGHBOURS_REMOTE_PLACES ? 1 : NEIGHBOURS_REMOTE;
	for (size_t i = 0; i < count;) {
		size_t length = place_length(nodes + i, count - i);

		if (strcmp(nodes[i].place, own_place) == 0)
			selected += select_near(
			    nodes + i, length, own_name, out + selected);
		else
			selected += select_remote(nodes + i, length, position,
			    remote, out + selected);
		i += length;
	}
	return selected;
}
