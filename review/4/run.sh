#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
number=$(basename "$PWD")
cd ../.. || exit 2
program=target/review/case$number
if [ ! -x "$program" ] || [ ! -x target/release/briarrail_edge ]; then
    echo "not built: see review/build.sh and the build of deploy/system.toml"
    exit 2
fi
exec "$program" "review/$number"
