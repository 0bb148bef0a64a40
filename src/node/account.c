#include <glib.h>

#include "account.h"
#include "intake.h"

/* Share of the limit that large connections may use. */
#define LARGE_SHARE 0.75

/*
 * Initialises an account without contents.
 */
void
account_init(struct account *account, size_t limit)
{
	*account = (struct account){.limit = limit,
	    .large_limit = (size_t)((double)limit * LARGE_SHARE)};
}

/*
 * Changes the share of one holder to a number of bytes. NULL: there is no
 * account, nothing is counted.
 */
void
account_set(struct account *account, size_t *share, size_t bytes)
{
	if (account == NULL)
		return;
	account->held = account->held - *share + bytes;
	account->peak = MAX(account->peak, account->held);
	*share = bytes;
}

/*
 * Returns how many bytes must be released before a holder of some bytes may
 * allocate more; 0: none.
 */
size_t
account_missing(const struct account *account, size_t holding, size_t more)
{
	size_t limit = holding + more > INTAKE_SMALL_BYTES
	    ? account->large_limit
	    : account->limit;
	size_t needed = account->held + more;

	return needed > limit ? needed - limit : 0;
}
