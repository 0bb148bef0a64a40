#include <assert.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include <apr_general.h>
#include <apr_poll.h>
#include <apr_portable.h>
#include <apr_time.h>

#include <glib.h>

#include "loop.h"

#define SIGNAL_MAX 65
#define CAPACITY_MIN 64
#define NO_SLOT UINT32_MAX
#define IDLE_POLL_USEC (LOOP_USEC_PER_SEC)

struct loop_watch {
	struct loop *loop;
	apr_pool_t *pool;
	apr_pollfd_t descriptor;
	unsigned int events;
	loop_io_fn fn;
	void *arg;
	uint32_t index;
};

struct loop_timer {
	struct loop *loop;
	loop_fn fn;
	void *arg;
	int64_t at;
	uint64_t sequence;
	/* Its position among the timers that are set. */
	size_t position;
	bool set;
};

/*
 * Watches are looked up by index and generation, because the pollset may still
 * report a descriptor that was removed earlier in the same iteration.
 */
struct watch_slot {
	struct loop_watch *watch;
	uint32_t generation;
	/* Index of the next free slot, if this one is free. */
	uint32_t next_free;
};

struct heap_entry {
	struct loop_timer *timer;
};

struct signal_handler {
	loop_fn fn;
	void *arg;
};

struct loop {
	apr_pool_t *pool;
	apr_pollset_t *pollset;
	/* Free slots are linked; NO_SLOT: the end. */
	struct watch_slot *slots;
	uint32_t slot_count;
	uint32_t slot_capacity;
	uint32_t first_free;
	/* Binary heap of the timers that are set. It has room for all that
	 * exist, so that setting one cannot fail. */
	struct heap_entry *heap;
	size_t heap_count;
	size_t heap_capacity;
	size_t timer_count;
	uint64_t timer_sequence;
	int64_t wall_offset;
	bool running;
	int signal_pipe[2];
	struct loop_watch *signal_watch;
	struct signal_handler handlers[SIGNAL_MAX];
};

static int signal_write_fd = -1;

/*
 * Returns the boot-time clock in microseconds. Unlike the monotonic clock, it
 * includes time during which the machine was suspended.
 */
static int64_t
boottime_now(void)
{
	struct timespec t;

	clock_gettime(CLOCK_BOOTTIME, &t);
	return (int64_t)t.tv_sec * LOOP_USEC_PER_SEC + t.tv_nsec / 1000;
}

/*
 * Returns whether a timer expires before another one; of two with the same
 * time, the one that was set first.
 */
static bool
expires_before(const struct loop_timer *a, const struct loop_timer *b)
{
	return a->at != b->at ? a->at < b->at : a->sequence < b->sequence;
}

/*
 * Moves a timer up from a free position of the heap until its parent expires
 * before it.
 */
static void
heap_sift_up(struct loop *loop, struct loop_timer *timer, size_t position)
{
	while (position > 0) {
		struct loop_timer *parent =
		    loop->heap[(position - 1) / 2].timer;

		if (expires_before(parent, timer))
			break;
		loop->heap[position].timer = parent;
		parent->position = position;
		position = (position - 1) / 2;
	}
	loop->heap[position].timer = timer;
	timer->position = position;
}

/*
 * Moves a timer down from a free position of the heap until it expires before
 * its children.
 */
static void
heap_sift_down(struct loop *loop, struct loop_timer *timer, size_t position)
{
	for (;;) {
		size_t child = 2 * position + 1;

		if (child >= loop->heap_count)
			break;
		if (child + 1 < loop->heap_count &&
		    expires_before(
			loop->heap[child + 1].timer, loop->heap[child].timer))
			child++;
		if (expires_before(timer, loop->heap[child].timer))
			break;
		loop->heap[position] = loop->heap[child];
		loop->heap[position].timer->position = position;
		position = child;
	}
	loop->heap[position].timer = timer;
	timer->position = position;
}

/*
 * Removes a timer from the heap.
 */
static void
heap_remove(struct loop *loop, const struct loop_timer *timer)
{
	size_t position = timer->position;
	struct loop_timer *last = loop->heap[--loop->heap_count].timer;

	if (last == timer)
		return;
	if (position > 0 &&
	    expires_before(last, loop->heap[(position - 1) / 2].timer))
		heap_sift_up(loop, last, position);
	else
		heap_sift_down(loop, last, position);
}

/*
 * Returns the timer that expires first; NULL: none is set.
 */
static struct loop_timer *
first_timer(const struct loop *loop)
{
	return loop->heap_count > 0 ? loop->heap[0].timer : NULL;
}

