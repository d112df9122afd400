#!/usr/bin/env bash
# Runs a case. Any other exit code than 0 and 1 means that the case could not run.
[ -x target/quillford ] && [ -x node_modules/.bin/node ] || exit 2
timeout --signal=TERM --kill-after=5 115 node_modules/.bin/node "$1"
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
