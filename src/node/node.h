#ifndef CH_NODE_H
#define CH_NODE_H

#include "adapter.h"
#include "node_settings.h"

/* A complete node in one process; see docs/platform.md. */
struct node;

struct node_options {
	const char *settings_path;
	/* TCP port; 0: metrics are not served. */
	uint16_t metrics_port;
};

enum status node_create(const struct node_options *, const struct adapter *,
    struct node_settings *, struct node **);
void node_run(struct node *);
void node_destroy(struct node *);

#endif