/*
 * Creates a loop, initialising APR. The caller must destroy everything that
 * uses the loop before the loop itself.
 */
enum status
loop_create(struct loop **out)
{
	struct loop *loop;

	if (apr_initialize() != APR_SUCCESS)
		return status_set(STATUS_IO, "APR cannot be initialised");
	loop = calloc(1, sizeof(*loop));
	if (loop == NULL)
		return status_set(STATUS_NO_MEMORY, "event loop");
	loop->signal_pipe[0] = loop->signal_pipe[1] = -1;
	if (apr_pool_create(&loop->pool, NULL) != APR_SUCCESS) {
		free(loop);
		return status_set(STATUS_NO_MEMORY, "event loop pool");
	}
	if (apr_pollset_create(&loop->pollset, LOOP_WATCH_MAX, loop->pool, 0) !=
	    APR_SUCCESS) {
		apr_pool_destroy(loop->pool);
		free(loop);
		return status_set(STATUS_IO, "pollset cannot be created");
	}
	loop->first_free = NO_SLOT;
	loop->wall_offset = apr_time_now() - boottime_now();
	*out = loop;
	return STATUS_OK;
}

/*
 * Frees a loop. Its watches and timers must have been destroyed.
 */
void
loop_destroy(struct loop *loop)
{
	if (loop == NULL)
		return;
	if (loop->signal_watch != NULL) {
		loop_watch_destroy(loop->signal_watch);
		close(loop->signal_pipe[0]);
		close(loop->signal_pipe[1]);
		signal_write_fd = -1;
	}
	free(loop->heap);
	free(loop->slots);
	apr_pollset_destroy(loop->pollset);
	apr_pool_destroy(loop->pool);
	free(loop);
}

/*
 * Returns the memory pool that lives as long as the loop.
 */
apr_pool_t *
loop_pool(struct loop *loop)
{
	return loop->pool;
}

/*
 * Returns the current time in microseconds since the Unix epoch. It advances
 * with the boot-time clock, so that steps of the wall clock do not shift
 * deadlines.
 */
int64_t
loop_now(const struct loop *loop)
{
	return loop->wall_offset + boottime_now();
}

/*
 * Allocates a slot for a watch and returns its index, or NO_SLOT if memory runs
 * out.
 */
static uint32_t
slot_allocate(struct loop *loop, struct loop_watch *watch)
{
	uint32_t index = loop->first_free;

	if (index != NO_SLOT) {
		loop->first_free = loop->slots[index].next_free;
		loop->slots[index].watch = watch;
		return index;
	}
	if (loop->slot_count == loop->slot_capacity) {
		uint32_t capacity =
		    MAX(loop->slot_capacity * 2, (uint32_t)CAPACITY_MIN);
		struct watch_slot *larger =
		    realloc(loop->slots, capacity * sizeof(*larger));

		if (larger == NULL)
			return NO_SLOT;
		loop->slots = larger;
		loop->slot_capacity = capacity;
	}
	index = loop->slot_count++;
	loop->slots[index] = (struct watch_slot){watch, 0, NO_SLOT};
	return index;
}

/*
 * Frees the slot of a watch.
 */
static void
slot_free(struct loop *loop, uint32_t index)
{
	struct watch_slot *slot = &loop->slots[index];

	slot->watch = NULL;
	slot->generation++;
	slot->next_free = loop->first_free;
	loop->first_free = index;
}

/*
 * Packs the index and generation of a watch into the pollset's client pointer.
 */
static void *
slot_reference(struct loop *loop, uint32_t index)
{
	uint64_t generation = loop->slots[index].generation;

	return (void *)(uintptr_t)(generation << 32 | index);
}

/*
 * Adds the descriptor of a watch to the pollset, unless its event set is empty.
 */
static enum status
watch_add_to_pollset(struct loop_watch *watch)
{
	apr_int16_t wanted = 0;

	if (watch->events & LOOP_READ)
		wanted |= APR_POLLIN;
	if (watch->events & LOOP_WRITE)
		wanted |= APR_POLLOUT;
	if (wanted == 0)
		return STATUS_OK;
	watch->descriptor.reqevents = wanted;
	if (apr_pollset_add(watch->loop->pollset, &watch->descriptor) !=
	    APR_SUCCESS)
		return status_set(STATUS_IO, "descriptor cannot be polled");
	return STATUS_OK;
}

/*
 * Watches a descriptor for LOOP_READ and LOOP_WRITE and calls fn with the
 * events that occurred; errors and hang-ups are reported as LOOP_READ. The
 * caller keeps ownership of the descriptor, which must outlive the watch.
 */
