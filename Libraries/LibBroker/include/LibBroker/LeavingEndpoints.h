#pragma once

#include <LibCore/Time.h>
#include <LibRegistry/EndpointRegistry.h>
#include <functional>
#include <map>
#include <optional>
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
    std::size_t m_max_entries = 10'000;
    Milliseconds m_registration_lag = kMaxRegistrationLag;
    /// How long an incarnation is excluded that may have made a statement before its registration
    /// was read. An endpoint that leaves has ended by then.
    Milliseconds m_presumed_for{ 30'000 };
  };

  explicit LeavingEndpoints(Limits aLimits)
    : m_limits(aLimits)
  {
  }

  /// Records a statement. Returns whether it is new.
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

  /// Handles the registration of an incarnation. If an earlier one under the same id is known to
  /// leave, the statement may have been made by this one, before its registration was read: it is
  /// presumed to leave for a while. aReadableSince: since when the store could be reached. Returns
  /// whether it is presumed to leave.
  bool RecordRegistered(const ServiceName& aService,
                        const EndpointIncarnation& aEndpoint,
                        TimePoint aReadableSince,
                        TimePoint aNow);

  using RegistrationCheck =
    std::function<bool(const ServiceName& aService, const EndpointIncarnation& aEndpoint)>;

  /// Drops the incarnations that have not been registered for the retention, and ends presumptions.
  /// Returns whether it dropped any. Call at intervals well below the retention.
  bool DropExpired(const RegistrationCheck& aIsRegistered, TimePoint aNow);

private:
  struct Entry
  {
    ServiceName m_service;
    /// When it was heard last.
    TimePoint m_stated_at;
    /// When it was heard, or known to be registered, last.
    TimePoint m_renewed_at;
    /// Set while the statement may be that of an earlier incarnation.
    std::optional<TimePoint> m_presumed_until;
  };

  void DropOldest();

  Limits m_limits;
  std::map<EndpointIncarnation, Entry> m_entries;
};

}
