#pragma once

#include <LibCore/Time.h>
#include <LibHttp/HttpMessage.h>
#include <LibLedger/RequestIdentity.h>
#include <absl/container/flat_hash_map.h>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace auburnhitch {

/// The final word on a request.
enum class Outcome
{
  /// The whole answer was received.
  Done,
  /// Nothing was sent to an endpoint and nothing will be, or the endpoint refused it unstarted.
  NotRun,
  /// It may have run.
  Unknown,
};

/// "done", "not-run" or "unknown".
const char*
NameOf(Outcome aOutcome);

/// An answer kept for a late or repeated question.
struct CachedResponse
{
  int m_status = 0;
  HttpHeaders m_headers;
  std::string m_body;

  auto operator<=>(const CachedResponse&) const = default;
};

using CachedResponsePtr = std::shared_ptr<const CachedResponse>;

enum class RequestState
{
  /// Not sent to any endpoint.
  Waiting,
  /// Sent, or about to be: it is never sent again.
  Sent,
  Done,
  NotRun,
  Unknown,
};

/// What the ledger holds of one request.
struct LedgerEntry
{
  RequestState m_state = RequestState::Waiting;
  std::string m_digest;
  /// The endpoint to which it was sent.
  HostName m_endpoint;
  /// Null while there is none, and after it was dropped to save memory.
  CachedResponsePtr m_cached_response;
  /// Why it ended as NotRun or Unknown.
  std::string m_code;
};

/// How an identity stands with this daemon.
enum class IdentityStatus
{
  Valid,
  /// Issued here, in a period whose entries were dropped.
  Expired,
  /// Names a period that has not begun.
  NeverIssued,
  IssuedElsewhere,
};

struct LedgerLimits
{
  Milliseconds m_period{ 60'000 };
  /// Periods that are kept besides the present one.
  std::int64_t m_kept_periods = 3;
  std::size_t m_max_cached_response_bytes = 64 << 20;

  auto operator<=>(const LedgerLimits&) const = default;
};

/// Decides, alone for all identities that this incarnation issued, whether a request may be sent.
/// This is what makes a request run at most once: nobody else may ever dispatch these identities,
/// and TryMarkSent() says yes at most once for each. Not thread-safe.
class Ledger
{
public:
  Ledger(Incarnation aIncarnation, TimePoint aStart, const LedgerLimits& aLimits);

  const Incarnation& OwnIncarnation() const { return m_incarnation; }
  /// The permit for requests that begin now.
  Permit CurrentPermit(TimePoint aNow) const;
  IdentityStatus Check(const RequestIdentity& aIdentity, TimePoint aNow) const;

  /// Enters a request, or finds the one entered before. Precondition: Check() says Valid.
  /// The flag tells whether it is new. The pointer stays valid until DropExpired().
  std::pair<LedgerEntry*, bool> Begin(const RequestKey& aKey, const std::string& aDigest);
  LedgerEntry* Find(const RequestKey& aKey);

  /// The one gate before an endpoint: true once for each request, and only while its identity has
  /// not expired. The request counts as sent from then on.
  bool TryMarkSent(const RequestKey& aKey, const HostName& aEndpoint, TimePoint aNow);

  /// Takes a request back that provably never left.
  /// Precondition: not one byte of it was written.
  void MarkUnsent(const RequestKey& aKey);

  /// Closes a waiting request for good; false if it has been sent or is closed.
  bool TryCloseUnsent(const RequestKey& aKey, const std::string& aCode);
  /// Closes a sent request. An answer is kept within the memory limit.
  void Close(const RequestKey& aKey,
             Outcome aOutcome,
             const std::string& aCode,
             CachedResponsePtr aResponse);

  /// Drops whole periods that are past.
  void DropExpired(TimePoint aNow);

  std::size_t Size() const;
  std::size_t CachedResponseBytes() const { return m_cached_response_bytes; }

private:
  GrantPeriod PeriodAt(TimePoint aNow) const;
  void CacheResponse(const RequestKey& aKey, LedgerEntry& aEntry, CachedResponsePtr aResponse);

  Incarnation m_incarnation;
  TimePoint m_start;
  LedgerLimits m_limits;
  std::map<GrantPeriod, absl::flat_hash_map<RequestKey, std::unique_ptr<LedgerEntry>>> m_periods;
  std::deque<RequestKey> m_cache_order;
  std::size_t m_cached_response_bytes = 0;
};

}
