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
  's/!m_events.HasEvent\(\)/m_events.IsInsideEvent()/' \
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
mutate "an endpoint's limit holds over all daemons: they report it to the coordinator" \
  Libraries/LibBroker/SlotBroker.cpp \
  's/      SendToCoordinator\(outstanding.m_coordinator, notice\);//' \
  "$PROCESS" "Daemons whose coordinator has no callers*"
mutate "an endpoint's limit holds over all daemons: the coordinator informs them of changes" \
  Libraries/LibBroker/NoticeExchange.cpp \
  's/    m_inform_all\(NoticeOf\(service, endpoint, aNotice.m_limit\)\);//' \
  "$UNIT" "Limits: *"
mutate "an endpoint's limit holds over all daemons: a minority grants a part of it" \
  Libraries/LibBroker/RateShare.cpp \
  's/return is_majority \? 1 :/return is_majority || true ? 1 :/' \
  "$PROCESS" "Limits: *"
mutate "an endpoint's limit holds over all daemons: the share follows from the followers" \
  Libraries/LibBroker/SlotBroker.cpp \
  's/RateShare\(FollowerCount\(service\),/RateShare(m_dependencies.m_membership->AliveMembers(Now()).size() + 1,/' \
  "$PROCESS" "Limits: daemons that disagree*"
mutate "an endpoint's limit holds when the coordinator changes: a bucket is empty at first" \
  Libraries/LibPlacement/TokenBucket.cpp \
  's/: m_rate\(aRate\)/: m_rate(aRate), m_level(10)/' \
  "$UNIT" "A new coordinator starts with*,A rate limit permits*"
mutate "an endpoint's limit holds when the coordinator changes: the next one knows it" \
  Libraries/LibPlacement/SlotEndpoint.cpp \
  's/  m_rate.Apply\(m_info.m_limit, std::nullopt, aNow\);//' \
  "$UNIT" "A new coordinator starts with*"
mutate "an endpoint's limit holds when the coordinator changes: also if it has just started" \
  Libraries/LibBroker/SlotCoordinator.cpp \
  's/SlotScheduler& scheduler = SchedulerOf\(aService, aNow\);\n  if \(!scheduler.RecordStatedLimit/if (!m_schedulers.contains(aService)) {\n    return false;\n  }\n  SlotScheduler\& scheduler = SchedulerOf(aService, aNow);\n  if (!scheduler.RecordStatedLimit/' \
  "$UNIT" "A coordinator that has granted no slot*"
mutate "an endpoint's limit holds before a restart is registered" \
  Libraries/LibPlacement/SlotScheduler.cpp \
  's/m_started_at_ms <= aEndpoint.m_started_at_ms/m_started_at_ms == aEndpoint.m_started_at_ms/' \
  "$UNIT" "A limit applies before the registration*"
mutate "an endpoint's limit is that of its incarnation" \
  Libraries/LibPlacement/SlotScheduler.cpp \
  's/         found->second.Info\(\).m_started_at_ms <= aEndpoint.m_started_at_ms \&\&//' \
  "$UNIT" "The statement of an earlier incarnation*"
mutate "an endpoint's limit ends only by a later response" Libraries/LibPlacement/StatedRateLimit.cpp \
  's/\*aSentAt > m_stated_at/*aSentAt > TimePoint()/' \
  "$UNIT" "A limit ends or rises only*"
mutate "an endpoint's limit counts each send" Libraries/LibPlacement/SlotEndpoint.cpp \
  's/  m_rate.RecordSent\(aNow\);//' \
  "$UNIT" "A scheduler grants a limited endpoint*"
mutate "an endpoint's limit is its service rate" Libraries/LibPlacement/SlotEndpoint.cpp \
  's/return rate \? std::min\(slots, [^;]*;/return rate ? slots : slots;/' \
  "$UNIT" "With all endpoints limited*"
mutate "an endpoint's limit is ignored if malformed" platform/PlatformDialect.cpp \
  's/if \(notice.m_is_limit_malformed\)/if (false)/' \
  "$UNIT" "The limit that an endpoint states*"
mutate "an endpoint that leaves gets no requests: the coordinator withdraws its slots" \
  Libraries/LibBroker/SlotBroker.cpp \
  's/return IsLeaving\(\{ aInfo.m_id, aInfo.m_started_at_ms \}\);/return false;/' \
  "$PROCESS" "Leaving: callers are refused at once*"
mutate "an endpoint that leaves gets no requests: the next coordinator learns it" \
  Libraries/LibBroker/NoticeExchange.cpp \
  's/for \(const EndpointIncarnation& endpoint : m_leaving.OfService\(aService\)\) \{\n[^}]*\}//' \
  "$UNIT" "Leaving: *"
mutate "an endpoint that leaves gets no requests: whatever its registration says" \
  Libraries/LibBroker/LeavingEndpoints.cpp \
  's/aNow - entry.m_renewed_at <= m_limits.m_retention \/ 2/false/; s/aNow - entry.m_renewed_at > m_limits.m_retention/true/' \
  "$UNIT" "Leaving: *"
mutate "an endpoint that leaves gets no requests: its next incarnation does" \
  Libraries/LibBroker/include/LibBroker/LeavingEndpoints.h \
  's/return m_entries.contains\(aEndpoint\);/return std::any_of(m_entries.begin(), m_entries.end(), [\&](const auto\& aEntry) { return aEntry.first.m_id == aEndpoint.m_id; });/; s/#include <functional>/#include <algorithm>\n#include <functional>/' \
  "$UNIT" "Leaving: *"
mutate "an endpoint that leaves gets no requests: a daemon hands back grants" \
  Libraries/LibGateway/ActiveRequestNotices.cpp \
  's/if \(m_dependencies.m_broker->IsLeaving\(aEndpoint\)\) \{/if (false) {/' \
  "$PROCESS" "Leaving: the daemon that heard it*"
mutate "an endpoint that leaves gets no requests: those that connect to it are moved" \
  Libraries/LibBroker/NoticeExchange.cpp \
  's/  m_on_unavailable\(aEndpoint\);\n  return true;\n\}\n\nvoid/  return true;\n}\n\nvoid/' \
  "$PROCESS" "Leaving: a request that is still connecting*"
mutate "an endpoint that leaves gets no requests: a late registration is that of the statement" \
  Libraries/LibBroker/NoticeExchange.cpp \
  's/if \(m_leaving.RecordRegistered\(aService, aEndpoint, aReadableSince, aNow\)\)/if (false)/; s/TimePoint aReadableSince,\n *TimePoint aNow\)/TimePoint,\n                             TimePoint)/' \
  "$PROCESS" "Leaving: a statement of an incarnation*"
mutate "an endpoint that rests gets no requests: the daemon that was asked hands back grants" \
  Libraries/LibGateway/ActiveRequestNotices.cpp \
  's/return m_dependencies.m_broker->IsResting\(aEndpoint\)/return false/' \
  "$PROCESS" "Rest: the daemon that heard it*"
mutate "an endpoint that rests gets no requests: the coordinator grants the daemon none" \
  Libraries/LibPlacement/SlotScheduler.cpp \
  's/ && !RestEnd\(aEndpoint, request, aNow\);/;/' \
  "$UNIT" "Rest: *"
