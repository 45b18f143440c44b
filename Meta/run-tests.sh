#!/usr/bin/env bash
# Runs all test programs of a build and ends with "N passed, N failed".
# Test cases listed in KNOWN-RED.txt are excluded and their names printed.
set -uo pipefail

ROOT="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
BUILD="$1"
KNOWN_RED="$ROOT/KNOWN-RED.txt"
# The process tests run in this many parallel parts.
PARTS="${AUBURNHITCH_TEST_PARTS:-6}"

OUTPUT="$(mktemp -d)"
trap 'rm -rf "$OUTPUT"' EXIT

# An entry of KNOWN-RED.txt starts with the line "test: NAME", the full name of the test case.
filters=(--no-colors)
if [ -f "$KNOWN_RED" ]; then
  excluded=""
  while IFS= read -r name; do
    printf 'known red, excluded: %s\n' "$name"
    excluded="${excluded:+$excluded,}${name//,/\\,}"
  done < <(sed -n 's/^test: //p' "$KNOWN_RED")
  [ -z "$excluded" ] || filters+=("--test-case-exclude=$excluded")
fi

run_part() { # PROGRAM NAME [FILTER...]
  local program="$1" name="$2"
  shift 2
  "$BUILD/$program" "${filters[@]}" "$@" >"$OUTPUT/$name" 2>&1
  printf 'exit status %d\n' "$?" >>"$OUTPUT/$name"
}

# Test cases of this suite load the machine and measure a daemon. They run one after another when
# the other parts have ended.
ALONE='hostile callers'

run_part Tests/Unit/unit-tests unit
program=Tests/Process/process-tests
cases="$("$BUILD/$program" "${filters[@]}" "--test-suite-exclude=$ALONE" --count |
  sed -nE 's/.*: ([0-9]+)$/\1/p' | tail -1)"
size=$(((cases + PARTS - 1) / PARTS))
for part in $(seq "$PARTS"); do
  run_part "$program" "process-$part" "--test-suite-exclude=$ALONE" \
    --first=$(((part - 1) * size + 1)) --last=$((part * size)) &
done
wait
run_part "$program" alone "--test-suite=$ALONE"

passed=0
failed=0
for file in "$OUTPUT"/*; do
  printf '== %s\n' "$(basename "$file")"
  tail -150 "$file"
  summary="$(grep -E '^\[doctest\] test cases:' "$file" | tail -1)"
  if [ -z "$summary" ]; then
    # The program ended before it printed a summary.
    failed=$((failed + 1))
    continue
  fi
  part_failed="$(sed -E 's/.*\| *([0-9]+) failed.*/\1/' <<<"$summary")"
  if [ "$part_failed" -eq 0 ] && ! grep -q '^exit status 0$' "$file"; then
    part_failed=1
  fi
  total="$(sed -E 's/.*test cases: *([0-9]+) .*/\1/' <<<"$summary")"
  # doctest counts test cases outside the range --first..--last as passed.
  case "$(basename "$file")" in
    process-*)
      first=$(((${file##*-} - 1) * size))
      total=$((cases - first < size ? cases - first : size))
      ;;
  esac
  passed=$((passed + total - part_failed))
  failed=$((failed + part_failed))
done
# Repeats the failed checks at the end, where a log that was cut still shows them.
awk '/^TEST CASE:/ { name = $0 }
  /: (FATAL )?ERROR: / && name { print "failed:" substr(name, 11); name = "" }
  /: (FATAL )?ERROR: / { is_in_check = 1 }
  /^$/ { is_in_check = 0 }
  is_in_check { print "  " $0 }' "$OUTPUT"/*
printf '%d passed, %d failed\n' "$passed" "$failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
