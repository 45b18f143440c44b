#pragma once

#include <LibCore/Findings.h>
#include <LibCore/JsonObjectReader.h>
#include <LibCore/StrongString.h>
#include <LibCore/Time.h>
#include <LibDocument/DocumentFold.h>
#include <LibLedger/RequestIdentity.h>
#include <map>
#include <optional>
#include <vector>

namespace auburnhitch {

/// The revision of a service's document that a daemon holds.
struct HeldRevision
{
  Revision m_revision = 0;
  LogOffset m_offset = -1;

  auto operator<=>(const HeldRevision&) const = default;
};

/// The state that a daemon sends to its peers.
struct PeerUpdate
{
  HostName m_host;
  DataCenterName m_data_center;
  Permit m_permit;
  SocketAddress m_caller_address;
  SocketAddress m_peer_address;
  bool m_is_leaving = false;
  /// Whether it has all documents in force at its position in the log.
  bool m_is_settled = false;
  LogOffset m_position = 0;
  std::map<ServiceName, HeldRevision> m_documents;
  /// Number of waiting requests by tier, for services that have any.
  std::map<ServiceName, std::vector<std::size_t>> m_waiting;

  auto operator<=>(const PeerUpdate&) const = default;

  Json ToJson() const;
  /// Returns nothing and records findings if any member is invalid.
  static std::optional<PeerUpdate> FromJson(const Json& aJson, Findings& aFindings);
};

/// The latest update of each peer, by peer address. Not thread-safe.
class PeerTable
{
public:
  /// aMaxAge is how long an update counts as fresh.
  explicit PeerTable(Milliseconds aMaxAge)
    : m_max_age(aMaxAge)
  {
  }

  void SetMaxAge(Milliseconds aMaxAge) { m_max_age = aMaxAge; }
  void Update(const PeerUpdate& aUpdate, TimePoint aNow);
  /// Peers whose last update is at most the maximum age old.
  std::vector<PeerUpdate> Fresh(TimePoint aNow) const;
  /// The last update from each peer address, fresh or not, unless RemoveSilent() removed it.
  std::vector<PeerUpdate> All() const;
  /// The highest tier in which a fresh peer has requests of the service waiting, if any.
  std::optional<std::size_t> HighestTierWaiting(const ServiceName& aService, TimePoint aNow) const;
  /// Removes peers whose last update is older than 20 times the maximum age.
  void RemoveSilent(TimePoint aNow);

private:
  struct ReceivedUpdate
  {
    PeerUpdate m_update;
    TimePoint m_received_at;
  };

  Milliseconds m_max_age;
  std::map<SocketAddress, ReceivedUpdate> m_peers;
};

}
