#include <LibCluster/Heartbeat.h>

#include <LibCore/JsonObjectReader.h>
#include <LibCore/Log.h>
#include <LibCore/Try.h>
#include <LibHttp/HttpServer.h>
#include <algorithm>
#include <array>
#include <event2/event.h>
#include <sys/socket.h>
#include <unistd.h>

namespace auburnhitch {

namespace {

// Increased whenever the layout changes. Datagrams of versions without an entry in
// IsHeartbeatJson() are rejected.
constexpr int kHeartbeatLayoutVersion = 3;
constexpr std::size_t kHeartbeatFields = 17;
// Without the field at the end that says whether the daemon reaches endpoints: it does. All that
// can be said so is, since daemons of an earlier version read no other layout.
constexpr int kEarlierLayoutVersion = 2;
constexpr std::size_t kEarlierFields = 16;
// Fits into one packet on a network with the usual MTU of 1,500 bytes.
constexpr std::size_t kMaxDatagramBytes = 1'400;
// FIXME: With more active workspaces than this, the spending of some is announced too seldom.
// Quotas of many workspaces need a coordinator for each workspace.
constexpr std::size_t kMaxSpendingEntries = 32;
// The era of the positions is an entry of the spending whose workspace has no name: daemons of an
// earlier version reject further fields, and pass over the spending of workspaces that they do not
// know.
constexpr const char* kEraEntry = "";
// An entry of the same name with this number, which is no era, says that the daemon accepts
// forwarded records. Daemons of an earlier version pass over it.
constexpr std::int64_t kAcceptsRecordsEntry = -1;
// The same with this number says that the daemon does not know the other daemons yet.
constexpr std::int64_t kUnknownMembersEntry = -2;
// Datagrams read per loop iteration, so that a flood cannot block the event loop.
constexpr int kMaxDatagramsPerTurn = 256;

bool
IsHeartbeatJson(const Json& aJson)
{
  if (!aJson.is_array() || aJson.empty()) {
    return false;
  }
  const bool is_current = aJson[0] == kHeartbeatLayoutVersion && aJson.size() == kHeartbeatFields;
  const bool is_earlier = aJson[0] == kEarlierLayoutVersion && aJson.size() == kEarlierFields;
  if (!is_current && !is_earlier) {
    return false;
  }
  constexpr std::size_t kFirstText = 1;
  constexpr std::size_t kFirstFlag = 6;
  constexpr std::size_t kProcessor = 10;
  constexpr std::size_t kVersion = 11;
  constexpr std::size_t kFirstPosition = 12;
  constexpr std::size_t kSpending = 15;
  constexpr std::size_t kReachesEndpoints = 16;
  for (std::size_t i = kFirstText; i < kFirstFlag; ++i) {
    if (!aJson[i].is_string()) {
      return false;
    }
  }
  for (std::size_t i = kFirstFlag; i < kProcessor; ++i) {
    if (!aJson[i].is_boolean()) {
      return false;
    }
  }
  for (std::size_t i = kFirstPosition; i < kSpending; ++i) {
    if (!aJson[i].is_number_unsigned()) {
      return false;
    }
  }
  return aJson[kProcessor].is_number_integer() && aJson[kVersion].is_number_integer() &&
         aJson[kSpending].is_array() && (is_earlier || aJson[kReachesEndpoints].is_boolean());
}

}

std::string
EncodeHeartbeat(const Heartbeat& aHeartbeat)
{
  Json spending = Json::array();
  if (aHeartbeat.m_topic_positions.m_era) {
    spending.push_back(Json::array({ kEraEntry, *aHeartbeat.m_topic_positions.m_era }));
  }
  if (aHeartbeat.m_member.m_accepts_records) {
    spending.push_back(Json::array({ kEraEntry, kAcceptsRecordsEntry }));
  }
  if (!aHeartbeat.m_member.m_knows_members) {
    spending.push_back(Json::array({ kEraEntry, kUnknownMembersEntry }));
  }
  const std::size_t max_entries = spending.size() + kMaxSpendingEntries;
  for (const WorkspaceSpending& entry : aHeartbeat.m_spending) {
    if (spending.size() < max_entries) {
      spending.push_back(Json::array({ entry.m_workspace.Value(), entry.m_tokens }));
    }
  }
  const Member& member = aHeartbeat.m_member;
  Json json = Json::array({ kEarlierLayoutVersion,
                            member.m_host.Value(),
                            member.m_incarnation.Value(),
                            member.m_data_center.Value(),
                            member.m_peer_address.Value(),
                            member.m_caller_address.Value(),
                            member.m_is_leaving,
                            member.m_is_ready,
                            member.m_can_read_store,
                            member.m_is_reader,
                            member.m_processor_millicores,
                            aHeartbeat.m_configuration_version,
                            aHeartbeat.m_topic_positions.m_configuration,
                            aHeartbeat.m_topic_positions.m_registrations,
                            aHeartbeat.m_topic_positions.m_members,
                            spending });
  if (!member.m_reaches_endpoints) {
    json[0] = kHeartbeatLayoutVersion;
    json.push_back(false);
  }
  std::string bytes;
  Json::to_msgpack(json, bytes);
  return bytes;
}

std::optional<Heartbeat>
DecodeHeartbeat(absl::string_view aBytes)
{
  const auto parsed = ParseMessagePack(aBytes);
  if (!parsed || !IsHeartbeatJson(*parsed)) {
    return std::nullopt;
  }
  const Json& json = *parsed;
  Heartbeat heartbeat;
  std::size_t field = 0;
  const auto next = [&]() -> const Json& { return json[++field]; };
  heartbeat.m_member.m_host = HostName(next().get<std::string>());
  heartbeat.m_member.m_incarnation = Incarnation(next().get<std::string>());
  heartbeat.m_member.m_data_center = DataCenterName(next().get<std::string>());
  heartbeat.m_member.m_peer_address = SocketAddress(next().get<std::string>());
  heartbeat.m_member.m_caller_address = SocketAddress(next().get<std::string>());
  // MessagePack texts may be any bytes, and these are passed on to callers.
  if (!SplitSocketAddress(heartbeat.m_member.m_peer_address).ok() ||
      !SplitSocketAddress(heartbeat.m_member.m_caller_address).ok()) {
    return std::nullopt;
  }
  heartbeat.m_member.m_is_leaving = next().get<bool>();
  heartbeat.m_member.m_is_ready = next().get<bool>();
  heartbeat.m_member.m_can_read_store = next().get<bool>();
  heartbeat.m_member.m_is_reader = next().get<bool>();
  heartbeat.m_member.m_processor_millicores = next().get<int>();
  heartbeat.m_configuration_version = next().get<std::int64_t>();
  heartbeat.m_topic_positions.m_configuration = next().get<std::uint64_t>();
  heartbeat.m_topic_positions.m_registrations = next().get<std::uint64_t>();
  heartbeat.m_topic_positions.m_members = next().get<std::uint64_t>();
  for (const Json& entry : next()) {
    if (!entry.is_array() || entry.size() != 2 || !entry[0].is_string() ||
        !entry[1].is_number_integer()) {
      return std::nullopt;
    }
    if (entry[0] == kEraEntry) {
      if (entry[1].is_number_unsigned()) {
        heartbeat.m_topic_positions.m_era = entry[1].get<StoreEra>();
      } else if (entry[1] == kAcceptsRecordsEntry) {
        heartbeat.m_member.m_accepts_records = true;
      } else if (entry[1] == kUnknownMembersEntry) {
        heartbeat.m_member.m_knows_members = false;
      }
      continue;
    }
    heartbeat.m_spending.push_back(
      { WorkspaceName(entry[0].get<std::string>()), entry[1].get<std::int64_t>() });
  }
  heartbeat.m_member.m_reaches_endpoints = json.size() == kEarlierFields || next().get<bool>();
  return heartbeat;
}

HeartbeatSocket::HeartbeatSocket(int aSocket, Handler aHandler, RecordsHandler aRecordsHandler)
  : m_socket(aSocket)
  , m_handler(std::move(aHandler))
  , m_records_handler(std::move(aRecordsHandler))
{
}

absl::StatusOr<std::unique_ptr<HeartbeatSocket>>
HeartbeatSocket::Create(EventLoop& aLoop,
                        const SocketAddress& aAddress,
                        Handler aHandler,
                        RecordsHandler aRecordsHandler)
{
  TRY_ASSIGN(const sockaddr_in name, ToSockaddr(aAddress));
  const int descriptor = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0) {
    return absl::UnavailableError("can't open a UDP socket for heartbeats");
  }
  std::unique_ptr<HeartbeatSocket> created(
    new HeartbeatSocket(descriptor, std::move(aHandler), std::move(aRecordsHandler)));
  if (bind(descriptor, reinterpret_cast<const sockaddr*>(&name), sizeof(name)) != 0) {
    return absl::UnavailableError("can't bind the heartbeat socket to " + aAddress.Value());
  }
  created->m_event =
    event_new(aLoop.Base(), descriptor, EV_READ | EV_PERSIST, OnReadable, created.get());
  event_add(created->m_event, nullptr);
  return created;
}

