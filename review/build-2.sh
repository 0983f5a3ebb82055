#!/bin/sh
# Builds the programs of the second review's scripts, with their stand-ins.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for folder in review/*/; do
    number=$(basename "$folder")
    case "$number" in
        6 | 7 | 8 | 9 | 10) ;;
        *) continue ;;
    esac
    if [ -f "${folder}main.rs" ]; then
        rustc --edition 2024 -O -o "target/review-2/case-$number" "${folder}main.rs"
    fi
done
