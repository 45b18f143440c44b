#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace auburnhitch::review {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

/// Writes record.txt: one line for each event, with the milliseconds since the start. Thread-safe.
class Record
{
public:
  explicit Record(const std::string& aPath);
  ~Record();
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  void Add(const std::string& aText);
  std::int64_t Now() const;

private:
  std::mutex m_mutex;
  std::FILE* m_file;
  Clock::time_point m_began = Clock::now();
};

struct Request
{
  std::string m_method;
  std::string m_target;
  /// Names in lower case.
  std::map<std::string, std::string> m_headers;
  std::string m_body;

  std::string Header(const std::string& aName) const;
  std::string Path() const { return m_target.substr(0, m_target.find('?')); }
  std::string Query(const std::string& aName) const;
};

/// One TCP connection, with blocking reads and writes.
class Connection
{
public:
  explicit Connection(int aSocket)
    : m_socket(aSocket)
  {
  }
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// Returns nothing if the peer closes before the request is complete.
  std::optional<Request> ReadRequest();
  /// Returns false if the peer has closed.
  bool Write(const std::string& aBytes) const;
  /// Waits until the peer closes, for this time at most. Returns whether it has closed.
  bool WaitForClose(Milliseconds aTime);
  /// Reads until the peer closes or this time passes without a byte.
  std::string ReadAll(Milliseconds aMaxSilence);

private:
  bool ReadMore();

  int m_socket;
  std::string m_buffer;
};

/// Listens on a loopback port; each connection has a thread of its own.
class Server
{
public:
  using Handler = std::function<void(Connection& aConnection)>;

  /// aAddress: where a server that has ended listened, to start again there; empty for a free port.
  explicit Server(Handler aHandler, const std::string& aAddress = "");
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  std::string Address() const { return "127.0.0.1:" + std::to_string(m_port); }
  /// Ends as a crashed process does: resets all connections and refuses new ones.
  void Crash();

private:
  void Accept();

  Handler m_handler;
  int m_port = 0;
  int m_listener = -1;
  std::atomic<bool> m_is_over = false;
  std::mutex m_mutex;
  std::set<int> m_sockets;
  std::vector<std::thread> m_threads;
  std::thread m_acceptor;
};

/// The platform's store: keyed topics, long polls, appends under a condition.
class Store
{
public:
  Store();
  ~Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  std::string Address() const { return m_server->Address(); }
  /// Without a value the key is deleted.
  void Put(const std::string& aTopic,
           const std::string& aKey,
           const std::optional<std::string>& aValue);
  std::optional<std::string> Newest(const std::string& aTopic, const std::string& aKey);
  /// Sets whether the partition of a topic is down: calls for it get 503, and nothing is done.
  void SetDown(const std::string& aTopic, bool aIsDown);
  /// Opens another address at which the same store is served, for one machine.
  std::string AddView();
  /// Sets whether the calls at a view get no answer. The views count from 0.
  void SetTurnedAway(std::size_t aView, bool aIsTurnedAway);
  /// Number of calls for the registrations that were received at a view.
  int CallsAt(std::size_t aView);

private:
  struct Topic
  {
    std::vector<std::string> m_records;
    std::map<std::string, std::pair<std::string, std::size_t>> m_newest;
  };

  struct View
  {
    bool m_is_turned_away = false;
    int m_calls = 0;
    std::unique_ptr<Server> m_server;
  };

  void Serve(Connection& aConnection, View* aView);
  bool IsTurnedAway(const View* aView);
  std::string Answer(const Request& aRequest);
  void AppendLocked(const std::string& aTopic, const std::string& aContent);

  std::mutex m_mutex;
  std::condition_variable m_changed;
  bool m_is_over = false;
  std::set<std::string> m_down;
  std::map<std::string, Topic> m_topics;
  std::unique_ptr<Server> m_server;
  std::vector<std::unique_ptr<View>> m_views;
};

/// A process of the project, started as the deploy file says.
class DaemonProcess
{
public:
  DaemonProcess(const std::string& aSettingsPath, const std::string& aLogPath);
  ~DaemonProcess();
  DaemonProcess(const DaemonProcess&) = delete;
  DaemonProcess& operator=(const DaemonProcess&) = delete;

  void Signal(int aSignal) const;
  bool HasEnded();
  /// How the process ended, for the record. Precondition: HasEnded().
  std::string End() const;

private:
  pid_t m_pid = -1;
  bool m_has_ended = false;
  int m_status = 0;
};

/// A response as a client receives it.
struct Response
{
  /// 0 if there is no head.
  int m_status = 0;
  std::string m_head;
  std::string m_body;
  /// Whether the whole body arrived, by its length or its last chunk.
  bool m_is_complete = false;
};

Response
ParseResponse(const std::string& aBytes);

/// Sends bytes over a new connection and reads the response.
Response
Call(const std::string& aAddress, const std::string& aBytes, Milliseconds aMaxSilence);

/// Returns a connected socket, or -1.
int
ConnectTo(const std::string& aAddress);

/// A loopback address on which nothing listens.
std::string
FreeAddress();

/// Daemons of a small deployment in front of one service, with the bounds of its sheet.
class Deployment
{
public:
  /// aRecordsRequests: whether the record gets what the daemons log of each request.
  Deployment(Record& aRecord, std::size_t aDaemons, bool aRecordsRequests = true);
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  Store& GetStore() { return m_store; }
  /// Writes a configuration with these routes to one service. The tenant has no quota without a
  /// rate.
  void Configure(const Json& aRoutes, int aTokensPerSecond = 0, int aBurst = 0);
  /// Writes the registration of a server that has just started.
  void Register(const std::string& aId,
                const std::string& aAddress,
                const std::string& aZone,
                const std::string& aVersion = "v1");
  /// Starts the first daemons and waits until they are ready. Returns false if they are not within
  /// 20 s.
  bool Start(std::size_t aCount);
  /// Starts a daemon; again, if it has ended.
  void StartOne(std::size_t aDaemon);
  /// Names the hosts of the daemons that start from now on.
  void SetHostPrefix(std::string aPrefix) { m_host_prefix = std::move(aPrefix); }
  /// Lets each daemon that starts from now on call the store at a view of its own, of its number.
  void UseStoreViews();
  /// What a daemon has logged so far.
  std::string LogOf(std::size_t aDaemon) const;
  /// Whether the readiness of a daemon is 200.
  bool IsReady(std::size_t aDaemon) const;
  std::size_t Size() const { return m_daemons.size(); }
  std::string FrontAddress(std::size_t aDaemon) const;
  DaemonProcess& Daemon(std::size_t aDaemon) { return *m_daemons.at(aDaemon).m_process; }
  std::string ZoneOf(std::size_t aDaemon) const;

private:
  std::string PathOf(std::size_t aDaemon, const char* aSuffix) const;

  struct Host
  {
    std::vector<std::string> m_addresses;
    std::unique_ptr<DaemonProcess> m_process;
  };

  Record& m_record;
  bool m_records_requests;
  std::string m_directory;
  Store m_store;
  std::vector<Host> m_daemons;
  std::string m_host_prefix = "edge-";
  std::vector<std::string> m_views;
  int m_version = 0;
};

/// The time of day, as servers state when they were born.
std::int64_t
UnixMilliseconds();

/// The entry of a route in a configuration.
Json
RouteOf(const std::string& aName, const std::string& aKind, bool aIsResumable);

/// A request with the key of the only tenant.
std::string
RequestText(const std::string& aPath,
            const std::string& aId,
            const std::string& aMoreHeaders,
            const std::string& aBody);

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

}
