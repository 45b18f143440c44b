#pragma once

#include <LibAllowance/QuotaLedger.h>
#include <LibCluster/Membership.h>
#include <LibCluster/RecordsMessage.h>
#include <LibCluster/StoreReaderSelector.h>
#include <LibHttp/EventLoop.h>
#include <absl/status/statusor.h>
#include <absl/strings/string_view.h>
#include <functional>
#include <memory>
#include <optional>

struct event;

namespace auburnhitch {

/// The state that a daemon sends periodically to all others.
struct Heartbeat
{
  Member m_member;
  std::int64_t m_configuration_version = 0;
  TopicPositions m_topic_positions;
  std::vector<WorkspaceSpending> m_spending;

  auto operator<=>(const Heartbeat&) const = default;
};

/// Encodes a heartbeat as one datagram.
std::string
EncodeHeartbeat(const Heartbeat& aHeartbeat);

/// Returns nothing when the bytes are not a valid heartbeat of this layout version.
std::optional<Heartbeat>
DecodeHeartbeat(absl::string_view aBytes);

/// Sends and receives heartbeats and forwarded records as UDP datagrams, any of which may be lost.
/// Not thread-safe.
class HeartbeatSocket
{
public:
  using Handler = std::function<void(const Heartbeat&)>;
  using RecordsHandler = std::function<void(const RecordsMessage&)>;

  /// Fails with Unavailable when the socket cannot be opened or bound to the address.
  static absl::StatusOr<std::unique_ptr<HeartbeatSocket>> Create(
    EventLoop& aLoop,
    const SocketAddress& aAddress,
    Handler aHandler,
    RecordsHandler aRecordsHandler = {});
  ~HeartbeatSocket();
  HeartbeatSocket(const HeartbeatSocket&) = delete;
  HeartbeatSocket& operator=(const HeartbeatSocket&) = delete;

  void SendTo(const SocketAddress& aPeer, absl::string_view aDatagram);

private:
  HeartbeatSocket(int aSocket, Handler aHandler, RecordsHandler aRecordsHandler);
  static void OnReadable(int aSocket, short aWhat, void* aSelf);
  void Receive();

  int m_socket;
  event* m_event = nullptr;
  Handler m_handler;
  RecordsHandler m_records_handler;
};

}