mutate "an endpoint that rests gets no requests: the next coordinator learns it" \
  Libraries/LibBroker/NoticeExchange.cpp \
  's/(m_own_rests.Of\(aService, m_own, aNow)/\1 + Milliseconds(1000000)/' \
  "$UNIT" "Rest: *"
mutate "placing: a connection counts as idle only after a complete response" \
  Libraries/LibPlacement/SlotEndpoint.cpp \
  's/if \(LeavesConnection\(aOutcome\)\)/if (true)/' \
  "$UNIT" "Daemons have idle connections only*"
mutate "placing: a rise of the learned slowness does not feed itself" \
  Libraries/LibPlacement/SlotEndpoint.cpp \
  's/m_is_learning \? held.m_first_byte_slowness : //' \
  "$UNIT" "Requests that run at once are not learned as slower*"
mutate "placing: the setting reaches the endpoints" Libraries/LibPlacement/SlotScheduler.cpp \
  's/fresh\(info, aNow, [^)]*\(\).m_learn_concurrency\)/fresh(info, aNow)/' \
  "$UNIT" "Requests that run at once are not learned as slower*"
mutate "placing: an endpoint at its learned limit is the last choice" \
  Libraries/LibPlacement/EndpointChooser.cpp \
  's/is_beyond_limit = m_state.m_is_learning &&/is_beyond_limit = false \&\&/' \
  "$UNIT" "An endpoint beyond its learned limit*"
mutate "placing: a learned limit keeps no slot free" Libraries/LibPlacement/EndpointChooser.cpp \
  's/if \(!endpoint->HasFreeSlot/if (endpoint->IsAtLearnedLimit() || !endpoint->HasFreeSlot/' \
  "$UNIT" "An endpoint beyond its learned limit*"
mutate "placing: old samples of a limit lose weight" Libraries/LibPlacement/ConcurrencyLimit.cpp \
  's/cell.m_weight \*= kept;/cell.m_weight *= 1;/' \
  "$UNIT" "A concurrency limit follows*"
mutate "placing: limits are learned only with the setting" Libraries/LibPlacement/SlotEndpoint.cpp \
  's/!m_is_learning \|\| aHeld.m_is_adopted/aHeld.m_is_adopted/' \
  "$UNIT" "An endpoint beyond its learned limit*"
mutate "placing: an awaited slot is awaited by one request" Libraries/LibPlacement/EndpointChooser.cpp \
  's/awaited == aAwaited.end\(\) \? 0 : awaited->second/awaited == aAwaited.end() ? 0 : 0/' \
  "$UNIT" "A request waits beside a free slot only*"
mutate "placing: a stale estimate is tried again" Libraries/LibPlacement/EndpointChooser.cpp \
  's/ \|\| aChosen.IsEstimateStale\(aNow\)//' \
  "$UNIT" "A request waits beside a free slot only*"
mutate "a rest is not shortened by a later one" Libraries/LibPlacement/EndpointRests.cpp \
  's/!is_new && found->second.m_until >= until/false/' \
  "$UNIT" "Rest: *"
mutate "a rest is not ended by a success" Libraries/LibBroker/NoticeExchange.cpp \
  's/  if \(aStated.m_rest && RecordRest/  if (!aStated.m_rest) {\n    m_own_rests.DropExpired(aNow + Milliseconds(1000000));\n  }\n  if (aStated.m_rest \&\& RecordRest/' \
  "$UNIT" "Rest: *"
mutate "a rest is not kept for the next incarnation" Libraries/LibPlacement/EndpointRests.cpp \
  's/Key\(aEndpoint, aDaemon\)/Key(EndpointIncarnation{ aEndpoint.m_id, 0 }, aDaemon)/g' \
  "$UNIT" "Rest: *"
mutate "a rest holds for the next incarnation if that may have asked for it" \
  Libraries/LibPlacement/EndpointRests.cpp \
  's/is_registered_late\) \{/false \&\& is_registered_late) {/' \
  "$UNIT" "Rest: *"
mutate "a rest holds for the next incarnation only if that may have asked for it" \
  Libraries/LibPlacement/EndpointRests.cpp \
  's/is_registered_late\) \{/(is_registered_late || true)) {/' \
  "$UNIT" "Rest: *"
mutate "a rest binds the daemon that was asked alone" Libraries/LibPlacement/EndpointRests.cpp \
  's/Key\(aEndpoint, aDaemon\)/Key(aEndpoint, Incarnation())/g; s/const Incarnation& aDaemon,/const Incarnation\&,/g; s/const Incarnation& aDaemon, TimePoint aNow\) const\n\{\n  std::vector/const Incarnation\&, TimePoint aNow) const\n{\n  std::vector/; s/ \&\& key.second == aDaemon//' \
  "$UNIT" "Rest: *"
mutate "after a rest an endpoint gets one request at a time" Libraries/LibPlacement/SlotEndpoint.cpp \
  's/return m_rest_asked_at &&/return false \&\& m_rest_asked_at \&\&/' \
  "$UNIT" "Rest: *"
mutate "a request that crashes endpoints is refused: its id is not part of the digest" \
  Libraries/LibGateway/RequestDigest.cpp \
  's/return Sha256Hex\(absl::StrCat\(aHead.m_method,/return Sha256Hex(absl::StrCat(FindHeader(aHead.m_headers, "X-Request-Id"), aHead.m_method,/' \
  "$UNIT" "A request that comes again*"
mutate "a request that crashes endpoints is refused: framing is not part of the digest" \
  Libraries/LibGateway/RequestDigest.cpp \
  's/return Sha256Hex\(absl::StrCat\(aHead.m_method,/return Sha256Hex(absl::StrCat(FindHeader(aHead.m_headers, "Content-Length"), aHead.m_method,/' \
  "$UNIT" "A request that comes again*"
mutate "a request that crashes endpoints is refused: the body is part of the digest" \
  Libraries/LibGateway/RequestDigest.cpp \
  's/" ",\n *aBody\)/" ", aBody.substr(0, 0))/' \
  "$UNIT" "A request that comes again*"
mutate "a request that crashes endpoints is refused: the caller is part of the digest" \
  Libraries/LibGateway/RequestDigest.cpp \
  's/aCaller,\n/absl::string_view(),\n/' \
  "$UNIT" "A request that comes again*"
mutate "a request that crashes endpoints is refused: after the third crash in any case" \
  Libraries/LibPlacement/CrashSuspects.cpp \
  's/log_odds = std::max\(log_odds, m_refuse_log_odds\);/log_odds = std::max(log_odds, kMinLogOdds);/' \
  "$UNIT" "Repeated crashes: a request is refused after two*"
mutate "a request that crashes endpoints is refused: suspected ones run one at a time" \
  Libraries/LibPlacement/CrashSuspects.cpp \
  's/\(is_whole \? !EndpointsOfSuspects\(aNow\).empty\(\) : trait.m_running > 0\)/trait.m_running > 0/' \
  "$UNIT" "Repeated crashes: *"
mutate "a request that crashes endpoints is refused: a new version permits no further trial" \
  Libraries/LibPlacement/CrashSuspects.cpp \
  's/if \(!IsWholeRequest\(id\)\) \{\n( *trait.m_crashes = std::min)/if (true) {\n\1/; s/m_limits.m_max_crashes - 1\)/2)/' \
  "$UNIT" "Repeated crashes: at most two trials*"
