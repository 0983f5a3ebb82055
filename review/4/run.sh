#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
program=target/review/case4
[ -x "$program" ] && [ -x target/release/briarrail_edge ] || { echo "not built: see review/build.sh"; exit 2; }
exec "$program" review/4
