#!/usr/bin/env bash
# Runs one case: run-case.sh FOLDER. Exits with 0 if the rule held, 1 if it was broken, 2 if the
# case could not run. All daemons are children of the case and end with it.
set -u
folder="$(cd "$1" && pwd)"
cd "$(dirname "${BASH_SOURCE[0]}")/.."
case_program="target/review/case-$(basename "$folder")"
daemon="target/Daemon/auburnhitchd"
if [ ! -x "$case_program" ] || [ ! -x "$daemon" ]; then
  echo "build first: the build command of deploy/system.toml, then review/build.sh" >&2
  exit 2
fi
scratch="$(mktemp -d)"
trap 'rm -rf "$scratch"' EXIT
timeout --kill-after=5 115 "$case_program" "$daemon" "$scratch" "$folder/record.txt"
status=$?
if [ -n "${KEEP_LOGS:-}" ]; then
  mkdir -p "$KEEP_LOGS" && cp "$scratch"/* "$KEEP_LOGS"/
fi
[ "$status" -le 2 ] || status=2
exit "$status"
