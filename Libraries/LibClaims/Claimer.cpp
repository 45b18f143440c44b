#include <LibClaims/Claimer.h>

#include <LibCore/Log.h>

namespace auburnhitch {

namespace {

constexpr const char* kClaimStream = "claims";
/// Claims that arrive within this time share a record.
constexpr Milliseconds kGroupInterval{ 5 };
constexpr Milliseconds kSettleTimeout{ 2'500 };
constexpr Milliseconds kAppendAgainAfter{ 700 };
constexpr std::size_t kMaxClaimsPerRecord = 200;

}

Claimer::Claimer(EventLoop& aLoop, LogService& aLog)
  : m_loop(aLoop)
  , m_log(aLog)
  , m_tail(aLoop, aLog, kClaimStream, 0, [this](const LogBatch& aBatch) { OnBatch(aBatch); })
{
}

void
Claimer::ScheduleTick()
{
  if (m_tick != nullptr || m_pending.empty()) {
    return;
  }
  m_tick = std::make_unique<Timer>(m_loop, kGroupInterval, Timer::Repeat::Once, [this] {
    m_tick = nullptr;
    AppendPending();
    ResolvePending();
    ScheduleTick();
  });
}

void
Claimer::Bind(const Claim& aClaim, Handler aHandler)
{
  const TimePoint now = m_loop.Now();
  Pending pending{ aClaim, std::move(aHandler), now + kSettleTimeout, now, std::nullopt };
  if (const auto result = Decide(pending, now)) {
    pending.m_handler(*result);
    return;
  }
  if (!m_tail.IsConnected()) {
    pending.m_handler(ClaimResult{ ClaimVerdict::LogUnavailable, std::nullopt });
    return;
  }
  m_pending.push_back(std::move(pending));
  ScheduleTick();
}

std::optional<ClaimResult>
Claimer::Decide(const Pending& aPending, TimePoint aNow) const
{
  const Claim& claim = aPending.m_claim;
  if (!m_table.IsDecidable(claim.m_key)) {
    return ClaimResult{ ClaimVerdict::KeyExpired, std::nullopt };
  }
  if (auto winner = m_table.WinnerOf(claim.m_workspace, claim.m_key)) {
    return ClaimResult{ ClaimVerdict::Bound, std::move(winner) };
  }
  if (aPending.m_offset && m_table.Position() > *aPending.m_offset) {
    // The record was read and binds nothing.
    return ClaimResult{ ClaimVerdict::KeyFromFuture, std::nullopt };
  }
  if (aNow >= aPending.m_deadline) {
    return ClaimResult{ ClaimVerdict::LogUnavailable, std::nullopt };
  }
  return std::nullopt;
}

void
Claimer::OnBatch(const LogBatch& aBatch)
{
  m_table.SetFirstRetained(aBatch.m_first_retained);
  for (const LogRecord& record : aBatch.m_records) {
    Findings findings;
    m_table.Apply(record.m_offset, record.m_data, findings);
    if (!findings.IsEmpty()) {
      LogOf("claims").warn("Skips record {}: {}", record.m_offset, findings.Describe("record"));
    }
  }
  ResolvePending();
}

void
Claimer::AppendPending()
{
  const TimePoint now = m_loop.Now();
  ClaimRecord record;
  for (Pending& pending : m_pending) {
    if (now < pending.m_append_retry_at || pending.m_offset ||
        record.m_claims.size() >= kMaxClaimsPerRecord) {
      continue;
    }
    // A claim may be appended twice: the first one by offset counts, and both name one identity.
    pending.m_append_retry_at = now + kAppendAgainAfter;
    record.m_claims.push_back(pending.m_claim);
  }
  if (record.m_claims.empty()) {
    return;
  }
  m_log.Append(kClaimStream,
               record.ToText(),
               [this, claims = record.m_claims](const absl::StatusOr<std::int64_t>& aOffset) {
                 OnAppended(claims, aOffset);
               });
}

void
Claimer::OnAppended(const std::vector<Claim>& aClaims, const absl::StatusOr<std::int64_t>& aOffset)
{
  if (!aOffset.ok()) {
    LogOf("claims").warn("No answer to an append: {}.", std::string(aOffset.status().message()));
    return;
  }
  for (Pending& pending : m_pending) {
    for (const Claim& claim : aClaims) {
      if (pending.m_claim == claim) {
        pending.m_offset = *aOffset;
      }
    }
  }
  ResolvePending();
}

void
Claimer::ResolvePending()
{
  const TimePoint now = m_loop.Now();
  std::vector<std::pair<Handler, ClaimResult>> settled;
  for (auto pending = m_pending.begin(); pending != m_pending.end();) {
    if (auto result = Decide(*pending, now)) {
      settled.emplace_back(std::move(pending->m_handler), std::move(*result));
      pending = m_pending.erase(pending);
    } else {
      ++pending;
    }
  }
  for (const auto& [handler, result] : settled) {
    handler(result);
  }
}

}
