#ifndef CH_VIEW_H
#define CH_VIEW_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "chestnuthoist.pb-c.h"

#include "lstr.h"

#define VIEW_RECORD_KEY_BYTES 32
/* Maximum number of members; the two-year target is 570 nodes. */
#define VIEW_MEMBERS_MAX 2048
#define VIEW_NAME_MAX_BYTES 63

enum view_state {
	VIEW_LIVE = 1,
	VIEW_LEAVING = 2,
	VIEW_SUSPECTED = 3
};

struct view_member {
	char *node;
	/* Data centre of the node. */
	char *place;
	char *region;
	uint64_t boot;
	enum view_state state;
	/* "ip:port"; empty if the process is not known to be running. */
	char *entry_address;
	char *router_address;
	char *syncd_address;
	uint8_t record_key[VIEW_RECORD_KEY_BYTES];
	bool entry_ready;
	bool router_ready;
};

/* The membership view of one process, sorted by node name. */
struct view;

enum status view_create(struct view **);
void view_destroy(struct view *);
enum status view_apply(struct view *, const Ch__View *, bool *);
enum status view_put(struct view *, const struct view_member *, bool *);
bool view_remove(struct view *, struct lstr);
size_t view_count(const struct view *);
const struct view_member *view_at(const struct view *, size_t);
const struct view_member *view_find(const struct view *, struct lstr);
enum status view_to_message(const struct view *, uint64_t, Ch__View **);

#endif
