#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
[ -f ../../target/gateway.cjs ] || exit 2
timeout -k 5 115 node case.mjs
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
