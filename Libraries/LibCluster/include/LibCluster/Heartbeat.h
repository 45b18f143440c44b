#pragma once

#include <LibAllowance/QuotaLedger.h>
#include <LibCluster/Membership.h>
#include <LibCluster/StoreReaderSelector.h>
#include <LibHttp/EventLoop.h>
#include <absl/status/statusor.h>
#include <absl/strings/string_view.h>
#include <functional>
#include <memory>
#include <optional>

struct event;

namespace auburnhitch {

/// What a daemon tells all others, again and again.
struct Heartbeat
{
  Member m_member;
  std::int64_t m_configuration_version = 0;
  TopicPositions m_topic_positions;
  std::vector<WorkspaceSpending> m_spending;

  auto operator<=>(const Heartbeat&) const = default;
};

/// The news as one datagram.
std::string
EncodeHeartbeat(const Heartbeat& aHeartbeat);

/// Nothing when the bytes are no beacon.
std::optional<Heartbeat>
DecodeHeartbeat(absl::string_view aBytes);

/// Sends and receives beacons as datagrams, of which any may be lost. Not thread-safe.
class HeartbeatSocket
{
public:
  using Handler = std::function<void(const Heartbeat&)>;

  /// Fails with Unavailable when the address cannot be had.
  static absl::StatusOr<std::unique_ptr<HeartbeatSocket>> Create(EventLoop& aLoop,
                                                                 const SocketAddress& aAddress,
                                                                 Handler aHandler);
  ~HeartbeatSocket();
  HeartbeatSocket(const HeartbeatSocket&) = delete;
  HeartbeatSocket& operator=(const HeartbeatSocket&) = delete;

  void SendTo(const SocketAddress& aPeer, absl::string_view aDatagram);

private:
  HeartbeatSocket(int aSocket, Handler aHandler);
  static void OnReadable(int aSocket, short aWhat, void* aSelf);
  void Receive();

  int m_socket;
  event* m_event = nullptr;
  Handler m_handler;
};

}
