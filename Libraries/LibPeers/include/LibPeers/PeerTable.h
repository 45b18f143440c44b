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

/// Which document of a service a daemon holds.
struct HeldRevision
{
  Revision m_revision = 0;
  LogOffset m_offset = -1;

  auto operator<=>(const HeldRevision&) const = default;
};

/// What a daemon tells its peers of itself.
struct PeerUpdate
{
  HostName m_host;
  DataCenterName m_data_center;
  Permit m_permit;
  SocketAddress m_caller_address;
  SocketAddress m_peer_address;
  bool m_is_leaving = false;
  /// Whether it knows all documents in force at its position in the log.
  bool m_is_settled = false;
  LogOffset m_position = 0;
  std::map<ServiceName, HeldRevision> m_documents;
  /// Waiting requests of each tier, for services that have any.
  std::map<ServiceName, std::vector<std::size_t>> m_waiting;

  auto operator<=>(const PeerUpdate&) const = default;

  Json ToJson() const;
  /// Reads news; returns nothing and records findings if any part is wrong.
  static std::optional<PeerUpdate> FromJson(const Json& aJson, Findings& aFindings);
};

/// The latest news of each peer. Not thread-safe.
class PeerTable
{
public:
  /// aMaxAge is how long news counts.
  explicit PeerTable(Milliseconds aMaxAge)
    : m_max_age(aMaxAge)
  {
  }

  void SetMaxAge(Milliseconds aMaxAge) { m_max_age = aMaxAge; }
  void Update(const PeerUpdate& aUpdate, TimePoint aNow);
  /// Peers heard of lately.
  std::vector<PeerUpdate> Fresh(TimePoint aNow) const;
  /// All that were ever heard of and not replaced at their address, fresh or not.
  std::vector<PeerUpdate> All() const;
  /// The highest tier of which any fresh peer has work waiting, if any.
  std::optional<std::size_t> HighestTierWaiting(const ServiceName& aService, TimePoint aNow) const;
  /// Forgets peers that were silent for many times the fresh span.
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
