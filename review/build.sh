#!/usr/bin/env bash
# Builds the stand-ins of the review's cases into target/review.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/*/case.c; do
	number=$(basename "$(dirname "$case")")
	gcc -std=gnu11 -D_GNU_SOURCE -O2 -Wall -Wextra -pthread \
	    -o "target/review/case-$number" "$case" review/common/standin.c
done