mutate "a request that crashes endpoints is refused: not those under which many endpoints break at once" \
  Libraries/LibPlacement/CrashSuspectsWithdrawal.cpp \
  's/endpoints.size\(\) < kManyCrashes/endpoints.size() < 100 * kManyCrashes/' \
  "$UNIT" "Repeated crashes: many endpoints*"
mutate "a request that crashes endpoints is refused: a popular one is not" \
  Libraries/LibPlacement/CrashSuspects.cpp \
  's/trait.m_log_odds \+ kCompletionEvidence/trait.m_log_odds/g; s/constexpr double kCompletionEvidence = -7;//' \
  "$UNIT" "Repeated crashes: a popular request*"
mutate "a request that crashes endpoints is refused: a trial does not take the last endpoint" \
  Libraries/LibPlacement/SlotScheduler.cpp \
  's/return serving > 1 \?/return serving > 0 ?/' \
  "$UNIT" "Repeated crashes: a trial*"
mutate "a request that crashes endpoints is refused: its slot request carries the digest" \
  Libraries/LibGateway/ActiveRequest.cpp \
  's/  request.m_crash_traits.push_back\(TraitOfRequest\(m_request.m_digest\)\);//' \
  "$PROCESS" "Repeated crashes: a request that crashes endpoints*"
mutate "a request that crashes endpoints is refused: not one whose response had begun" \
  Libraries/LibPlacement/CrashSuspects.cpp \
  's/if \(IsWholeRequest\(id\) \&\& aRequest.m_started_at\)/if (false)/' \
  "$PROCESS" "*stream*version*"
mutate "a request that crashes endpoints is refused: a connection that broke before hides no crash" \
  Libraries/LibPlacement/CrashSuspects.cpp \
  's/if \(aRequest.m_granted_at <= known->m_at\)/if (true)/' \
  "$UNIT" "Repeated crashes: a connection that broke*"
mutate "a request that crashes endpoints is refused: not one that breaks off where others run" \
  Libraries/LibPlacement/CrashSuspects.cpp \
  's/  WithdrawIfAlive\(aRequest, kReportDelay, aNow\);//' \
  "$UNIT" "Repeated crashes: an endpoint that breaks*"
mutate "a request that crashes endpoints is refused: not one after which its endpoint responds" \
  Libraries/LibPlacement/CrashSuspects.cpp \
  's/    WithdrawIfAlive\(found->second, Milliseconds\(0\), aNow\);//; s/      WithdrawIfAlive\(request, Milliseconds\(0\), aNow\);//g' \
  "$UNIT" "Repeated crashes: a response that begins*"
mutate "a request that crashes endpoints is refused: a kept connection that breaks after hides none" \
  Libraries/LibPlacement/CrashSuspects.cpp \
  's/aRequest, kReportDelay, aNow/aRequest, Milliseconds(0), aNow/' \
  "$UNIT" "Repeated crashes: a kept connection*"
mutate "a request that crashes endpoints is refused: one that breaks twice at once counts once" \
  Libraries/LibPlacement/CrashSuspects.cpp \
  's/return IsWeighed\(aEntry.first, aRequestId, aRequest\);/return false;/' \
  "$UNIT" "Repeated crashes: requests that break off in turn*"
mutate "a request that crashes endpoints is refused: each daemon knows its own complete responses" \
  Libraries/LibPlacement/CrashSuspects.cpp \
  's/(RecordCompleteResponse[^{]*)\{/\1{\n  return;/' \
  "$UNIT" "Repeated crashes: a new coordinator knows*"
mutate "a prompt that crashes endpoints is refused: a connection that broke before hides no crash" \
  Libraries/LibPlacement/CrashSuspects.cpp \
  's/return IsWeighed\(aEntry.first,/return !IsWholeRequest(aEntry.first) || IsWeighed(aEntry.first,/' \
  "$UNIT" "Crashes: one just after*"
mutate "a prompt that crashes endpoints is refused: the daemons tell the next coordinator" \
  Libraries/LibPlacement/CrashSuspects.cpp \
  's/if \(trait.m_log_odds >= m_announce_log_odds\) \{\n      all/if (false) {\n      all/' \
  "$UNIT" "Crashes: what one daemon knows*"
mutate "a prompt that crashes endpoints is refused: the slot request carries its parts" \
  Libraries/LibBroker/SlotBroker.cpp \
  's/  request.m_crash_traits = aLink.TakeCrashTraits\(aSlotRequest.m_number\);//' \
  "$PROCESS" "Crashing prompts: requests with*"
mutate "a prompt that crashes endpoints is refused: what a harmless one shares is not" \
  Libraries/LibPlacement/CrashSuspects.cpp \
  's/      RecordCompleted\(request, aNow\);//' \
  "$UNIT" "Crashes: *"
mutate "a prompt that crashes endpoints is refused: a part explains the crash for those beside it" \
  Libraries/LibPlacement/CrashSuspects.cpp \
  's/m_log_odds > aBound \? 1 - ProbabilityOf\(candidate.m_log_odds\) : 1/m_log_odds > 99 + aBound ? 0.5 : 1.0/' \
  "$UNIT" "Crashes: *"
mutate "a prompt that crashes endpoints is refused: many crashes at once have one cause" \
  Libraries/LibPlacement/CrashSuspects.cpp \
  's/if \(!aCandidate.m_is_independent\)/if (false)/' \
  "$UNIT" "Crash load: no harmless request*"
mutate "a prompt that crashes endpoints is refused: one crash counts once" \
  Libraries/LibPlacement/CrashSuspects.cpp \
  's/if \(Crash\* known = CrashOf\(aRequestId, aRequest\)\)/if (Crash* known = nullptr)/' \
  "$UNIT" "Crashes: *"
mutate "a prompt that crashes endpoints is refused: one whose response had begun is no candidate" \
  Libraries/LibPlacement/CrashSuspects.cpp \
  's/\(aRequest.m_started_at \&\& aEndedAt - \*aRequest.m_started_at > kMaxTimeToCrash\)/false/' \
  "$UNIT" "Crashes: *"
mutate "a prompt that crashes endpoints is refused: the base rate counts" \
  Libraries/LibPlacement/CrashSuspects.cpp \
  's/  m_unexplained \+= crash.m_unexplained;//' \
  "$UNIT" "Crashes: *"
mutate "a prompt that crashes endpoints is refused: its last part is no candidate" \
  platform/PlatformDialect.cpp \
  's/absl::string_view rest = FindHeader\(aHeaders, kPromptParts\);/const std::string all = std::string(FindHeader(aHeaders, kPromptParts)) + ",";\n  absl::string_view rest = all;/' \
  "$UNIT" "The parts of a prompt are decoded*"
mutate "a prompt that crashes endpoints is refused: an end with the connection clears nothing" \
  Libraries/LibPlacement/CrashSuspects.cpp \
  's/    found->second.m_is_end_unproven = true;//' \
  "$UNIT" "Crashes: *"
mutate "a stream stays at its version: the slot request carries the constraint" \
  Libraries/LibBroker/SlotBroker.cpp \
  's/request.m_required_version = required->m_version;//' \
  "$PROCESS" "A stream that its caller resumes does not*"
mutate "a stream stays at its version: the daemon checks the grant" \
  Libraries/LibGateway/ActiveRequest.cpp \
  's/request.m_required_version = m_required_version;//; s/m_required_version \&\& endpoint->m_software_version != \*m_required_version/false/' \
  "$PROCESS" "A stream does not continue at another*"
