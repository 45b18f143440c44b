#pragma once

#include <LibRegistry/EndpointRegistry.h>
#include <deque>

namespace auburnhitch {

/// The software versions that have served in each service. If only one has served for as long as a
/// stream can last, it is the version of every stream. Pure: owns no clock. Not thread-safe.
class VersionHistory
{
public:
  /// aRetention: how far back OnlyVersionSince() can be asked.
  explicit VersionHistory(Milliseconds aRetention)
    : m_retention(aRetention)
  {
  }

  /// Applies a change of the registry. Returns whether an endpoint has another software version now
  /// than it had under the same id before.
  bool Record(const RegistryChange& aChange, TimePoint aNow);
  /// Records that all registrations have been read once. Versions that served before are unknown.
  void MarkLoaded(TimePoint aNow) { m_loaded_at = m_loaded_at.value_or(aNow); }
  /// The version of all endpoints that have served in a service since a time; nothing if there were
  /// several, or if that is not known.
  std::optional<SoftwareVersion> OnlyVersionSince(const ServiceName& aService,
                                                  TimePoint aSince) const;

private:
  struct Served
  {
    ServiceName m_service;
    SoftwareVersion m_version;

    auto operator<=>(const Served&) const = default;
  };

  struct Usage
  {
    std::size_t m_endpoints = 0;
    /// When the last of the endpoints was removed or changed its version.
    TimePoint m_ended_at;
  };

  struct Endpoint
  {
    Served m_served;
    bool m_is_registered = true;
    TimePoint m_removed_at;
  };

  void End(Endpoint& aEndpoint, TimePoint aNow);
  void DropExpired(TimePoint aNow);

  Milliseconds m_retention;
  std::optional<TimePoint> m_loaded_at;
  std::map<Served, Usage> m_usage;
  std::map<EndpointId, Endpoint> m_endpoints;
  /// Removed endpoints, in the order of their removal.
  std::deque<std::pair<TimePoint, EndpointId>> m_removed;
};

}