enum status
loop_watch_create(struct loop *loop, int fd, unsigned int events, loop_io_fn fn,
    void *arg, struct loop_watch **out)
{
	struct loop_watch *watch = calloc(1, sizeof(*watch));
	apr_socket_t *sock = NULL;
	enum status status;

	if (watch == NULL)
		return status_set(STATUS_NO_MEMORY, "watch");
	if (apr_pool_create(&watch->pool, NULL) != APR_SUCCESS) {
		free(watch);
		return status_set(STATUS_NO_MEMORY, "watch pool");
	}
	apr_os_sock_put(&sock, &fd, watch->pool);
	watch->loop = loop;
	watch->events = events;
	watch->fn = fn;
	watch->arg = arg;
	watch->index = slot_allocate(loop, watch);
	if (watch->index == NO_SLOT) {
		apr_pool_destroy(watch->pool);
		free(watch);
		return status_set(STATUS_NO_MEMORY, "watch slot");
	}
	watch->descriptor.p = watch->pool;
	watch->descriptor.desc_type = APR_POLL_SOCKET;
	watch->descriptor.desc.s = sock;
	watch->descriptor.client_data = slot_reference(loop, watch->index);
	status = watch_add_to_pollset(watch);
	if (status != STATUS_OK) {
		watch->events = 0;
		loop_watch_destroy(watch);
		return status;
	}
	*out = watch;
	return STATUS_OK;
}

/*
 * Changes the events of a watch; 0 pauses it.
 */
enum status
loop_watch_set(struct loop_watch *watch, unsigned int events)
{
	if (watch->events == events)
		return STATUS_OK;
	if (watch->events != 0)
		apr_pollset_remove(watch->loop->pollset, &watch->descriptor);
	watch->events = events;
	return watch_add_to_pollset(watch);
}

/*
 * Removes and frees a watch. May be called from any callback; no event is
 * delivered afterwards. NULL is allowed.
 */
void
loop_watch_destroy(struct loop_watch *watch)
{
	struct loop *loop;

	if (watch == NULL)
		return;
	loop = watch->loop;
	if (watch->events != 0)
		apr_pollset_remove(loop->pollset, &watch->descriptor);
	slot_free(loop, watch->index);
	apr_pool_destroy(watch->pool);
	free(watch);
}

/*
 * Creates a one-shot timer that is not set. It calls fn each time it expires.
 */
enum status
loop_timer_create(
    struct loop *loop, loop_fn fn, void *arg, struct loop_timer **out)
{
	struct loop_timer *timer = calloc(1, sizeof(*timer));

	if (timer == NULL)
		return status_set(STATUS_NO_MEMORY, "timer");
	if (loop->timer_count == loop->heap_capacity) {
		size_t capacity =
		    MAX(loop->heap_capacity * 2, (size_t)CAPACITY_MIN);
		struct heap_entry *larger =
		    realloc(loop->heap, capacity * sizeof(*larger));

		if (larger == NULL) {
			free(timer);
			return status_set(STATUS_NO_MEMORY, "timers");
		}
		loop->heap = larger;
		loop->heap_capacity = capacity;
	}
	loop->timer_count++;
	timer->loop = loop;
	timer->fn = fn;
	timer->arg = arg;
	*out = timer;
	return STATUS_OK;
}

/*
 * Sets a timer to expire at a time in microseconds since the epoch. A time in
 * the past expires in the next iteration of the loop.
 */
void
loop_timer_set(struct loop_timer *timer, int64_t at)
{
	loop_timer_clear(timer);
	timer->at = at;
	timer->sequence = timer->loop->timer_sequence++;
	timer->set = true;
	heap_sift_up(timer->loop, timer, timer->loop->heap_count++);
}

/*
 * Cancels a timer, which may be set again.
 */
void
loop_timer_clear(struct loop_timer *timer)
{
	if (!timer->set)
		return;
	heap_remove(timer->loop, timer);
	timer->set = false;
}

/*
 * Returns whether a timer is set.
 */
bool
loop_timer_is_set(const struct loop_timer *timer)
{
	return timer->set;
}

/*
 * Cancels and frees a timer. May be called from the timer's own callback. NULL
 * is allowed.
 */
void
loop_timer_destroy(struct loop_timer *timer)
{
	if (timer == NULL)
		return;
	loop_timer_clear(timer);
	timer->loop->timer_count--;
	free(timer);
}

/*
 * Calls the expired timers. Timers set by these callbacks wait for the next
 * iteration, so that a timer set to a past time cannot starve I/O.
 */