mutate "a stream stays at its version: other daemons hold its origin" \
  Libraries/LibBroker/StreamTracker.cpp \
  's/if \(!aReplica\) \{\n    return;/if (true) {\n    return;/' \
  "$PROCESS" "A stream whose daemon was killed*"
mutate "a stream stays at its version: the successor holds its origin" \
  Libraries/LibBroker/StreamTracker.cpp \
  's/if \(m_streams.Record\(aService, origin, m_dependencies.m_loop->Now\(\)\)\)/if (m_streams.Record(aService, origin, m_dependencies.m_loop->Now()) \&\& !m_dependencies.m_is_coordinator(aService))/' \
  "$PROCESS" "A stream whose daemon was killed*"
mutate "a stream stays at its version: the version is that of the incarnation, not of the id" \
  Libraries/LibBroker/StreamVersions.cpp \
  's/aNow - entry.m_recorded_at <= m_limits.m_registration_lag/aNow < entry.m_recorded_at/' \
  "$UNIT" "A stream that began just before*"
mutate "a stream stays at its version: an unknown one continues only if one version served" \
  Libraries/LibRegistry/VersionHistory.cpp \
  's/if \(only != nullptr\) \{/if (false) {/' \
  "$UNIT" "The version of an unknown stream*"
mutate "a stream stays at its version: it stays in its service" Libraries/LibGateway/Gateway.cpp \
  's/resumes_stream \? aHead.m_resumed_stream : aHead.m_request_id/aHead.m_request_id/; s/  const bool resumes_stream = [^;]*;//' \
  "$PROCESS" "A stream that its caller resumes continues in*"
mutate "a stream for one version does not hold up other requests" \
  Libraries/LibPlacement/SlotScheduler.cpp \
  's/if \(!is_for_one_version \&\& !IsKeptByRest\(request, aNow\)\)/if (!IsKeptByRest(request, aNow))/' \
  "$UNIT" "A request for one software version*"
mutate "a response that never ends is bounded: its head in time" Libraries/LibRelay/RelayClient.cpp \
  's/if \(!m_parser.HasHead\(\)\) \{\n        StartHeadTimer\(\);/if (false) {\n        StartHeadTimer();/' \
  "$PROCESS" "An endpoint whose response never ends*"
mutate "a response that never ends is bounded: informational responses" \
  Libraries/LibRelay/RelayClient.cpp \
  's/\+\+m_informational_responses > kMaxInformationalResponses/m_informational_responses > kMaxInformationalResponses/' \
  "$PROCESS" "An endpoint whose response never ends*"
mutate "a response that never ends is bounded: a body without a length" \
  Libraries/LibGateway/ActiveRequest.cpp \
  's/m_buffered_body.size\(\) > kMaxUnframedBytes/m_buffered_body.size() > (kMaxUnframedBytes << 10)/' \
  "$PROCESS" "An endpoint whose response never ends*"
mutate "a response that never ends is bounded: an event" Libraries/LibGateway/BodyCompleteness.cpp \
  's/m_event_bytes > kMaxEventBytes/m_event_bytes > (kMaxEventBytes << 10)/' \
  "$PROCESS" "A stream whose event never ends*"
mutate "a response that never ends is bounded: the body of a call with a limit" \
  Libraries/LibRelay/RelayClient.cpp \
  's/m_body_bytes > m_limits.m_max_body_bytes/false/' \
  "$PROCESS" "The relay.s client ends*"
mutate "a response that never ends is bounded: the own interface's client" \
  Libraries/LibHttp/HttpClient.cpp \
  's/aInfo->orig_size \+ aInfo->n_added > kMaxUnparsedBytes/false/' \
  "$PROCESS" "The own interface.s client*"

mutate "versions: an endpoint that could not be reached may have restarted" \
  Libraries/LibPlacement/SlotEndpoint.cpp \
  's/return !has_survivors/return false \&\& !has_survivors/' "$UNIT" "Restart: a request for one*"
mutate "versions: a registration read too early does not end the doubt" \
  Libraries/LibPlacement/SlotEndpoint.cpp \
  's/ > kRegistrationLag/ > Milliseconds(0)/' "$UNIT" "Restart: a request for one*"
mutate "versions: a daemon records the origin at an endpoint in doubt as ambiguous" \
  Libraries/LibGateway/ActiveRequest.cpp \
  's/is_ambiguous \? SoftwareVersion\(\) : //' "$PROCESS" "*that was down and has not registered*"

mutate "rests: a response that nobody waits for is still read" Libraries/LibRelay/RelayClient.cpp \
  's/const bool may_be_answered = /const bool may_be_answered = false \&\& /' \
  "$PROCESS" "Rest: a rest asked for when*"
mutate "leaving: a late statement is told to the other daemons" Libraries/LibBroker/SlotBroker.cpp \
  's/const std::uint64_t number = \+\+m_last_number;/const std::uint64_t number = 0;/' \
  "$PROCESS" "Leaving: a statement in a response that nobody*"

mutate "odd entries: JSON nested too deeply is malformed" Libraries/LibCore/JsonObjectReader.cpp \
  's/if \(HasTooManyBrackets\(aText\)\)/if (false \&\& HasTooManyBrackets(aText))/' \
  "$PROCESS" "Odd entries: a deeply nested document*"
mutate "odd entries: MessagePack nested too deeply is malformed" Libraries/LibCore/JsonObjectReader.cpp \
  's/if \(HasTooManyLevels\(aBytes\)\)/if (false \&\& HasTooManyLevels(aBytes))/' \
  "$UNIT" "JSON and MessagePack that are nested*"

mutate "odd entries: addresses in heartbeats are checked" Libraries/LibCluster/Heartbeat.cpp \
  's/if \(!SplitSocketAddress\(heartbeat[^{]*\{/if (false) {/' \
  "$PROCESS" "Odd entries: a heartbeat*"

mutate "odd entries: a malformed record hides no others" platform/StoreClient.cpp \
  's/if \(length > aBytes.size\(\)\)/if (length > aBytes.size() || length == 0)/' \
  "$PROCESS" "Odd entries: a malformed record*"

mutate "odd entries: a list with malformed text is read" platform/StoreClient.cpp \
  's/return ParseJson\(ReplaceMalformedText\(aBody\), ignored\)/return std::nullopt/' \
  "$PROCESS" "Odd entries: a malformed item*"
mutate "odd entries: a malformed item hides no others" platform/StoreClient.cpp \
  's/page.m_records.push_back\(DecodeItem\(item\)\);/if (DecodeItem(item) == KeyedRecord::Malformed()) { return absl::InternalError("item"); }\n    page.m_records.push_back(DecodeItem(item));/' \
  "$PROCESS" "Odd entries: a malformed item*"

mutate "odd entries: an id is a header value" platform/RegistrationDecoder.cpp \
  's/if \(!IsHeaderToken\(aId\)\)/if (false \&\& !IsHeaderToken(aId))/' \
  "$PROCESS" "Odd entries: an id*"
mutate "odd entries: the log is not flooded" platform/PlatformAdapter.cpp \
  's/if \(m_malformed_logged >= kMaxMalformedLogged\)/if (false)/' \
  "$PROCESS" "Odd entries: a thousand*"

