#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")" || exit 2
[ -s ../../target/banyanspoold.cjs ] || { echo "no build in target/" >&2; exit 2; }
exec timeout -k 5 110 node case.mjs
