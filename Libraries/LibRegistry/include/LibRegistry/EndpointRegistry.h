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

/// One registration of an endpoint; an endpoint that starts anew may keep its id.
using EndpointId = StrongString<struct EndpointIdTag>;

/// What an endpoint says of itself.
struct EndpointEntry
{
  EndpointId m_id;
  ServiceName m_service;
  SocketAddress m_address;
  DataCenterName m_data_center;
  /// Requests that it works on at once.
  int m_slots = 1;
  bool m_is_draining = false;
  /// Unix time of its start in milliseconds; tells apart two lives under one id.
  std::int64_t m_started_at_ms = 0;

  auto operator<=>(const EndpointEntry&) const = default;
};

/// A change that the registry made to what this process believes.
struct RegistryChange
{
  enum class Type
  {
    Added,
    Restarted,
    Changed,
    Draining,
    Removed,
    /// The registration lapsed around an outage and may come back.
    Lapsed,
  };

  Type m_type = Type::Added;
  EndpointEntry m_entry;
};

const char*
NameOf(RegistryChange::Type aType);

/// Which endpoints exist and may get work, from registrations in order. Registrations that lapse
/// while the store is away are kept for a while after its return, since their endpoints renew them
/// then. Pure: owns no clock. Not thread-safe.
class EndpointRegistry
{
public:
  struct Limits
  {
    /// How long after the store's return a lapsed registration may be renewed.
    Milliseconds m_renewal_window{ 2'200 };
    /// How long after the word that a registration is gone its endpoint may get work, when that
    /// word came after the store's return: it may be a lapse, or the endpoint may have left.
    Milliseconds m_removal_grace{ 1'500 };
  };

  explicit EndpointRegistry(Limits aLimits)
    : m_limits(aLimits)
  {
  }

  using Changes = std::vector<RegistryChange>;

  /// Takes a registration or its renewal.
  Changes AddOrRenew(const EndpointEntry& aEntry);
  /// Takes the word that a registration is gone.
  Changes Remove(const EndpointId& aId, TimePoint aNow);
  /// Takes the whole list of registrations: all others are gone.
  Changes Replace(const std::vector<EndpointEntry>& aEntries, TimePoint aNow);
  /// Ends the registrations that were not renewed in time.
  Changes Expire(TimePoint aNow);

  /// Tells that the store cannot be read, or can be read again.
  void SetStoreReachable(bool aIsReachable, TimePoint aNow);
  /// Tells that all registrations have been read once.
  void MarkLoaded() { m_is_loaded = true; }

  /// The entry of an endpoint that may get new work, or nothing.
  std::optional<EndpointEntry> FindUsable(const EndpointId& aId) const;
  std::vector<EndpointEntry> UsableEndpoints(const ServiceName& aService) const;
  /// Grows with each change of what may be used.
  std::uint64_t Version() const { return m_version; }
  std::size_t Size() const { return m_entries.size(); }
  bool IsLoaded() const { return m_is_loaded; }

private:
  struct Registration
  {
    EndpointEntry m_entry;
    /// Set while the registration is gone and may come back.
    std::optional<TimePoint> m_lapsed_at;
  };

  bool IsDuringOrJustAfterOutage(TimePoint aNow) const;
  /// When a lapsed registration counts as gone if it has not been renewed.
  TimePoint RemovalTime(TimePoint aLapsedAt) const;
  void Lapse(Registration& aRegistration, TimePoint aNow, Changes& aChanges);

  Limits m_limits;
  std::map<EndpointId, Registration> m_entries;
  bool m_is_loaded = false;
  bool m_is_reachable = true;
  std::optional<TimePoint> m_reachable_since;
  std::uint64_t m_version = 0;
};

}