mutate "not run is true: a refusal without an id on a reused connection proves nothing" \
  platform/PlatformDialect.cpp 's/id.empty\(\) \? aIsReused : id != aRequestId/id.empty() ? aIsReused \&\& false : id != aRequestId/' \
  "$UNIT" "Only 421 or X-Not-Executed*"
mutate "not run is true: a connection whose response names no request is not reused" \
  Libraries/LibGateway/ActiveRequest.cpp 's/if \(!dialect.NamesRequest\(aHead\)\)/if (false)/' \
  "$PROCESS" "Endpoints whose responses name no request*"

mutate "not run is true: a refused request is sent again on a new connection" \
  Libraries/LibGateway/ActiveRequest.cpp \
  's/!m_dependencies.m_refused->Contains\(/true || m_dependencies.m_refused->Contains(/' \
  "$PROCESS" "Repeated refusals: one of*"

mutate "whole answers: a response inside an event stream is no event" \
  Libraries/LibGateway/BodyCompleteness.cpp 's/if \(m_events.HasStatusLine\(\)\)/if (false)/' \
  "$PROCESS" "Repeated refusals: one in the middle*"

mutate "cut off daemons: a doubted daemon makes no endpoint suspect for others" \
  Libraries/LibPlacement/SlotEndpoint.cpp 's/if \(aDoubted.contains\(aDaemon\)\) \{/if (false) {/' \
  "$UNIT" "A daemon that reaches no endpoint*"
mutate "cut off daemons: overdue bytes count only against who waits for them" \
  Libraries/LibPlacement/SlotEndpoint.cpp \
  's/ \&\& !aDoubted.contains\(aEntry.first.m_daemon\)//' \
  "$UNIT" "A daemon without answers*"
mutate "cut off daemons: callers are served through another daemon" \
  Libraries/LibGateway/ActiveRequestForwarding.cpp 's/if \(target\) \{/if (false) {/' \
  "$PROCESS" "Cut off: a daemon whose connections to all endpoints are reset*"
mutate "cut off daemons: a path that hangs is noticed" \
  Libraries/LibGateway/EndpointReach.cpp 's/return CannotConnect\(aNow\) \&\& Silence/return false \&\& Silence/' \
  "$UNIT" "A daemon that cannot connect is cut off*"
mutate "reach: a connection that breaks without a byte is a failure" \
  Libraries/LibGateway/EndpointReach.cpp 's/RecordFailure\(aEndpoint, Failure::Unanswered, aNow\);//' \
  "$UNIT" "A connection that is established and breaks*"
mutate "reach: bytes on an open connection prove nothing of new ones" \
  Libraries/LibGateway/EndpointReach.cpp 's/if \(aIsNewConnection\)/if (true)/' \
  "$UNIT" "A connection that is established and breaks*"
mutate "reach: silence on a new connection counts only for long" \
  Libraries/LibGateway/EndpointReach.cpp 's/ \&\& aSilence >= m_limits.m_unanswered_after//' \
  "$UNIT" "Endpoints that accept connections and stay silent*"
mutate "reach: requests given up in silence count" \
  Libraries/LibGateway/EndpointReach.cpp 's/if \(aSilence >= m_limits.m_min_silence \&\& \(/if (aSilence < Duration::zero() \&\& (/' \
  "$UNIT" "Requests given up in silence*"
mutate "reach: a request that may not run again is no trial" \
  Libraries/LibGateway/EndpointReach.cpp 's/may_be_lost \&\& !aMayRunAgain/false/' \
  "$UNIT" "A daemon that cannot connect tries*"
mutate "reach: a connection that is established ends the evidence of refused ones" \
  Libraries/LibGateway/EndpointReach.cpp 's/return aEntry.second == Failure::NotEstablished;/return false \&\& aEntry.second == Failure::NotEstablished;/' \
  "$UNIT" "Endpoints that refuse connections do not make*"
mutate "reach: a daemon that reaches no endpoint stays the coordinator" \
  Libraries/LibCluster/Membership.cpp 's/!aMember.m_is_leaving \&\& aMember.m_is_ready/!aMember.m_is_leaving \&\& aMember.m_is_ready \&\& aMember.m_reaches_endpoints/' \
  "$UNIT" "A daemon that reaches no endpoint stays*"
mutate "reach: daemons of an earlier version hear one that reaches endpoints" \
  Libraries/LibCluster/Heartbeat.cpp 's/if \(!member.m_reaches_endpoints\)/if (true)/' \
  "$UNIT" "Only heartbeats that daemons of an earlier version*"
mutate "reach: nothing is forwarded to a daemon that reaches no endpoint" \
  Libraries/LibGateway/ForwardTargets.cpp 's/!member.m_reaches_endpoints \|\| //' \
  "$UNIT" "A request is forwarded to daemons in turn*"
mutate "reach: a new coordinator withdraws what the one before withdraws" \
  Libraries/LibPlacement/CrashSuspects.cpp 's/WithdrawTakenOver\(found->second, aSuspicion, aNow\);//' \
  "$UNIT" "Cut off: evidence that one coordinator withdraws*"
mutate "reach: a coordinator keeps its own evidence" \
  Libraries/LibPlacement/CrashSuspects.cpp 's/std::min\(taken_over.m_stated_log_odds - stated, taken_over.m_log_odds\)/taken_over.m_stated_log_odds - stated/' \
  "$UNIT" "Cut off: a coordinator.s own evidence stays*"
mutate "reach: a daemon that endpoints reset does not refuse" \
  Libraries/LibGateway/ActiveRequestForwarding.cpp 's/reach.IsRefusedByAll\(now\)/reach.IsCutOff(now)/' \
  "$PROCESS" "A non-idempotent request whose response is lost*"
mutate "reach: an endpoint that goes on registering has not crashed" \
  Libraries/LibPlacement/SlotScheduler.cpp 's/m_crash_suspects->RecordRenewed\(aEndpoint.m_id, aReadableSince, aNow\);//' \
  "$PROCESS" "Cut off: requests that broke off*"
mutate "reach: a renewal may have been written before the crash" \
  Libraries/LibPlacement/CrashSuspectsWithdrawal.cpp 's/aNow - std::max\(aCrash.m_at, aReadableSince\) > kRegistrationLag/aReadableSince < aNow/' \
  "$UNIT" "Cut off: *"
mutate "reach: an endpoint that has restarted has crashed" \
  Libraries/LibPlacement/CrashSuspectsWithdrawal.cpp 's/!aCrash.m_has_restarted \&\&\s+//' \
  "$UNIT" "Cut off: a restarted*"
mutate "reach: the hop names the endpoint" \
  Libraries/LibGateway/ActiveRequestNotices.cpp 's/if \(!endpoint\)/if (true)/' \
  "$PROCESS" "Leaving: what an endpoint states in a forwarded*"
mutate "cut off daemons: the hop counts as a run" \
  Libraries/LibGateway/ActiveRequest.cpp 's/\n  \+\+m_possible_runs;/\n  m_possible_runs += m_attempt->m_forwarded_to ? 0 : 1;/' \
  "$PROCESS" "Cut off: a request whose other daemon is killed*"
mutate "cut off daemons: fields of the hop reach nobody else" \
  Libraries/LibGateway/ForwardedHeaders.cpp 's/ \&\& !IsForwardingField\(name\)//' \
  "$UNIT" "What daemons state on the hop*"
