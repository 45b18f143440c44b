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
  /// The key is bound to an identity: the caller's own or that of an earlier claim.
  Bound,
  /// Records that could hold an earlier claim are gone.
  KeyExpired,
  /// The key names an offset that the log has not reached.
  KeyFromFuture,
  /// The log did not tell in time. Whether the claim stands is not known.
  LogUnavailable,
};

struct ClaimResult
{
  ClaimVerdict m_verdict = ClaimVerdict::LogUnavailable;
  /// Set when bound.
  std::optional<RequestIdentity> m_identity;

  auto operator<=>(const ClaimResult&) const = default;
};

/// Binds idempotency keys to identities through the log: the first claim by offset wins, and every
/// daemon reads the same order. A claim counts only once it has been read back; an append whose
/// answer was lost settles nothing. Claims that come together share one record.
/// Not thread-safe.
class Claimer
{
public:
  using Handler = std::function<void(const ClaimResult&)>;

  /// Precondition: loop and log outlive the claimer.
  Claimer(EventLoop& aLoop, LogService& aLog);

  /// Claims a key for an identity. The handler runs once, at the latest after the settle timeout.
  void Bind(const Claim& aClaim, Handler aHandler);

  /// The next offset of the claim stream, for keys that are made now.
  LogOffset Position() const { return m_table.Position(); }
  const ClaimTable& Table() const { return m_table; }

private:
  struct Pending
  {
    Claim m_claim;
    Handler m_handler;
    TimePoint m_deadline;
    TimePoint m_append_retry_at;
    /// Where its record stands, once an append was answered.
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
  /// Runs only while claims wait.
  std::unique_ptr<Timer> m_tick;
};

}
