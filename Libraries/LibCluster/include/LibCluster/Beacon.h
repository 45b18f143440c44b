#pragma once

#include <LibAllowance/QuotaLedger.h>
#include <LibCluster/FeedReaders.h>
#include <LibCluster/Membership.h>
#include <LibHttp/EventLoop.h>
#include <absl/status/statusor.h>
#include <absl/strings/string_view.h>
#include <functional>
#include <memory>
#include <optional>

struct event;

namespace auburnhitch {

/// What a daemon tells all others, again and again.
struct BeaconNews
{
  Member m_member;
  std::int64_t m_configuration_version = 0;
  FeedPositions m_read_up_to;
  std::vector<WorkspaceSpending> m_spending;

  auto operator<=>(const BeaconNews&) const = default;
};

/// The news as one datagram.
std::string
EncodeBeacon(const BeaconNews& aNews);

/// Nothing when the bytes are no beacon.
std::optional<BeaconNews>
DecodeBeacon(absl::string_view aBytes);

/// Sends and receives beacons as datagrams, of which any may be lost. Not thread-safe.
class BeaconSocket
{
public:
  using Handler = std::function<void(const BeaconNews&)>;

  /// Fails with Unavailable when the address cannot be had.
  static absl::StatusOr<std::unique_ptr<BeaconSocket>> Create(EventLoop& aLoop,
                                                              const SocketAddress& aAddress,
                                                              Handler aHandler);
  ~BeaconSocket();
  BeaconSocket(const BeaconSocket&) = delete;
  BeaconSocket& operator=(const BeaconSocket&) = delete;

  void SendTo(const SocketAddress& aPeer, absl::string_view aDatagram);

private:
  BeaconSocket(int aSocket, Handler aHandler);
  static void OnReadable(int aSocket, short aWhat, void* aSelf);
  void Receive();

  int m_socket;
  event* m_event = nullptr;
  Handler m_handler;
};

}
