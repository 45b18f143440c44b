#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
[ -x target/review-3/cases ] && [ -x target/Daemon/auburnhitchd ] || exit 2
timeout --kill-after=5 110 target/review-3/cases lost review/14/record.txt
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