HeartbeatSocket::~HeartbeatSocket()
{
  if (m_event != nullptr) {
    event_free(m_event);
  }
  close(m_socket);
}

void
HeartbeatSocket::SendTo(const SocketAddress& aPeer, absl::string_view aDatagram)
{
  const auto name = ToSockaddr(aPeer);
  if (!name.ok()) {
    LogOf("cluster").warn(
      "event=beacon-unsent peer={} why={}", aPeer.Value(), std::string(name.status().message()));
    return;
  }
  // A send error is ignored like a lost datagram, since the next heartbeat follows soon.
  sendto(m_socket,
         aDatagram.data(),
         aDatagram.size(),
         MSG_DONTWAIT,
         reinterpret_cast<const sockaddr*>(&*name),
         sizeof(*name));
}

void
HeartbeatSocket::OnReadable(int, short, void* aSelf)
{
  static_cast<HeartbeatSocket*>(aSelf)->Receive();
}

void
HeartbeatSocket::Receive()
{
  std::array<char, kMaxDatagramBytes> buffer{};
  for (int i = 0; i < kMaxDatagramsPerTurn; ++i) {
    const ssize_t size = recv(m_socket, buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (size < 0) {
      return;
    }
    const absl::string_view bytes(buffer.data(), static_cast<std::size_t>(size));
    const auto heartbeat = DecodeHeartbeat(bytes);
    if (!heartbeat) {
      const auto records = DecodeRecords(bytes);
      if (records && m_records_handler) {
        m_records_handler(*records);
        continue;
      }
      LogOf("cluster").warn("event=beacon-malformed bytes={}", size);
      continue;
    }
    m_handler(*heartbeat);
  }
}

}