mutate "stop: requests that wait are answered" \
  Libraries/LibGateway/Gateway.cpp 's/raw->OnStopping\(\);/static_cast<void>(raw);/' \
  "$PROCESS" "Stop: requests that wait for a slot*"
mutate "stop: requests that are being received are answered" \
  Daemon/GatewayDaemon.cpp 's/if \(now >= stop.WaitsUntil\(\)\)/if (false)/' \
  "$PROCESS" "Stop: a request that is still being received*"
mutate "stop: a daemon that forwarded a request tries another" \
  Libraries/LibGateway/ActiveRequestEnd.cpp 's/ForwardedOutcome::TryAnother/ForwardedOutcome::NotRun/' \
  "$PROCESS" "Stop: a request that was forwarded*"
mutate "stop: a slow caller gets the whole response" \
  Libraries/LibRelay/RelayConnection.cpp 's/unsent > 0 \? std::max/false ? std::max/' \
  "$PROCESS" "Stop: a slow caller*"
mutate "era: a later era is noticed" \
  platform/StoreClient.cpp 's/m_observers.m_on_went_back\(\*aEra\);//' \
  "$PROCESS" "Store gone back: all daemons learn*"
mutate "era: followers learn it from heartbeats" \
  Libraries/LibCluster/AnnouncedPositions.cpp 's/m_highest_era = aPositions.m_era;\s+return Meaning::StoreMayHaveGoneBack;/return Meaning::Ignored;/' \
  "$UNIT" "Offsets are compared within their era only*"
mutate "era: daemons that state none show it by smaller offsets" \
  Libraries/LibCluster/AnnouncedPositions.cpp 's/HasGoneBack\(aSender, aPositions\) \?/false ?/' \
  "$UNIT" "The offsets of a daemon that tells no era show*"
mutate "era: what was announced of an earlier one is ignored" \
  Libraries/LibCluster/AnnouncedPositions.cpp 's/if \(!is_news\)/if (false)/' \
  "$UNIT" "Offsets are compared within their era only*"
mutate "era: what a daemon wrote is written again" \
  platform/PlatformAdapter.cpp 's/  \} else \{\s+Announce\(\);/  } else {/' \
  "$PROCESS" "Store gone back: daemons write again*"
mutate "era: an endpoint that has left stays out" \
  Libraries/LibRegistry/EndpointRegistry.cpp 's/return !has_returned;/return false;/' \
  "$UNIT" "Store gone back: an endpoint that has said*"
mutate "era: registrations that are lost may be renewed" \
  Libraries/LibRegistry/EndpointRegistry.cpp 's/m_reachable_since = aNow;\s+m_unlisted/m_unlisted/' \
  "$UNIT" "Store gone back: registrations that it has lost*"
mutate "endless responses: the incomplete event is bounded" \
  Libraries/LibGateway/EventSplitter.cpp 's/m_incomplete_event.size\(\) > kMaxEventBytes/false/' \
  "$UNIT" "An event without an end*"
mutate "endless responses: the pages of a snapshot are bounded" \
  platform/KeyedTopicConsumer.cpp 's/m_page_bytes <= kMaxSnapshotBytes/true/' \
  "$PROCESS" "Bytes without end: the pages of a snapshot*"
mutate "endless requests: the bodies of all callers are bounded" \
  Libraries/LibRelay/MemoryBudget.cpp 's/while \(m_total > m_limit\)/while (false)/' \
  "$PROCESS" "Bytes without end: the bodies of all requests*"
mutate "memory: complete requests keep theirs" \
  Libraries/LibRelay/MemoryBudget.cpp 's/holder->m_reclaimable_since \&\& holder->m_total/holder->m_total/' \
  "$UNIT" "Memory budget: complete requests*"
mutate "memory: the slowest and largest go first" \
  Libraries/LibRelay/MemoryBudget.cpp 's/seconds \* static_cast<double>\(m_total\)/seconds/' \
  "$UNIT" "Memory budget: the slowest and largest*"
mutate "memory: a holder is asked once" \
  Libraries/LibRelay/MemoryBudget.cpp 's/holder->m_reclaimable_since = std::nullopt;\s+\/\/ A copy/if (m_reclaimed > 1000) return;\n    \/\/ A copy/' \
  "$UNIT" "Memory budget: a holder that frees nothing*"
mutate "memory: heads are counted" \
  Libraries/LibRelay/RelayConnection.cpp 's/MemoryAccount::Heads, m_parser.HeadMemoryBytes\(\)/MemoryAccount::Heads, 0/' \
  "$PROCESS" "Hostile callers: heads of as many short fields as the limit allows\\, without a body"
mutate "memory: no next request while responses are unread" \
  Libraries/LibRelay/RelayConnection.cpp 's/ \&\& UnsentBytes\(\) <= kMaxUnsentBeforeNextRequest//' \
  "$PROCESS" "Hostile callers: served requests sent ahead*"
mutate "memory: links begin with a message" \
  Libraries/LibCluster/PendingLinks.cpp 's/m_connections.size\(\) >= m_limits.m_max_count/false/' \
  "$PROCESS" "Hostile callers: a crowd at the peers*"
mutate "early refusals: the head decides" \
  Daemon/GatewayDaemon.cpp 's/return m_gateway.CheckHead\(aHead\);/static_cast<void>(aHead); return RelayServer::Handler();/' \
  "$PROCESS" "Early refusals: a head decides*"
mutate "early refusals: they are not lost" \
  Libraries/LibRelay/RelayConnection.cpp 's/std::max\(kMaxDiscardedBytes, m_server.m_limits.m_max_body_bytes\)/kMaxDiscardedBytes/' \
  "$PROCESS" "Early refusals: a caller that writes*"
mutate "slow readers: one that reads nothing is given up" \
  Libraries/LibRelay/RelayConnection.cpp 's/ \|\| is_unread\)/)/' \
  "$PROCESS" "Slow readers: a caller that reads nothing*"
mutate "slow readers: one that reads is not" \
  Libraries/LibRelay/RelayConnection.cpp 's/if \(is_peer_reading\) \{\s+m_taken_at = aNow;/if (is_peer_reading) {/' \
  "$PROCESS" "Slow readers: a caller that reads slowly*"
mutate "slow readers: unsent bytes may grow" \
  Libraries/LibRelay/RelayConnection.cpp 's/return m_written_bytes - std::min\(m_written_bytes, left\)/return (std::uint64_t(1) << 62) - left/' \
  "$PROCESS" "Slow readers: a caller that reads slowly*"
mutate "connections: the share of an address" \
  Libraries/LibRelay/ConnectionRoom.cpp 's/std::pair\(counts\[connection.m_peer\]/std::pair(counts.size()/' \
  "$UNIT" "Connection room: the address*"
mutate "stop: a response that the stop cuts looks incomplete" \
  Libraries/LibGateway/ActiveRequestEnd.cpp 's/return aStop.EndsAt\(\);/return TimePoint::max();/' \
  "$PROCESS" "Stop: a response that the stop cuts*"
mutate "queue: an id waits once" Libraries/LibPlacement/SlotQueue.cpp \
  's/\n  Remove\(request.m_request_id\);//' "$UNIT" "A request that is enqueued again*"
