#include "World.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace auburnhitch::review {

namespace {

constexpr const char* kProgram = "target/Daemon/auburnhitchd";
constexpr const char* kService = "svc1";
constexpr const char* kKey = "i9n73hh2b9wu3fexd9dn";
constexpr std::size_t kAddresses = 5;
constexpr std::size_t kReadBytes = 16 << 10;
constexpr std::size_t kLengthBytes = 4;
constexpr unsigned kBits = 8;
constexpr Milliseconds kPoll{ 20 };
constexpr Milliseconds kStartTime{ 20'000 };

std::string
Lower(std::string aText)
{
  std::transform(aText.begin(), aText.end(), aText.begin(), [](unsigned char aByte) {
    return static_cast<char>(std::tolower(aByte));
  });
  return aText;
}

sockaddr_in
ToName(const std::string& aAddress)
{
  sockaddr_in name{};
  name.sin_family = AF_INET;
  const auto colon = aAddress.find(':');
  inet_pton(AF_INET, aAddress.substr(0, colon).c_str(), &name.sin_addr);
  name.sin_port = htons(static_cast<std::uint16_t>(std::stoi(aAddress.substr(colon + 1))));
  return name;
}

int
Listen(int& aPort, const std::string& aAddress)
{
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int enabled = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
  sockaddr_in name = ToName(aAddress.empty() ? "127.0.0.1:0" : aAddress);
  socklen_t size = sizeof(name);
  if (bind(listener, reinterpret_cast<sockaddr*>(&name), size) != 0 ||
      listen(listener, SOMAXCONN) != 0 ||
      getsockname(listener, reinterpret_cast<sockaddr*>(&name), &size) != 0) {
    std::perror("listen");
    std::exit(kCouldNotRun);
  }
  aPort = ntohs(name.sin_port);
  return listener;
}

std::string
BigEndian(std::uint64_t aNumber, std::size_t aBytes)
{
  std::string text;
  for (std::size_t i = 0; i < aBytes; ++i) {
    text.push_back(static_cast<char>(aNumber >> (kBits * (aBytes - 1 - i))));
  }
  return text;
}

std::string
Base64(const std::string& aText)
{
  static const char* const kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  constexpr std::size_t kGroup = 3;
  constexpr unsigned kDigitBits = 6;
  constexpr unsigned kMask = 63;
  std::string encoded;
  for (std::size_t at = 0; at < aText.size(); at += kGroup) {
    unsigned group = 0;
    for (std::size_t i = 0; i < kGroup; ++i) {
      group =
        (group << kBits) | (at + i < aText.size() ? static_cast<unsigned char>(aText[at + i]) : 0U);
    }
    const std::size_t digits = std::min(kGroup, aText.size() - at) + 1;
    for (std::size_t i = 0; i <= kGroup; ++i) {
      encoded.push_back(i < digits ? kDigits[(group >> (kDigitBits * (kGroup - i))) & kMask] : '=');
    }
  }
  return encoded;
}

std::string
Unescape(const std::string& aText)
{
  constexpr int kHexadecimal = 16;
  constexpr std::size_t kEscapeBytes = 3;
  std::string text;
  for (std::size_t at = 0; at < aText.size();) {
    if (aText[at] == '%' && at + 2 < aText.size()) {
      text.push_back(static_cast<char>(std::stoi(aText.substr(at + 1, 2), nullptr, kHexadecimal)));
      at += kEscapeBytes;
    } else {
      text.push_back(aText[at++]);
    }
  }
  return text;
}

}

Record::Record(const std::string& aPath)
  : m_file(std::fopen(aPath.c_str(), "w"))
{
  if (m_file == nullptr) {
    std::perror(aPath.c_str());
    std::exit(kCouldNotRun);
  }
}

Record::~Record()
{
  std::fclose(m_file);
}

std::int64_t
Record::Now() const
{
  return std::chrono::duration_cast<Milliseconds>(Clock::now() - m_began).count();
}

void
Record::Add(const std::string& aText)
{
  const std::lock_guard lock(m_mutex);
  std::fprintf(m_file, "%7lld ms  %s\n", static_cast<long long>(Now()), aText.c_str());
  std::fflush(m_file);
}

std::string
Request::Header(const std::string& aName) const
{
  const auto found = m_headers.find(aName);
  return found == m_headers.end() ? "" : found->second;
}

std::string
Request::Query(const std::string& aName) const
{
  const auto question = m_target.find('?');
  std::string rest = question == std::string::npos ? "" : m_target.substr(question + 1);
  while (!rest.empty()) {
    const auto end = std::min(rest.find('&'), rest.size());
    const std::string part = rest.substr(0, end);
    rest = end < rest.size() ? rest.substr(end + 1) : "";
    if (part.starts_with(aName + "=")) {
      return Unescape(part.substr(aName.size() + 1));
    }
  }
  return "";
}

Connection::~Connection()
{
  close(m_socket);
}

bool
Connection::ReadMore()
{
  std::string bytes(kReadBytes, '\0');
  const ssize_t size = recv(m_socket, bytes.data(), bytes.size(), 0);
  if (size <= 0) {
    return false;
  }
  m_buffer.append(bytes, 0, static_cast<std::size_t>(size));
  return true;
}

std::optional<Request>
Connection::ReadRequest()
{
  std::size_t end = 0;
  while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!ReadMore()) {
      return std::nullopt;
    }
  }
  Request request;
  std::string head = m_buffer.substr(0, end + 2);
  m_buffer.erase(0, end + 4);
  const auto line_end = head.find("\r\n");
  const std::string line = head.substr(0, line_end);
  head.erase(0, line_end + 2);
  const auto space = line.find(' ');
  request.m_method = line.substr(0, space);
  request.m_target = line.substr(space + 1, line.rfind(' ') - space - 1);
  while (!head.empty()) {
    const auto at = head.find("\r\n");
    const std::string field = head.substr(0, at);
    head.erase(0, at + 2);
    const auto colon = field.find(':');
    const auto value = field.find_first_not_of(' ', colon + 1);
    request.m_headers[Lower(field.substr(0, colon))] =
      value == std::string::npos ? "" : field.substr(value);
  }
  const std::string length = request.Header("content-length");
  const std::size_t size = length.empty() ? 0 : std::stoul(length);
  while (m_buffer.size() < size) {
    if (!ReadMore()) {
      return std::nullopt;
    }
  }
  request.m_body = m_buffer.substr(0, size);
  m_buffer.erase(0, size);
  return request;
}