static void
run_timers(struct loop *loop)
{
	int64_t now = loop_now(loop);
	uint64_t sequence = loop->timer_sequence;

	for (;;) {
		struct loop_timer *timer = first_timer(loop);

		if (timer == NULL || timer->at > now ||
		    timer->sequence >= sequence)
			return;
		loop_timer_clear(timer);
		timer->fn(timer->arg);
	}
}

/*
 * Delivers one event of the pollset, unless its watch has been destroyed.
 */
static void
dispatch(struct loop *loop, const apr_pollfd_t *event)
{
	uint64_t reference = (uint64_t)(uintptr_t)event->client_data;
	uint32_t index = (uint32_t)reference;
	const struct watch_slot *slot = &loop->slots[index];
	unsigned int events = 0;

	if (slot->watch == NULL ||
	    slot->generation != (uint32_t)(reference >> 32))
		return;
	if (event->rtnevents & APR_POLLOUT)
		events |= LOOP_WRITE;
	if (event->rtnevents & ~APR_POLLOUT)
		events |= LOOP_READ;
	slot->watch->fn(slot->watch->arg, events);
}

/*
 * Runs one iteration: waits for events until the next timer expires, but no
 * longer than until the given time in microseconds since the epoch, then
 * delivers the events and runs the expired timers.
 */
void
loop_run_once(struct loop *loop, int64_t until)
{
	const struct loop_timer *timer = first_timer(loop);
	const apr_pollfd_t *events = NULL;
	apr_int32_t count = 0;
	int64_t at = until;
	int64_t wait;

	if (timer != NULL && timer->at < at)
		at = timer->at;
	wait = at - loop_now(loop);
	if (wait < 0)
		wait = 0;
	/* The pollset rounds down to milliseconds, so round up here. */
	wait += wait > 0 ? LOOP_USEC_PER_MSEC - 1 : 0;
	if (apr_pollset_poll(loop->pollset, wait, &count, &events) ==
	    APR_SUCCESS) {
		for (apr_int32_t i = 0; i < count; i++)
			dispatch(loop, &events[i]);
	}
	run_timers(loop);
}

/*
 * Runs the loop until loop_stop() is called.
 */
void
loop_run(struct loop *loop)
{
	loop->running = true;
	while (loop->running)
		loop_run_once(loop, loop_now(loop) + IDLE_POLL_USEC);
}

/*
 * Makes loop_run() return after the current iteration.
 */
void
loop_stop(struct loop *loop)
{
	loop->running = false;
}

/*
 * Signal handler that passes the signal number to the loop through the pipe.
 */
static void
forward_signal(int number)
{
	unsigned char byte = (unsigned char)number;
	int saved = errno;

	if (write(signal_write_fd, &byte, 1) < 0) {
		/* If the pipe is full, a wake-up is already pending. */
	}
	errno = saved;
}

/*
 * Reads signal numbers from the pipe and calls their handlers.
 */
static void
on_signal_pipe(void *arg, unsigned int events)
{
	struct loop *loop = arg;
	unsigned char bytes[16];
	ssize_t n = read(loop->signal_pipe[0], bytes, sizeof(bytes));

	(void)events;
	for (ssize_t i = 0; i < n; i++) {
		struct signal_handler *handler = &loop->handlers[bytes[i]];

		if (handler->fn != NULL)
			handler->fn(handler->arg);
	}
}

/*
 * Opens the pipe that passes signals to the loop, unless it is open already.
 */
static enum status
open_signal_pipe(struct loop *loop)
{
	if (loop->signal_watch != NULL)
		return STATUS_OK;
	if (pipe(loop->signal_pipe) != 0)
		return status_set(STATUS_IO, "pipe: %s", strerror(errno));
	for (int i = 0; i < 2; i++) {
		fcntl(loop->signal_pipe[i], F_SETFL, O_NONBLOCK);
		fcntl(loop->signal_pipe[i], F_SETFD, FD_CLOEXEC);
	}
	signal_write_fd = loop->signal_pipe[1];
	return loop_watch_create(loop, loop->signal_pipe[0], LOOP_READ,
	    on_signal_pipe, loop, &loop->signal_watch);
}

/*
 * Calls fn from the loop when the process receives a signal. Only one loop per
 * process may use this.
 */
enum status
loop_on_signal(struct loop *loop, int number, loop_fn fn, void *arg)
{
	struct sigaction action;
	enum status status = open_signal_pipe(loop);

	if (status != STATUS_OK)
		return status;
	assert(number > 0 && number < SIGNAL_MAX);
	loop->handlers[number].fn = fn;
	loop->handlers[number].arg = arg;
	memset(&action, 0, sizeof(action));
	action.sa_handler = forward_signal;
	sigaction(number, &action, NULL);
	return STATUS_OK;
}
