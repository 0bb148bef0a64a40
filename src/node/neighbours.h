#ifndef CH_NEIGHBOURS_H
#define CH_NEIGHBOURS_H

#include <stddef.h>
#include <stdint.h>

/*
 * Chooses the nodes to which a node reports its use of the servers. Load: a
 * fleet of hundreds of nodes that all send to the servers of their own data
 * centre, so that a path is chosen well only if the node hears those that share
 * its servers. Traffic for each node stays the same as the fleet grows.
 */

/* A fleet with at most this many other nodes reports to all. In a larger one,
 * a node reports to this many nodes of its data centre. */
#define NEIGHBOURS_MAX 24
/* Nodes of each other data centre that a node of a larger fleet reports to;
 * with more data centres than the limit, one node of each. */
#define NEIGHBOURS_REMOTE 2
#define NEIGHBOURS_REMOTE_PLACES 6

struct neighbours_node {
	const char *name;
	const char *place;
	/* The caller's pointer. */
	void *data;
};

size_t neighbours_select(struct neighbours_node *nodes, size_t count,
    const char *own_name, const char *own_place, void **out);

#endif
