#!/usr/bin/env bash
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/chestnuthoist-node ] && [ -x target/review/case-1 ] || exit 2
timeout -k 5 100 target/review/case-1
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
