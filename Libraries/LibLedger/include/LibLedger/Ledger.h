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

/// The final outcome of a request.
enum class Outcome
{
  /// The complete response was received.
  Done,
  /// It was not sent to an endpoint and never will be, or the endpoint refused it before starting.
  NotRun,
  /// It may or may not have run.
  Unknown,
};

/// "done", "not-run" or "unknown".
const char*
NameOf(Outcome aOutcome);

/// A response that is cached for callers that request it late or retry the request.
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
  /// Sent, or about to be sent: it is not sent again unless MarkUnsent() resets it.
  Sent,
  Done,
  NotRun,
  Unknown,
};

/// The ledger's record of one request.
struct LedgerEntry
{
  RequestState m_state = RequestState::Waiting;
  std::string m_digest;
  /// The endpoint to which the request was sent.
  HostName m_endpoint;
  /// Null before there is a response, and after it was evicted to save memory.
  CachedResponsePtr m_cached_response;
  /// Error code of a request that ended as NotRun or Unknown.
  std::string m_code;
};

/// Whether this daemon may act on an identity.
enum class IdentityStatus
{
  Valid,
  /// Issued by this incarnation, in a period that is no longer retained.
  Expired,
  /// Its period has not begun.
  NeverIssued,
  /// Issued by another daemon or another incarnation.
  IssuedElsewhere,
};

struct LedgerLimits
{
  Milliseconds m_period{ 60'000 };
  /// Past periods that are retained, in addition to the current one.
  std::int64_t m_kept_periods = 3;
  std::size_t m_max_cached_response_bytes = 64 << 20;

  auto operator<=>(const LedgerLimits&) const = default;
};

/// Decides whether a request may be sent, for all identities that this incarnation issued. It
/// guarantees that a request runs at most once: no other daemon or incarnation may dispatch these
/// identities, and TryMarkSent() succeeds at most once for each, unless MarkUnsent() shows that the
/// request was never written. Not thread-safe.
class Ledger
{
public:
  Ledger(Incarnation aIncarnation, TimePoint aStart, const LedgerLimits& aLimits);

  const Incarnation& OwnIncarnation() const { return m_incarnation; }
  /// The permit of the current period, for requests that begin now.
  Permit CurrentPermit(TimePoint aNow) const;
  IdentityStatus Check(const RequestIdentity& aIdentity, TimePoint aNow) const;

  /// Adds a request, or finds its existing entry. The flag is true if the entry is new. The pointer
  /// stays valid until DropExpired(). Precondition: Check() returns Valid.
  std::pair<LedgerEntry*, bool> Begin(const RequestKey& aKey, const std::string& aDigest);
  LedgerEntry* Find(const RequestKey& aKey);

  /// Must succeed before a request is sent to an endpoint. Returns true once for each request, and
  /// only while its identity has not expired. The request counts as sent from then on.
  bool TryMarkSent(const RequestKey& aKey, const HostName& aEndpoint, TimePoint aNow);

  /// Resets a sent request to waiting.
  /// Precondition: not one byte of it was written to the endpoint.
  void MarkUnsent(const RequestKey& aKey);

  /// Closes a waiting request as NotRun, so that it can never be sent. Returns false if it has been
  /// sent or closed already.
  bool TryCloseUnsent(const RequestKey& aKey, const std::string& aCode);
  /// Closes a sent request. Its response, if any, is cached; the oldest cached responses are
  /// evicted when the memory limit is exceeded.
  void Close(const RequestKey& aKey,
             Outcome aOutcome,
             const std::string& aCode,
             CachedResponsePtr aResponse);

  /// Drops the entries of all periods that are no longer retained.
  void DropExpired(TimePoint aNow);

  /// Number of entries in all retained periods.
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
