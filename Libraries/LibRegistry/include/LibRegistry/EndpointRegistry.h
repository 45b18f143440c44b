#pragma once

#include <LibCore/StrongString.h>
#include <LibCore/Time.h>
#include <absl/container/flat_hash_map.h>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace auburnhitch {

/// Time within which the registration of an endpoint that has started is read here, if the store
/// can be reached; also the time after which an unreachable store is noticed.
constexpr Milliseconds kMaxRegistrationLag{ 4'000 };

/// Identifies an endpoint's registration. An endpoint that restarts may keep its id.
using EndpointId = StrongString<struct EndpointIdTag>;

/// The version of an endpoint's software. Versions have no order: two are equal or differ.
using SoftwareVersion = StrongString<struct SoftwareVersionTag>;

/// One run of an endpoint's process.
struct EndpointIncarnation
{
  EndpointId m_id;
  /// Unix time of its start in milliseconds; distinguishes two incarnations with the same id.
  std::int64_t m_started_at_ms = 0;

  auto operator<=>(const EndpointIncarnation&) const = default;
};

/// An endpoint, as its registration describes it.
struct EndpointEntry
{
  EndpointId m_id;
  ServiceName m_service;
  SocketAddress m_address;
  DataCenterName m_data_center;
  /// Concurrency limit: requests that it works on at once.
  int m_slots = 1;
  bool m_is_draining = false;
  SoftwareVersion m_software_version;
  /// See EndpointIncarnation.
  std::int64_t m_started_at_ms = 0;

  EndpointIncarnation Run() const { return { m_id, m_started_at_ms }; }

  auto operator<=>(const EndpointEntry&) const = default;
};

/// A change of the registry's state.
struct RegistryChange
{
  enum class Type
  {
    Added,
    Restarted,
    Changed,
    Draining,
    Removed,
    /// The registration lapsed during a store outage or just after it and may be renewed.
    Lapsed,
  };

  Type m_type = Type::Added;
  EndpointEntry m_entry;
};

const char*
NameOf(RegistryChange::Type aType);

/// The endpoints that exist and may receive work, built from registration records in order.
/// Registrations that lapse while the store is unreachable are kept for a while after it is
/// reachable again, since their endpoints then renew them. Pure: owns no clock. Not thread-safe.
class EndpointRegistry
{
public:
  struct Limits
  {
    /// How long after the store is reachable again a lapsed registration may still be renewed.
    Milliseconds m_renewal_window{ 2'200 };
    /// How long an endpoint may still receive work when its registration is removed within the
    /// renewal window after an outage: the removal may be a lapse, or the endpoint may have shut
    /// down. Another outage does not prolong it.
    Milliseconds m_removal_grace{ 1'500 };
    /// How long it is remembered that an endpoint has left; longer than the store goes back.
    Milliseconds m_departure_memory{ 60'000 };
  };

  explicit EndpointRegistry(Limits aLimits)
    : m_limits(aLimits)
  {
  }

  using Changes = std::vector<RegistryChange>;

  /// Applies a registration or its renewal.
  Changes AddOrRenew(const EndpointEntry& aEntry);
  /// Applies the removal of a registration. aKnownAt: since when it has been known that there is a
  /// record of it, from which its time bounds run; it may be read later.
  Changes Remove(const EndpointId& aId, TimePoint aKnownAt, TimePoint aNow);
  /// Replaces all registrations by the complete list aEntries.
  Changes Replace(const std::vector<EndpointEntry>& aEntries, TimePoint aNow);
  /// Removes the lapsed registrations that were not renewed in time.
  Changes Expire(TimePoint aNow);

  /// Records whether the store can be read.
  void SetStoreReachable(bool aIsReachable, TimePoint aNow);
  /// Records that the store has lost what it had acknowledged lately. Registrations that it does
  /// not list any more may be renewed as after an outage, and endpoints that are known to have left
  /// do not return because it lists them again.
  void OnStoreWentBack(TimePoint aNow);
  /// Records that all registrations have been read once.
  void MarkLoaded() { m_is_loaded = true; }

  /// The entry of an endpoint if it may receive new work.
  std::optional<EndpointEntry> FindUsable(const EndpointId& aId) const;
  std::vector<EndpointEntry> UsableEndpoints(const ServiceName& aService) const;
  /// Increases with each change of the endpoints that may be used.
  std::uint64_t Version() const { return m_version; }
  std::size_t Size() const { return m_entries.size(); }
  bool IsLoaded() const { return m_is_loaded; }

private:
  struct Lapse
  {
    TimePoint m_known_at;
    /// Whether the store could be read then, so that the removal is not of the outage.
    bool m_is_after_outage = false;
  };

  struct Registration
  {
    EndpointEntry m_entry;
    /// Set while the registration has lapsed and may still be renewed.
    std::optional<Lapse> m_lapse;
  };

  enum class Source
  {
    Snapshot,
    /// A record that was written after the snapshot.
    Record,
  };

  /// An endpoint that has left.
  struct Departure
  {
    std::int64_t m_started_at_ms = 0;
    /// Whether its last registration said that it leaves. It is final then.
    bool m_was_draining = false;
    TimePoint m_known_at;
  };

  Changes Apply(const EndpointEntry& aEntry, Source aSource);
  /// Whether a registration is older than the departure of its endpoint. Forgets the departure if
  /// the endpoint has returned.
  bool IsFromBeforeDeparture(const EndpointEntry& aEntry, Source aSource);
  void RemoveForGood(std::map<EndpointId, Registration>::iterator aEntry,
                     TimePoint aNow,
                     Changes& aChanges);
  /// Whether the store is unreachable, or was until at most m_renewal_window ago.
  bool IsDuringOrJustAfterOutage(TimePoint aNow) const;
  /// When a lapsed registration is removed unless it has been renewed; nothing as long as the store
  /// is unreachable in whose outage it lapsed.
  std::optional<TimePoint> RemovalTime(const Lapse& aLapse) const;
  void RecordLapse(Registration& aRegistration, TimePoint aKnownAt, Changes& aChanges);

  Limits m_limits;
  std::map<EndpointId, Registration> m_entries;
  std::map<EndpointId, Departure> m_departures;
  /// Departures that the store may have lost.
  std::map<EndpointId, Departure> m_unlisted_departures;
  bool m_is_loaded = false;
  bool m_is_reachable = true;
  std::optional<TimePoint> m_reachable_since;
  std::uint64_t m_version = 0;
};

}
