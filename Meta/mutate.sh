#!/usr/bin/env bash
# Mutation test: changes or removes one check of the code at a time, in a copy of the last commit,
# and requires that the named test cases fail.
set -uo pipefail

ROOT="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
COPY="$(mktemp -d)"
trap 'rm -rf "$COPY"' EXIT
git -C "$ROOT" archive HEAD | tar -x -C "$COPY"
cmake -S "$COPY" -B "$COPY/build" -G Ninja >/dev/null
ninja -C "$COPY/build" >/dev/null || exit 1

noticed=0
missed=0
# Only mutations whose guarantee matches this regular expression are run.
ONLY="${1:-}"
mutate() { # GUARANTEE FILE SED-EXPRESSION PROGRAM TEST-CASES
  [[ "$1" =~ $ONLY ]] || return
  local guarantee="$1" file="$COPY/$2" expression="$3" program="$4" cases="$5"
  cp "$file" "$file.kept"
  sed -i -E -z "$expression" "$file"
  if cmp -s "$file" "$file.kept"; then
    printf 'NOT APPLIED  %s (%s)\n' "$guarantee" "$2"
    missed=$((missed + 1))
  elif ! ninja -C "$COPY/build" >"$COPY/build.log" 2>&1; then
    printf 'NOT BUILT    %s (%s)\n' "$guarantee" "$2"
    missed=$((missed + 1))
  elif "$COPY/build/Tests/$program" --test-case="$cases" >"$COPY/test.log" 2>&1; then
    printf 'MISSED       %s (%s): %s\n' "$guarantee" "$2" "$cases"
    missed=$((missed + 1))
  else
    printf 'noticed      %s (%s): %s\n' "$guarantee" "$2" "$cases"
    noticed=$((noticed + 1))
  fi
  cp "$file.kept" "$file"
}

UNIT=Unit/unit-tests
PROCESS=Process/process-tests

mutate "dispatched at most once: only the issuer dispatches" Libraries/LibLedger/Ledger.cpp \
  's/if \(aIdentity.m_permit.m_incarnation != m_incarnation\)/if (false)/' \
  "$PROCESS" "Fault matrix: Bid AfterWrite"
mutate "dispatched at most once: a request that may have been sent is not sent again" \
  Libraries/LibDispatch/Dispatcher.cpp \
  's/if \(!aOutcome.m_any_byte_sent\)/if (aOutcome.m_end != HttpEnd::Complete)/' \
  "$PROCESS" "Fault matrix: Bid AfterWrite"
mutate "dispatched at most once: only a waiting ledger entry can be marked sent" \
  Libraries/LibLedger/Ledger.cpp \
  's/entry == nullptr \|\| entry->m_state != RequestState::Waiting\) \{\n    return false;\n  \}\n  if \(Check/entry == nullptr) {\n    return false;\n  }\n  if (Check/' \
  "$UNIT" "*"
mutate "non-idempotent requests run at most once: the first claim wins" \
  Libraries/LibClaims/ClaimTable.cpp \
  's/m_winners.try_emplace\(key, Winner\{ aOffset, claim.m_identity \}\)/m_winners.insert_or_assign(key, Winner{ aOffset, claim.m_identity })/' \
  "$PROCESS" "Fault matrix: KeyedBid*"
mutate "not run is true: an unknown outcome is not reported as not run" \
  Libraries/LibDispatch/Dispatcher.cpp \
  's/FinishWithError\(aCall, Outcome::Unknown, aEnd.m_code\)/FinishWithError(aCall, Outcome::NotRun, aEnd.m_code)/' \
  "$PROCESS" "Fault matrix: Bid AfterWrite"
mutate "not run is true: bytes written to the socket count as sent" Libraries/LibHttp/HttpClient.cpp \
  's/m_outcome.m_any_byte_sent = true;/m_outcome.m_any_byte_sent = false;/' \
  "$PROCESS" "Fault matrix: Bid AfterWrite"
mutate "own response: a response must carry the identity of its request" \
  Libraries/LibDispatch/EndpointProtocol.cpp \
  's/return !aEndpoint.m_echoes_identity \|\|/return aEndpoint.m_echoes_identity ||/' \
  "$PROCESS" "An answer that belongs*"
mutate "complete response: duplicate events are dropped" Libraries/LibDispatch/StreamRelay.cpp \
  's/if \(\*aEvent.m_id <= m_last_event \&\& !aEvent.m_is_end\)/if (false)/' \
  "$PROCESS" "Fault matrix: Stream MidAnswer"
mutate "complete response: a stream without its end event is incomplete" \
  Libraries/LibDispatch/StreamRelay.cpp \
  's/ResumeOrFail\(ErrorCode::EndpointBroken\);\n\}\n\nvoid\nStreamRelay::OnNonStreamResponse/m_target.m_exchange->EndStream();\n  Finish(End(AttemptEnd::Done, ErrorCode::EndpointBroken));\n}\n\nvoid\nStreamRelay::OnNonStreamResponse/' \
  "$PROCESS" "Fault matrix: Stream MidAnswer"
mutate "complete response: an orderly close does not complete an event" \
  Libraries/LibGateway/BodyCompleteness.cpp \
  's/if \(m_events.IsInsideEvent\(\)\)/if (false)/' \
  "$PROCESS" "A stream without a length that breaks off*"
mutate "complete response: an orderly close before the first event is a loss" \
  Libraries/LibGateway/BodyCompleteness.cpp \
  's/if \(!m_events.HasEvent\(\)\)/if (false)/' \
  "$PROCESS" "A stream without a length that closes before*"
mutate "complete response: framing does not complete an event" \
  Libraries/LibGateway/BodyCompleteness.cpp \
  's/if \(m_events.IsInsideEvent\(\)\)/if (aEnd == RelayCallEnd::Closed \&\& m_events.IsInsideEvent())/' \
  "$PROCESS" "A stream whose framing ends inside*"
mutate "a leaving host receives no new requests" Libraries/LibHosts/HostTable.cpp \
  's/found->second.m_state == HostState::Live \&\&\n         aNow >= found->second.m_usable_from/aNow >= TimePoint{}/' \
  "$PROCESS" "A leaving endpoint*"
mutate "a graceful shutdown truncates no response" Daemon/Daemon.cpp \
  's/if \(!m_dispatcher.IsIdle\(\)[^{]*\{\n    return;\n  \}//' \
  "$PROCESS" "Fault matrix: Bid InShutdown"
mutate "an accepted document is never replaced by an older one" Libraries/LibDocument/DocumentFold.cpp \
  's/if \(aDocument.m_offset > ours.m_offset\)/if (true)/' \
  "$UNIT" "Any interleaving*"
mutate "of two racing publications exactly one is accepted" Libraries/LibDocument/DocumentFold.cpp \
  's/if \(publication.m_base != folded.m_revision\)/if (false)/' \
  "$PROCESS" "Of two racing*"
mutate "lower tiers are shed before a request of a higher tier is rejected" \
  Libraries/LibScheduling/ServiceScheduler.cpp \
  's/if \(!can_wait\) \{\n    ShedAllBelow\([^;]*;/if (!can_wait) {/' \
  "$UNIT" "A request that cannot meet*"

printf '%d noticed, %d missed\n' "$noticed" "$missed"
[ "$missed" -eq 0 ]
