#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
ulimit -n 8192 2>/dev/null || ulimit -n "$(ulimit -Hn)" 2>/dev/null
[ -x target/review-2/case-9 ] && [ -x target/release/magnoliaspar ] || exit 2
exec target/review-2/case-9