mutate "overload: no request is refused beside a free slot" Libraries/LibPlacement/SlotScheduler.cpp \
  's/  PutBack\(GrantSlots\(aNow, decisions\), aNow, decisions\);\n//' \
  "$UNIT" "Overloaded by callers*"

mutate "forwarded records: those that have been applied are not applied again" \
  Libraries/LibCluster/ForwardedRecordBuffer.cpp 's/record_offset < aNext \|\| //' \
  "$UNIT" "Forwarded records: those that follow*"
mutate "forwarded records: none is applied past a gap" \
  Libraries/LibCluster/ForwardedRecordBuffer.cpp 's/at->first == aNext \+ taken.size\(\) && //' \
  "$UNIT" "Forwarded records: those that follow*"
mutate "forwarded records: what a read brings once more is not applied again" \
  Libraries/LibCluster/ForwardedRecordBuffer.cpp 's/std::min<std::uint64_t>\(aNext - aFrom, aRecords.size\(\)\)/std::uint64_t(0) * aFrom * aNext/' \
  "$UNIT" "Forwarded records: reads and datagrams*"
mutate "forwarded records: a gap is bounded in records" \
  Libraries/LibCluster/ForwardedRecordBuffer.cpp 's/m_records.size\(\) >= m_limits.m_max_records \|\|//' \
  "$UNIT" "Forwarded records: what is kept ahead*"
mutate "forwarded records: an offset does not wrap around" \
  Libraries/LibCluster/RecordsMessage.cpp 's/if \(records.size\(\) > std::numeric_limits<std::uint64_t>::max\(\) - message.m_first_offset\)/if (false)/' \
  "$UNIT" "Forwarded records: malformed*"
mutate "forwarded records: the datagrams of a backlog are bounded" \
  Libraries/LibCluster/RecordsMessage.cpp 's/datagrams.size\(\) == kMaxRecordsDatagrams/false/' \
  "$UNIT" "Forwarded records: a long backlog*"
mutate "forwarded records: what follows is applied without a call" \
  platform/KeyedTopicConsumer.cpp 's/record.m_offset = m_next_offset\+\+;/record.m_offset = 0; return;/' \
  "$PROCESS" "Forwarded records: followers follow*"
mutate "forwarded records: the store is read if they do not arrive" \
  platform/KeyedTopicConsumer.cpp 's/\*since \+ m_timing.m_forwarding_grace - m_loop.Now\(\)/Duration(Milliseconds(100'"'"'000))/' \
  "$PROCESS" "Forwarded records: followers read what*"
mutate "check of a configuration: a host with a port never matches" \
  Libraries/LibCheck/ConfigurationRules.cpp 's/absl::StrContains\(host, ':'\) \|\| //' \
  "$UNIT" "Check: *contradiction*"
mutate "check of a configuration: a prefix without a slash at its end never matches" \
  Libraries/LibCheck/ConfigurationRules.cpp 's/ \|\| !absl::EndsWith\(prefix, "\/"\)//' \
  "$UNIT" "Check: *contradiction*"
mutate "check of a configuration: hosts are compared without their case" \
  Libraries/LibCheck/ConfigurationRules.cpp 's/absl::AsciiStrToLower\(route.m_host\)/route.m_host/' \
  "$UNIT" "Check: *contradiction*"
mutate "check of a configuration: a service without weight gets nothing" \
  Libraries/LibCheck/ConfigurationRules.cpp 's/if \(shares\[j\].m_weight == 0\)/if (false)/' \
  "$UNIT" "Check: *contradiction*"
mutate "check of a configuration: a key of two workspaces" \
  Libraries/LibCheck/ConfigurationRules.cpp 's/if \(holder != i\)/if (false)/' \
  "$UNIT" "Check: *contradiction*"
mutate "check of a configuration: a configuration that admits everyone" \
  Libraries/LibCheck/ConfigurationRules.cpp 's/needs_keys \&\& !aTable.HasWorkspaces\(\)/false \&\& needs_keys/' \
  "$UNIT" "Check: *contradiction*"
mutate "check of a configuration: an objective may equal the timeout" \
  Libraries/LibCheck/ConfigurationRules.cpp 's/route.m_objective > route.m_timeout/route.m_objective >= route.m_timeout/' \
  "$UNIT" "Check: *contradiction*"
mutate "check of a configuration: a quota of requests counts one for each" \
  Libraries/LibCheck/ConfigurationRules.cpp 's/aWorkspace.m_counts_tokens \? aWorkspace.m_default_tokens : 1/aWorkspace.m_default_tokens/' \
  "$UNIT" "Check: *contradiction*"
mutate "check of a configuration: the memory bounds one body" \
  Libraries/LibCheck/ConfigurationRules.cpp 's/if \(body > budget\)/if (false)/' \
  "$UNIT" "Check: *over a host*"
mutate "check of a configuration: a version that is in force is ignored" \
  Libraries/LibCheck/ConfigurationChanges.cpp 's/after <= before/after < before/' \
  "$UNIT" "Check: *takes from callers*"
mutate "check of a configuration: shares in other numbers do not move a route" \
  Libraries/LibCheck/ConfigurationChanges.cpp 's/weight \/= divisor;/weight \/= 1;/' \
  "$UNIT" "Check: *takes from callers*"
mutate "check of a configuration: a new route may take requests" \
  Libraries/LibCheck/ConfigurationChanges.cpp 's/for \(const RoutingTable\* table : \{ \&aBefore, \&aAfter \}\)/for (const RoutingTable* table : { \&aBefore })/' \
  "$UNIT" "Check: *takes from callers*"
mutate "check of a configuration: a lost key" \
  Libraries/LibCheck/ConfigurationChanges.cpp 's/holders_after.contains\(digest\) \? 0 : 1/0/' \
  "$UNIT" "Check: *takes from callers*"
mutate "check of a configuration: a rate of 0 is no limit" \
  Libraries/LibCheck/ConfigurationChanges.cpp 's/const bool is_unlimited = aZeroIsUnlimited/const bool is_unlimited = false/' \
  "$UNIT" "Check: *takes from callers*"
mutate "check of a configuration: an opened route" \
  Libraries/LibCheck/ConfigurationChanges.cpp 's/if \(path.m_after != nullptr \&\& !NeedsKey/if (false \&\& !NeedsKey/' \
  "$UNIT" "Check: *lose or get access*"
mutate "check of a configuration: keys are not printed" \
  platform/ConfigurationSource.cpp 's/return false;\n  \}\n  return std::none_of/return false;\n  }\n  return !std::none_of/' \
  "$UNIT" "Check: *secret*"
mutate "check of a configuration: a fraction of a rate is misread" \
  platform/ConfigurationDecoder.cpp 's/ \|\| \(number > 0 \&\& number < 1\)//' \
  "$UNIT" "Check: *otherwise*"
mutate "check of a configuration: colliding addresses" \
  Libraries/LibCheck/SettingsRules.cpp 's/left->first == right->first \|\| left->first == kAnyAddress \|\| right->first == kAnyAddress/left->first == right->first/' \
  "$UNIT" "Check: *settings of a gateway*"
mutate "check of a configuration: a check that could not look has an exit status of its own" \
  Command/Commands.cpp 's/return Fail\(result.status\(\), ExitCode::CouldNotLook\)/return Fail(result.status(), ExitCode::Refused)/' \
  "$PROCESS" "The command checks a configuration*"

