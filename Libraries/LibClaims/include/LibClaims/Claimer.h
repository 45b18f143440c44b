#pragma once

#include <LibClaims/ClaimTable.h>
#include <LibHttp/EventLoop.h>
#include <LibLogService/LogService.h>
#include <functional>
#include <list>
#include <memory>
#include <optional>

namespace auburnhitch {

enum class ClaimVerdict
{
  /// The key is bound to an identity: that of this claim or that of an earlier one.
  Bound,
  /// Records that could hold an earlier claim have expired or were missed.
  KeyExpired,
  /// The offset in the key is past the offset of its claim, so the claim is invalid.
  KeyFromFuture,
  /// The log did not respond in time. The claim may or may not be in the log.
  LogUnavailable,
};

struct ClaimResult
{
  ClaimVerdict m_verdict = ClaimVerdict::LogUnavailable;
  /// Set if the verdict is Bound.
  std::optional<RequestIdentity> m_identity;

  auto operator<=>(const ClaimResult&) const = default;
};

/// Binds idempotency keys to identities through the log: the first claim by offset wins, and every
/// daemon reads the claims in the same order. A claim is decided only after it has been read back,
/// because an append whose response was lost may or may not have succeeded. Claims that arrive
/// within a few milliseconds share one record. Not thread-safe.
class Claimer
{
public:
  using Handler = std::function<void(const ClaimResult&)>;

  /// Precondition: aLoop and aLog outlive the claimer.
  Claimer(EventLoop& aLoop, LogService& aLog);

  /// Claims a key for an identity. Calls the handler once, at the latest after the claim timeout;
  /// it may do so before it returns.
  void Bind(const Claim& aClaim, Handler aHandler);

  /// The next offset of the claim stream, for keys that are created now.
  LogOffset Position() const { return m_table.Position(); }
  const ClaimTable& Table() const { return m_table; }

private:
  struct Pending
  {
    Claim m_claim;
    Handler m_handler;
    TimePoint m_deadline;
    TimePoint m_append_retry_at;
    /// Offset of its record, once the log has acknowledged the append.
    std::optional<LogOffset> m_offset;
  };

  void OnBatch(const LogBatch& aBatch);
  void ScheduleTick();
  void AppendPending();
  void OnAppended(const std::vector<Claim>& aClaims, const absl::StatusOr<std::int64_t>& aOffset);
  void ResolvePending();
  std::optional<ClaimResult> Decide(const Pending& aPending, TimePoint aNow) const;

  EventLoop& m_loop;
  LogService& m_log;
  ClaimTable m_table;
  std::list<Pending> m_pending;
  LogTail m_tail;
  /// Runs only while claims are pending.
  std::unique_ptr<Timer> m_tick;
};

}
