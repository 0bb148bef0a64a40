#!/usr/bin/env bash
# Compares the processor time of a choice at an earlier revision (default: that
# before spread.h) with the present one, alternating in one process: compiles
# the earlier path*.c and pool.c with the present headers and links both.
set -eu
cd "$(dirname "$0")/.."
revision=${1:-eebc517}
BUILD=${BUILD:-build}
work="$BUILD/choose_cost"
flags="-std=gnu11 -O2 -D_GNU_SOURCE -iquote $work -iquote src -iquote src/node
    -iquote src/node/decisions -iquote platform
    $(pkg-config --cflags apr-1 apr-util-1 glib-2.0 jansson libxxhash)"
mkdir -p "$work"
make -s "$BUILD/bench/choose_cost"
for file in path.c path_cost.c path_priv.h pool.c; do
	git show "$revision:src/node/$file" >"$work/$file"
done
for file in path path_cost pool; do
	# shellcheck disable=SC2086
	gcc $flags -c -o "$work/$file.o" "$work/$file.c"
done
ld -r -o "$work/all.o" "$work/path.o" "$work/path_cost.o" "$work/pool.o"
objcopy --redefine-sym pool_path_table=old_pool_path_table \
    --redefine-sym path_find=old_path_find \
    --keep-global-symbol=old_pool_path_table \
    --redefine-sym pool_add_peers_use=old_pool_add_peers_use \
    --keep-global-symbol=old_pool_add_peers_use \
    --keep-global-symbol=old_path_find "$work/all.o" "$work/old.o"
# shellcheck disable=SC2086
gcc $flags -o "$work/choose_cost" bench/choose_cost.c "$work/old.o" \
    "$BUILD/libchestnuthoist.a" \
    $(pkg-config --libs apr-1 apr-util-1 glib-2.0 jansson libxxhash) -lhttp_parser -lm
"$work/choose_cost"
