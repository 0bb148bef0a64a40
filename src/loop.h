#ifndef CH_LOOP_H
#define CH_LOOP_H

#include <stdbool.h>
#include <stdint.h>

#include <apr_pools.h>

#include "status.h"

#define LOOP_READ 1u
#define LOOP_WRITE 2u

#define LOOP_USEC_PER_MSEC ((int64_t)1000)
/* Most descriptors that are watched at a time. */
#define LOOP_WATCH_MAX 65536
#define LOOP_USEC_PER_SEC ((int64_t)1000000)

struct loop;
struct loop_watch;
struct loop_timer;

typedef void (*loop_io_fn)(void *arg, unsigned int events);
typedef void (*loop_fn)(void *arg);

enum status loop_create(struct loop **);
void loop_destroy(struct loop *);
apr_pool_t *loop_pool(struct loop *);
int64_t loop_now(const struct loop *);
void loop_run(struct loop *);
void loop_run_once(struct loop *, int64_t);
void loop_stop(struct loop *);

enum status loop_watch_create(
    struct loop *, int, unsigned int, loop_io_fn, void *, struct loop_watch **);
enum status loop_watch_set(struct loop_watch *, unsigned int);
void loop_watch_destroy(struct loop_watch *);

enum status loop_timer_create(
    struct loop *, loop_fn, void *, struct loop_timer **);
void loop_timer_set(struct loop_timer *, int64_t);
void loop_timer_clear(struct loop_timer *);
bool loop_timer_is_set(const struct loop_timer *);
void loop_timer_destroy(struct loop_timer *);

enum status loop_on_signal(struct loop *, int, loop_fn, void *);

#endif