bool
Connection::Write(const std::string& aBytes) const
{
  std::size_t sent = 0;
  while (sent < aBytes.size()) {
    const ssize_t size = send(m_socket, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (size <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(size);
  }
  return true;
}

bool
Connection::WaitForClose(Milliseconds aTime)
{
  const auto until = Clock::now() + aTime;
  while (true) {
    const auto left = std::chrono::duration_cast<Milliseconds>(until - Clock::now());
    pollfd entry{ m_socket, POLLIN, 0 };
    if (left.count() <= 0 || poll(&entry, 1, static_cast<int>(left.count())) <= 0) {
      return false;
    }
    if (!ReadMore()) {
      return true;
    }
  }
}

std::string
Connection::ReadAll(Milliseconds aMaxSilence)
{
  pollfd entry{ m_socket, POLLIN, 0 };
  while (poll(&entry, 1, static_cast<int>(aMaxSilence.count())) > 0 && ReadMore()) {
  }
  return m_buffer;
}

Server::Server(Handler aHandler, const std::string& aAddress)
  : m_handler(std::move(aHandler))
  , m_listener(Listen(m_port, aAddress))
{
  m_acceptor = std::thread([this] { Accept(); });
}

void
Server::Accept()
{
  while (true) {
    const int accepted = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
    const std::lock_guard lock(m_mutex);
    if (accepted < 0 || m_is_over) {
      if (accepted >= 0) {
        close(accepted);
      }
      return;
    }
    const int enabled = 1;
    setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    m_sockets.insert(accepted);
    m_threads.emplace_back([this, accepted] {
      Connection connection(accepted);
      m_handler(connection);
      const std::lock_guard inner(m_mutex);
      m_sockets.erase(accepted);
    });
  }
}

void
Server::Crash()
{
  const std::lock_guard lock(m_mutex);
  m_is_over = true;
  // Ends the call of accept and refuses new connections.
  shutdown(m_listener, SHUT_RDWR);
  const linger reset{ 1, 0 };
  for (const int accepted : m_sockets) {
    setsockopt(accepted, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    shutdown(accepted, SHUT_RDWR);
  }
}

Server::~Server()
{
  Crash();
  m_acceptor.join();
  for (std::thread& thread : m_threads) {
    thread.join();
  }
  close(m_listener);
}

Store::Store()
{
  m_server =
    std::make_unique<Server>([this](Connection& aConnection) { Serve(aConnection, nullptr); });
}

Store::~Store()
{
  {
    const std::lock_guard lock(m_mutex);
    m_is_over = true;
  }
  m_changed.notify_all();
  m_server = nullptr;
  for (const auto& view : m_views) {
    view->m_server = nullptr;
  }
}

std::string
Store::AddView()
{
  View* view = m_views.emplace_back(std::make_unique<View>()).get();
  view->m_server =
    std::make_unique<Server>([this, view](Connection& aConnection) { Serve(aConnection, view); });
  return view->m_server->Address();
}

void
Store::SetTurnedAway(std::size_t aView, bool aIsTurnedAway)
{
  const std::lock_guard lock(m_mutex);
  m_views.at(aView)->m_is_turned_away = aIsTurnedAway;
}

int
Store::CallsAt(std::size_t aView)
{
  const std::lock_guard lock(m_mutex);
  return m_views.at(aView)->m_calls;
}

bool
Store::IsTurnedAway(const View* aView)
{
  const std::lock_guard lock(m_mutex);
  return aView != nullptr && aView->m_is_turned_away;
}

void
Store::Put(const std::string& aTopic,
           const std::string& aKey,
           const std::optional<std::string>& aValue)
{
  {
    const std::lock_guard lock(m_mutex);
    AppendLocked(aTopic, BigEndian(aKey.size(), 1) + aKey + aValue.value_or(""));
  }
  m_changed.notify_all();
}

std::optional<std::string>
Store::Newest(const std::string& aTopic, const std::string& aKey)
{
  const std::lock_guard lock(m_mutex);
  const auto& newest = m_topics[aTopic].m_newest;
  const auto found = newest.find(aKey);
  return found == newest.end() ? std::nullopt : std::optional(found->second.first);
}

void
Store::SetDown(const std::string& aTopic, bool aIsDown)
{
  {
    const std::lock_guard lock(m_mutex);
    if (aIsDown) {
      m_down.insert(aTopic);
    } else {
      m_down.erase(aTopic);
    }
  }
  m_changed.notify_all();
}

void
Store::AppendLocked(const std::string& aTopic, const std::string& aContent)
{
  Topic& topic = m_topics[aTopic];
  const std::size_t key_bytes = static_cast<unsigned char>(aContent.front());
  const std::string key = aContent.substr(1, key_bytes);
  const std::string value = aContent.substr(1 + key_bytes);
  if (value.empty()) {
    topic.m_newest.erase(key);
  } else {
    topic.m_newest[key] = { value, topic.m_records.size() };
  }
  topic.m_records.push_back(aContent);
}

void
Store::Serve(Connection& aConnection, View* aView)
{
  constexpr Milliseconds kForever{ 60'000 };
  while (const auto request = aConnection.ReadRequest()) {
    const bool was_turned_away = IsTurnedAway(aView);
    if (aView != nullptr && request->Query("topic") == "keyed.servers") {
      const std::lock_guard lock(m_mutex);
      ++aView->m_calls;
    }
    const std::string answer = was_turned_away ? "" : Answer(*request);
    if (was_turned_away || IsTurnedAway(aView)) {
      // A connection on which an answer is lost returns nothing further.
      aConnection.WaitForClose(kForever);
      return;
    }
    if (!aConnection.Write(answer)) {
      return;
    }
  }
}

std::string
Store::Answer(const Request& aRequest)
{
  const auto make = [](const std::string& aStatus, const std::string& aBody) {
    return "HTTP/1.1 " + aStatus +
           "\r\nStore-Era: 1\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
           aBody;
  };
  std::unique_lock lock(m_mutex);
  const std::string name = aRequest.Query("topic");
  if (m_down.contains(name)) {
    return make("503 Service Unavailable", "");
  }
  if (aRequest.Path() == "/log-append") {
    Topic& topic = m_topics[name];
    const std::size_t first = topic.m_records.size();
    const std::string at = aRequest.Query("at");
    if (!at.empty() && std::stoul(at) != first) {
      return make("412 Precondition Failed", Json{ { "end_offset", first } }.dump());
    }
    for (std::string rest = aRequest.m_body; rest.size() >= kLengthBytes;) {
      std::size_t length = 0;
      for (std::size_t i = 0; i < kLengthBytes; ++i) {
        length = (length << kBits) | static_cast<unsigned char>(rest[i]);
      }
      AppendLocked(name, rest.substr(kLengthBytes, length));
      rest.erase(0, kLengthBytes + length);
    }
    const Json answer{ { "offset", first }, { "end_offset", topic.m_records.size() } };
    lock.unlock();
    m_changed.notify_all();
    return make("200 OK", answer.dump());
  }
  if (aRequest.Path() == "/log-newest") {
    const Topic& topic = m_topics[name];
    Json items = Json::array();
    for (const auto& [key, newest] : topic.m_newest) {
      items.push_back(
        { { "key", key }, { "value", Base64(newest.first) }, { "offset", newest.second } });
    }
    return make(
      "200 OK",
      Json{ { "items", items }, { "more", false }, { "end_offset", topic.m_records.size() } }
        .dump());
  }
  if (aRequest.Path() == "/log-read") {
    const std::size_t from = std::stoul(aRequest.Query("from"));
    const std::string wait = aRequest.Query("wait_ms");
    m_changed.wait_for(lock, Milliseconds(wait.empty() ? 0 : std::stol(wait)), [&] {
      return m_is_over || m_down.contains(name) || m_topics[name].m_records.size() > from;
    });
    if (m_down.contains(name)) {
      return make("503 Service Unavailable", "");
    }
    const Topic& topic = m_topics[name];
    std::string body = BigEndian(topic.m_records.size(), kBits) + BigEndian(0, kBits);
    for (std::size_t i = from; i < topic.m_records.size(); ++i) {
      body += BigEndian(topic.m_records[i].size(), kLengthBytes) + topic.m_records[i];
    }
    return make("200 OK", body);
  }
  return make("404 Not Found", "");
}

DaemonProcess::DaemonProcess(const std::string& aSettingsPath, const std::string& aLogPath)
{
  m_pid = fork();
  if (m_pid == 0) {
    // Ends with the case, however that ends.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = open(aLogPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    setenv("AUBURNHITCH_BOOT", aSettingsPath.c_str(), 1);
    execl(kProgram, kProgram, static_cast<char*>(nullptr));
    _exit(kCouldNotRun);
  }
}

DaemonProcess::~DaemonProcess()
{
  if (!HasEnded()) {
    kill(m_pid, SIGKILL);
    waitpid(m_pid, nullptr, 0);
  }
}

void
DaemonProcess::Signal(int aSignal) const
{
  if (!m_has_ended) {
    kill(m_pid, aSignal);
  }
}

bool
DaemonProcess::HasEnded()
{
  m_has_ended = m_has_ended || m_pid <= 0 || waitpid(m_pid, &m_status, WNOHANG) == m_pid;
  return m_has_ended;
}

std::string
DaemonProcess::End() const
{
  return WIFSIGNALED(m_status) ? "by signal " + std::to_string(WTERMSIG(m_status))
                               : "with status " + std::to_string(WEXITSTATUS(m_status));
}

Response
ParseResponse(const std::string& aBytes)
{
  Response response;
  const auto end = aBytes.find("\r\n\r\n");
  constexpr std::size_t kStatusAt = 9;
  constexpr int kHexadecimal = 16;
  if (end == std::string::npos) {
    return response;
  }
  response.m_status = std::stoi(aBytes.substr(kStatusAt));
  response.m_head = aBytes.substr(0, end + 2);
  std::string rest = aBytes.substr(end + 4);
  const std::string lower = Lower(response.m_head);
  if (lower.find("\r\ntransfer-encoding: chunked\r\n") == std::string::npos) {
    const auto at = lower.find("\r\ncontent-length: ");
    constexpr std::size_t kNameBytes = 18;
    response.m_body = rest;
    response.m_is_complete =
      at != std::string::npos && std::stoul(lower.substr(at + kNameBytes)) == rest.size();
    return response;
  }
  for (auto line = rest.find("\r\n"); line != std::string::npos; line = rest.find("\r\n")) {
    const std::size_t size = std::stoul(rest.substr(0, line), nullptr, kHexadecimal);
    rest.erase(0, line + 2);
    if (size == 0) {
      response.m_is_complete = rest == "\r\n";
      break;
    }
    response.m_body += rest.substr(0, size);
    rest.erase(0, size + 2);
  }
  return response;
}

int
ConnectTo(const std::string& aAddress)
{
  const int connected = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in name = ToName(aAddress);
  if (connect(connected, reinterpret_cast<const sockaddr*>(&name), sizeof(name)) != 0) {
    close(connected);
    return -1;
  }
  return connected;
}

Response
Call(const std::string& aAddress, const std::string& aBytes, Milliseconds aMaxSilence)
{
  const int connected = ConnectTo(aAddress);
  if (connected < 0) {
    return {};
  }
  Connection connection(connected);
  connection.Write(aBytes);
  return ParseResponse(connection.ReadAll(aMaxSilence));
}

std::string
FreeAddress()
{
  // Not given out twice: the kernel may choose a port again that was closed.
  static std::set<int> s_used;
  while (true) {
    int port = 0;
    close(Listen(port, ""));
    if (s_used.insert(port).second) {
      return "127.0.0.1:" + std::to_string(port);
    }
  }
}

Deployment::Deployment(Record& aRecord, std::size_t aDaemons, bool aRecordsRequests)
  : m_record(aRecord)
  , m_records_requests(aRecordsRequests)
{
  std::string path = (std::filesystem::temp_directory_path() / "auburnhitch-case-XXXXXX").string();
  if (mkdtemp(path.data()) == nullptr) {
    std::perror("mkdtemp");
    std::exit(kCouldNotRun);
  }
  m_directory = path;
  for (std::size_t i = 0; i < aDaemons; ++i) {
    Host& host = m_daemons.emplace_back();
    for (std::size_t port = 0; port < kAddresses; ++port) {
      host.m_addresses.push_back(FreeAddress());
    }
  }
}

Deployment::~Deployment()
{
  for (std::size_t i = 0; i < m_daemons.size(); ++i) {
    m_daemons[i].m_process = nullptr;
    std::ifstream log(PathOf(i, ".log"));
    for (std::string line; std::getline(log, line);) {
      const bool is_of_request = line.find("request=") != std::string::npos;
      if ((is_of_request && m_records_requests) || line.find("event=home") != std::string::npos ||
          line.find("event=peers-heard") != std::string::npos ||
          line.find(" store: ") != std::string::npos ||
          line.find(" registry: ") != std::string::npos ||
          line.find(" reach: ") != std::string::npos) {
        m_record.Add("log of daemon " + std::to_string(i) + ": " + line);
      }
    }
  }
  std::error_code ignored;
  std::filesystem::remove_all(m_directory, ignored);
}

std::string
Deployment::ZoneOf(std::size_t aDaemon) const
{
  constexpr std::size_t kZones = 3;
  return "zone-" + std::to_string(aDaemon % kZones);
}

void
Deployment::Configure(const Json& aRoutes, int aTokensPerSecond, int aBurst)
{
  const Json configuration{
    { "version", ++m_version },
    { "routes", aRoutes },
    { "services",
      { { { "name", kService }, { "max_conns", 360 }, { "health_path", "/healthz" } } } },
    { "limits",
      { { "max_header_bytes", 16384 },
        { "max_body_bytes", 4194304 },
        { "header_timeout_ms", 3000 },
        { "idle_timeout_ms", 15000 } } },
    { "tenants",
      { { { "name", "hule930" },
          { "api_keys", { kKey } },
          { "unit", "tokens" },
          { "rate_per_s", aTokensPerSecond },
          { "burst", aBurst } } } }
  };
  m_store.Put("keyed.op", "config", configuration.dump());
}

void
Deployment::Register(const std::string& aId,
                     const std::string& aAddress,
                     const std::string& aZone,
                     const std::string& aVersion)
{
  m_store.Put("keyed.servers",
              aId,
              Json{ { "service", kService },
                    { "address", aAddress },
                    { "zone", aZone },
                    { "version", aVersion },
                    { "slots", 4 },
                    { "state", "ready" },
                    { "cold_left_ms", 0 },
                    { "seq", 1 },
                    { "born", UnixMilliseconds() } }
                .dump());
}

bool
Deployment::Start(std::size_t aCount)
{
  for (std::size_t i = 0; i < aCount; ++i) {
    StartOne(i);
  }
  const auto until = Clock::now() + kStartTime;
  for (std::size_t i = 0; i < aCount; ++i) {
    while (!IsReady(i)) {
      if (Clock::now() > until) {
        m_record.Add("the daemons did not become ready");
        return false;
      }
      std::this_thread::sleep_for(kPoll);
    }
  }
  return true;
}

std::string
Deployment::PathOf(std::size_t aDaemon, const char* aSuffix) const
{
  return m_directory + "/" + std::to_string(aDaemon) + aSuffix;
}

void
Deployment::UseStoreViews()
{
  for (std::size_t i = 0; i < m_daemons.size(); ++i) {
    m_views.push_back(m_store.AddView());
  }
}

std::string
Deployment::LogOf(std::size_t aDaemon) const
{
  std::stringstream text;
  text << std::ifstream(PathOf(aDaemon, ".log")).rdbuf();
  return text.str();
}

void
Deployment::StartOne(std::size_t aDaemon)
{
  const std::vector<std::string>& addresses = m_daemons.at(aDaemon).m_addresses;
  const Json bounds{ { "drain_ms", 2000 },         { "stop_grace_s", 8 },
                     { "most_retry_after_s", 10 }, { "directory_lifetime_s", 5 },
                     { "retry_ratio", 0.2 },       { "retry_slack", 52 },
                     { "retry_window_s", 10 },     { "quota_overage", 0.1 },
                     { "quota_window_s", 8 },      { "quota_slack_tokens", 190000 } };
  const Json contracts{ "base",   "drain",  "config",  "cost",  "retry",   "recover",
                        "engine", "stream", "tenants", "quota", "platform" };
  const Json settings{
    { "gateway",
      { { "host", m_host_prefix + std::to_string(aDaemon) },
        { "data_center", ZoneOf(aDaemon) },
        { "caller_address", addresses[0] },
        { "readiness_address", addresses[1] },
        { "directory_address", addresses[2] },
        { "metrics_address", addresses[3] },
        { "peer_address", addresses[4] },
        { "store_address", m_views.empty() ? m_store.Address() : m_views[aDaemon] },
        { "max_memory_mb", 260 },
        { "max_descriptors", 4100 },
        { "processor_share", 0.25 },
        { "processor_cores", 1 },
        { "contracts", contracts },
        { "bounds", bounds } } }
  };
  std::ofstream(PathOf(aDaemon, ".json")) << settings;
  m_daemons.at(aDaemon).m_process =
    std::make_unique<DaemonProcess>(PathOf(aDaemon, ".json"), PathOf(aDaemon, ".log"));
}

bool
Deployment::IsReady(std::size_t aDaemon) const
{
  constexpr Milliseconds kMaxSilence{ 500 };
  return Call(m_daemons.at(aDaemon).m_addresses[1],
              "GET /readyz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
              kMaxSilence)
           .m_status == 200;
}

std::string
Deployment::FrontAddress(std::size_t aDaemon) const
{
  return m_daemons.at(aDaemon).m_addresses.front();
}

std::int64_t
UnixMilliseconds()
{
  return std::chrono::duration_cast<Milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

Json
RouteOf(const std::string& aName, const std::string& aKind, bool aIsResumable)
{
  return {
    { "name", aName },       { "host", "ficu95.example" },  { "path_prefix", "/" + aName + "/" },
    { "route_kind", aKind }, { "timeout_ms", 8000 },        { "slo_ms", 800 },
    { "priority", 0 },       { "service", kService },       { "attempts", 2 },
    { "public", false },     { "resumable", aIsResumable }, { "target_gap_ms", 400 }
  };
}

std::string
RequestText(const std::string& aPath,
            const std::string& aId,
            const std::string& aMoreHeaders,
            const std::string& aBody)
{
  return "POST " + aPath + " HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: " + aId +
         "\r\nX-Deadline-Ms: 8000\r\nAuthorization: Bearer " + kKey + "\r\n" + aMoreHeaders +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

}
