#pragma once

#include <LibCore/Time.h>
#include <LibRegistry/EndpointRegistry.h>
#include <functional>
#include <map>
#include <vector>

namespace auburnhitch {

/// The incarnations of endpoints that have said that they leave. A statement holds for the rest of
/// an incarnation, whatever its registration says: the registration may be late, lapse and return,
/// or come from an older copy of the store. Owns no clock. Not thread-safe.
class LeavingEndpoints
{
public:
  struct Limits
  {
    /// How long an incarnation is remembered that is not registered any more. An older copy of the
    /// store, in which it is still registered, is seconds old.
    Milliseconds m_retention{ 60'000 };
    /// A release of all endpoints of the largest deployment fits.
    std::size_t m_max_entries = 20'000;
  };

  explicit LeavingEndpoints(Limits aLimits)
    : m_limits(aLimits)
  {
  }

  /// Returns whether the statement is new.
  bool Record(const ServiceName& aService, const EndpointIncarnation& aEndpoint, TimePoint aNow);
  bool Contains(const EndpointIncarnation& aEndpoint) const
  {
    return m_entries.contains(aEndpoint);
  }
  /// The incarnations of a service's endpoints.
  std::vector<EndpointIncarnation> OfService(const ServiceName& aService) const;
  /// All incarnations with their services.
  std::vector<std::pair<ServiceName, EndpointIncarnation>> All() const;
  bool IsEmpty() const { return m_entries.empty(); }

  using RegistrationCheck =
    std::function<bool(const ServiceName& aService, const EndpointIncarnation& aEndpoint)>;

  /// Drops the incarnations that have not been registered for the retention. Call at intervals well
  /// below it.
  void DropExpired(const RegistrationCheck& aIsRegistered, TimePoint aNow);

private:
  struct Entry
  {
    ServiceName m_service;
    /// When it was heard, or known to be registered, last.
    TimePoint m_renewed_at;
  };

  void DropOldest();

  Limits m_limits;
  std::map<EndpointIncarnation, Entry> m_entries;
};

}
