#!/bin/sh
# Builds the stand-ins of the cases 11 to 13 into target/review-3. The scripts of
# these cases start no other stand-in.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/stand-ins-3/*.c; do
	name=$(basename "$source" .c)
	[ "$name" = rig ] && continue
	${CC:-gcc} -std=gnu11 -O2 -g -Wall -Wextra -D_GNU_SOURCE -pthread \
	    -o "target/review-3/$name" "$source" review/stand-ins-3/rig.c \
	    -ljansson
done