mutate "order under contention: a kind has one floor over all workspaces" \
  Libraries/LibPlacement/ServedShares.cpp \
  's/if \(m_floors == Floors::Priorities\)/if (true)/' \
  "$UNIT" "Served shares: a kind that other workspaces*"
mutate "order under contention: no workspace priority is starved" \
  Libraries/LibPlacement/ServedShares.cpp \
  's/ \|\|\n         is_below\(m_workspaces[^;]*//' \
  "$UNIT" "Served shares: a kind, or all kinds*"
mutate "order under contention: late work follows more urgent kinds of the next workspace priority" \
  Libraries/LibPlacement/SlotQueue.cpp \
  's/return m_keeps_priorities_of_late_work \|\|/return true ||/' \
  "$UNIT" "Late work follows*"
mutate "order under contention: a wait counts only grants that a request can get" \
  Libraries/LibPlacement/GrantRates.cpp \
  's/priority >= aPriority \? granted : 0/granted/' \
  "$UNIT" "Grant rates*"
mutate "refusing: callers return after the overload" Libraries/LibPlacement/SlotQueue.cpp \
  's/kMillisecondsPerSecond \* std::log\(load\)/0/' \
  "$UNIT" "A refused caller returns*"
mutate "slots of short work are granted ahead" Libraries/LibPlacement/SlotEndpoint.cpp \
  's/std::max<std::size_t>\(own, 1\) \+ SlotsAhead\(\)/std::max<std::size_t>(own, 1)/' \
  "$UNIT" "An endpoint with short work*"
mutate "a lost packet does not change the coordinator" \
  Libraries/LibBroker/include/LibBroker/SlotBroker.h \
  's/m_acknowledgement_timeout\{ 450 \}/m_acknowledgement_timeout{ 150 }/' \
  "$PROCESS" "A link that waits*"
mutate "rollout: the target is withheld by daemons that do not decide" Libraries/LibBroker/ServiceRollout.cpp \
  's/m_verdict \|\| !m_is_decider \|\| !m_rollout\) \{\n    return false;/m_verdict || !m_is_decider || !m_rollout) {\n    return true;/' \
  "$UNIT" "Rollout director: *"
mutate "rollout: requests to the target are reserved before they are sent" \
  Libraries/LibBroker/ServiceRollout.cpp \
  's/m_rollout->Budget\(\).Sent\(\) >= m_reserved/false/' \
  "$UNIT" "Rollout director: without the store*"
mutate "rollout: an old state permits no requests to the target" Libraries/LibBroker/ServiceRollout.cpp \
  's/return aNow - m_saved_at <= m_limits.m_max_state_age;/return aNow >= m_saved_at;/' \
  "$UNIT" "Rollout director: an unused reservation*"
mutate "rollout: a request that failed at the target is retried elsewhere" \
  Libraries/LibBroker/ServiceRollout.cpp 's/return !has_failed_there \&\& /return (!has_failed_there || true) \&\& /' \
  "$UNIT" "Rollout director: *"
mutate "rollout: a version is completed only when no request runs at others" \
  Libraries/LibRollout/Rollout.cpp 's/aEndpoints.m_running_at_others == 0 \&\&/true \&\&/' \
  "$UNIT" "Rollout*"
mutate "rollout: slow hosts are no fault of a version" Libraries/LibRollout/SlowEndpoints.cpp \
  's/return aIsSlow \&\& [^;]*;/return aIsSlow \&\& least > 0;/' \
  "$UNIT" "Rollouts: the slowness of some endpoints*"
mutate "rollout: the target is preferred while it is tested" \
  Libraries/LibPlacement/SlotSchedulerExposure.cpp \
  's/return m_exposure->Prefers\(aEndpoint.Info\(\)\) \&\& [^;]*;/return false \&\& may_serve(aEndpoint);/' \
  "$UNIT" "Rollout director: a bad version*"
mutate "rollout: the target of a replaced or withdrawn order stays withheld" \
  Libraries/LibBroker/ServiceRollout.cpp 's/m_withheld.insert\(aVersion\);/static_cast<void>(aVersion);/' \
  "$UNIT" "Rollout director: a target that was not completed*"
mutate "rollout: a daemon that lets go does not become the decider" \
  Libraries/LibBroker/ServiceRolloutStore.cpp 's/if \(tenure == m_tenure\)/if (tenure <= m_tenure)/' \
  "$UNIT" "Rollout director: a daemon that stops*"
mutate "rollout: a successor keeps to the deadline of the order" \
  Libraries/LibBroker/ServiceRolloutStore.cpp 's/m_ordered_at = std::min\(m_ordered_at, now - known->m_elapsed\);//' \
  "$UNIT" "Rollout director: a successor that reads*"
mutate "rollout orders: those at the same offset are told apart" platform/RolloutOrderReader.cpp \
  's/Sha256Hex\(\*aRecord.m_value\).substr\(0, kDigestDigits\)/kDigestDigits/' \
  "$UNIT" "Rollout orders: orders of the same content*"
mutate "rollout orders: those of the same content are told apart" platform/RolloutOrderReader.cpp \
  's/\*aRecord.m_offset, "-"/"-"/' "$UNIT" "Rollout orders: orders of the same content*"
mutate "rollout orders: one that is not in the snapshot is withdrawn" \
  platform/RolloutOrderReader.cpp 's/if \(!went_back\)/if (went_back \&\& !went_back)/' \
  "$UNIT" "Rollout orders: a withdrawal*"
mutate "rollout orders: one that the store has lost stays" platform/RolloutOrderReader.cpp \
  's/if \(!went_back\)/if (went_back || !went_back)/' \
  "$UNIT" "Rollout orders: a store that goes back*"
mutate "rollout orders: one that has ended is not revived" platform/RolloutOrderReader.cpp \
  's/aIsAfterGoingBack && has_ended/aIsAfterGoingBack \&\& has_ended \&\& aRecord.m_key.empty()/' \
  "$UNIT" "Rollout orders: a store that goes back*"
mutate "rollout store: a decider that was replaced writes nothing" \
  platform/RolloutRecordStore.cpp 's/written.m_is_outdated = true;/written.m_is_outdated = false;/' \
  "$UNIT" "Rollout store: after another decider*"
mutate "rollout store: nothing is written at offsets of another era" \
  platform/RolloutRecordStore.cpp 's/entry.m_is_outdated = true;/entry.m_is_outdated = false;/' \
  "$UNIT" "Rollout store: after the store has gone back*"
mutate "rollout store: a write of another era is not confirmed" \
  platform/RolloutRecordStore.cpp 's/written.m_is_outdated \? absl/false ? absl/' \
  "$UNIT" "Rollout store: a save during which*"
mutate "rollout store: a status is written once" platform/RolloutRecordStore.cpp \
  's/column.m_value == aRecord.m_value/!aRecord.m_value/' "$UNIT" "Rollout store: a status is written once*"

mutate "rollout: a verdict that the store has lost is written again" Libraries/LibBroker/ServiceRolloutStore.cpp \
  's/m_must_check_verdict = m_verdict.has_value\(\);\s+m_is_published = false;//' \
  "$PROCESS" "Rollouts: a verdict that the store has lost*"

printf '%d noticed, %d missed\n' "$noticed" "$missed"
[ "$missed" -eq 0 ]
