#include "Deployment.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr int kConnectionLifetimeMs = 120'000;
constexpr int kReadyTimeoutMs = 20'000;

std::string
BigEndian(std::uint64_t aNumber, int aBytes)
{
  constexpr int kBitsPerByte = 8;
  std::string bytes;
  for (int i = aBytes - 1; i >= 0; --i) {
    bytes.push_back(static_cast<char>(aNumber >> (kBitsPerByte * i)));
  }
  return bytes;
}

std::string
Base64(const std::string& aBytes)
{
  static const char* const s_digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t at = 0; at < aBytes.size(); at += 3) {
    const std::size_t count = std::min<std::size_t>(3, aBytes.size() - at);
    unsigned group = 0;
    for (std::size_t i = 0; i < 3; ++i) {
      group = (group << 8U) | (i < count ? static_cast<unsigned char>(aBytes[at + i]) : 0U);
    }
    for (std::size_t i = 0; i < 4; ++i) {
      text.push_back(i <= count ? s_digits[(group >> (18U - 6U * i)) & 63U] : '=');
    }
  }
  return text;
}

std::string
Replaced(std::string aText, const std::map<std::string, std::string>& aReplacements)
{
  for (const auto& [from, to] : aReplacements) {
    for (auto at = aText.find(from); at != std::string::npos;
         at = aText.find(from, at + to.size())) {
      aText.replace(at, from.size(), to);
    }
  }
  return aText;
}

}

Store::Store(const std::string& aIp)
  : m_server(aIp, [this](Socket& aSocket) { Serve(aSocket, {}); })
{
}

std::string
Store::AddView(const std::string& aIp, std::map<std::string, std::string> aReplacements)
{
  m_views.push_back(
    std::make_unique<Server>(aIp, [this, replacements = std::move(aReplacements)](Socket& aSocket) {
      Serve(aSocket, replacements);
    }));
  return m_views.back()->Address();
}

std::size_t
Store::Put(const std::string& aTopic, const std::string& aKey, const std::string& aValue)
{
  const std::lock_guard lock(m_mutex);
  Topic& topic = m_topics[aTopic];
  topic.m_records.push_back(BigEndian(aKey.size(), 1) + aKey + aValue);
  if (aValue.empty()) {
    topic.m_newest.erase(aKey);
  } else {
    topic.m_newest[aKey] = aValue;
  }
  m_changed.notify_all();
  return topic.m_records.size() - 1;
}

std::size_t
Store::End(const std::string& aTopic) const
{
  const std::lock_guard lock(m_mutex);
  const auto found = m_topics.find(aTopic);
  return found == m_topics.end() ? 0 : found->second.m_records.size();
}

Store::Copy
Store::TakeCopy() const
{
  const std::lock_guard lock(m_mutex);
  return m_topics;
}

void
Store::RestoreFrom(const Copy& aCopy, int aAwayMs)
{
  m_server.SetClosed(true);
  SleepMs(aAwayMs);
  {
    const std::lock_guard lock(m_mutex);
    m_topics = aCopy;
    ++m_era;
    m_changed.notify_all();
  }
  m_server.SetClosed(false);
}

void
Store::GoAway(int aAwayMs)
{
  m_server.SetClosed(true);
  SleepMs(aAwayMs);
  m_server.SetClosed(false);
}

void
Store::Serve(Socket& aSocket, const std::map<std::string, std::string>& aReplacements)
{
  MessageReader reader(aSocket);
  while (const auto request = reader.Next(kConnectionLifetimeMs)) {
    if (!aSocket.Write(Reply(*request, aReplacements))) {
      return;
    }
  }
}

std::string
Store::Reply(const Message& aRequest, const std::map<std::string, std::string>& aReplacements)
{
  if (aRequest.Path() == "/log-read") {
    return ReplyToRead(aRequest, aReplacements);
  }
  if (aRequest.Path() == "/log-newest") {
    return ReplyToNewest(aRequest, aReplacements);
  }
  if (aRequest.Path() == "/log-append") {
    return ReplyToAppend(aRequest);
  }
  return MakeResponse(404, "", "");
}

std::string
Store::ReplyToRead(const Message& aRequest, const std::map<std::string, std::string>& aReplacements)
{
  std::unique_lock lock(m_mutex);
  const std::string name = aRequest.Query("topic");
  const std::size_t from = std::stoul(aRequest.Query("from"));
  const std::string wait_text = aRequest.Query("wait_ms");
  const int era = m_era;
  m_changed.wait_for(lock,
                     std::chrono::milliseconds(wait_text.empty() ? 0 : std::stoi(wait_text)),
                     [&] { return m_era != era || m_topics[name].m_records.size() != from; });
  const std::string era_header = "Store-Era: " + std::to_string(m_era) + "\r\n";
  const Topic& topic = m_topics[name];
  if (from > topic.m_records.size()) {
    return MakeResponse(410, era_header, R"({"first_offset":0})");
  }
  std::string body = BigEndian(topic.m_records.size(), 8) + BigEndian(0, 8);
  for (std::size_t at = from; at < topic.m_records.size(); ++at) {
    const std::string record = Replaced(topic.m_records[at], aReplacements);
    body += BigEndian(record.size(), 4) + record;
  }
  return MakeResponse(200, era_header, body);
}

std::string
Store::ReplyToNewest(const Message& aRequest,
                     const std::map<std::string, std::string>& aReplacements)
{
  const std::lock_guard lock(m_mutex);
  const Topic& topic = m_topics[aRequest.Query("topic")];
  std::string items;
  for (const auto& [key, value] : topic.m_newest) {
    items += (items.empty() ? R"({"key":")" : R"(,{"key":")") + key + R"(","value":")" +
             Base64(Replaced(value, aReplacements)) + R"(","offset":0})";
  }
  return MakeResponse(200,
                      "Store-Era: " + std::to_string(m_era) + "\r\n",
                      R"({"items":[)" + items + R"(],"more":false,"end_offset":)" +
                        std::to_string(topic.m_records.size()) + "}");
}

std::string
Store::ReplyToAppend(const Message& aRequest)
{
  constexpr std::size_t kLengthBytes = 4;
  const std::string name = aRequest.Query("topic");
  if (name == "keyed.op" || name == "keyed.servers") {
    return MakeResponse(403, "", "");
  }
  const std::string& body = aRequest.m_body;
  std::size_t first = 0;
  std::size_t count = 0;
  for (std::size_t at = 0; at + kLengthBytes < body.size(); ++count) {
    std::size_t length = 0;
    for (std::size_t i = 0; i < kLengthBytes; ++i) {
      length = (length << 8U) | static_cast<unsigned char>(body[at + i]);
    }
    const std::string record = body.substr(at + kLengthBytes, length);
    const auto key_bytes = static_cast<unsigned char>(record.at(0));
    const std::size_t offset = Put(name, record.substr(1, key_bytes), record.substr(1 + key_bytes));
    first = count == 0 ? offset : first;
    at += kLengthBytes + length;
  }
  const std::lock_guard lock(m_mutex);
  return MakeResponse(200,
                      "Store-Era: " + std::to_string(m_era) + "\r\n",
                      R"({"offset":)" + std::to_string(first) + R"(,"end_offset":)" +
                        std::to_string(first + count) + "}");
}

AppServer::AppServer(const std::string& aIp, std::string aId, std::string aService)
  : m_ip(aIp)
  , m_id(std::move(aId))
  , m_service(std::move(aService))
  , m_born_ms(std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::system_clock::now().time_since_epoch())
                .count())
  , m_work([](const Message& aRequest) { return "answer to " + aRequest.Header("X-Request-Id"); })
  , m_server(std::make_unique<Server>(aIp, [this](Socket& aSocket) { Serve(aSocket); }))
{
}

std::string
AppServer::AddPath()
{
  m_path = std::make_unique<Server>(m_ip, [this](Socket& aSocket) { Serve(aSocket); });
  return m_path->Address();
}

void
AppServer::SetWork(Work aWork)
{
  const std::lock_guard lock(m_mutex);
  m_work = std::move(aWork);
}

std::string
AppServer::Entry(const std::string& aState) const
{
  return R"({"service":")" + m_service + R"(","address":")" + Address() +
         R"(","zone":"zona-a","version":"v1","slots":6,"state":")" + aState +
         R"(","cold_left_ms":0,"seq":1,"born":)" + std::to_string(m_born_ms) + "}";
}

std::vector<Run>
AppServer::Runs() const
{
  const std::lock_guard lock(m_mutex);
  return m_runs;
}

int
AppServer::RunsOf(const std::string& aRequestId) const
{
  const std::lock_guard lock(m_mutex);
  return static_cast<int>(std::count_if(m_runs.begin(), m_runs.end(), [&](const Run& aRun) {
    return aRun.m_request_id == aRequestId;
  }));
}

void
AppServer::Serve(Socket& aSocket)
{
  MessageReader reader(aSocket);
  while (const auto request = reader.Next(kConnectionLifetimeMs)) {
    if (!request->m_is_complete) {
      return;
    }
    const std::string id = request->Header("X-Request-Id");
    const std::string echo = "X-Request-Id: " + id + "\r\n";
    std::string sealed = echo;
    sealed.append("X-Response-Seal: ").append(m_id).append(".").append(id).append("\r\n");
    const std::string expected = request->Header("X-Expect-Instance");
    if (!expected.empty() && expected != m_id) {
      aSocket.Write(MakeResponse(421, echo + "X-Not-Executed: 1\r\n", ""));
      continue;
    }
    Work work;
    {
      const std::lock_guard lock(m_mutex);
      m_runs.push_back(
        { NowMs(), id, request->Path(), request->Header("X-Tenant"), request->m_body });
      work = m_work;
    }
    Record("server " + m_id + " runs " + id + " " + request->Method() + " " + request->Path() +
           " tenant " + request->Header("X-Tenant"));
    const std::string body = work(*request);
    if (!aSocket.Write(MakeResponse(200, sealed, body))) {
      return;
    }
  }
}

DaemonProcess::DaemonProcess(std::string aProgram,
                             const std::string& aDirectory,
                             const DaemonOptions& aOptions)
  : m_program(std::move(aProgram))
  , m_host(aOptions.m_host)
  , m_caller_address(FreeAddress(aOptions.m_ip))
  , m_readiness_address(FreeAddress(aOptions.m_ip))
  , m_settings_path(aDirectory + "/" + aOptions.m_host + ".json")
  , m_log_path(aDirectory + "/" + aOptions.m_host + ".log")
{
  // What platform/settings.template.json gives for a small deployment.
  std::ofstream settings(m_settings_path);
  settings << R"({"gateway": {"host": ")" << m_host << R"(", "data_center": ")" << aOptions.m_zone
           << R"(", "caller_address": ")" << m_caller_address << R"(", "readiness_address": ")"
           << m_readiness_address << R"(", "directory_address": ")" << FreeAddress(aOptions.m_ip)
           << R"(", "metrics_address": ")" << FreeAddress(aOptions.m_ip)
           << R"(", "peer_address": ")" << FreeAddress(aOptions.m_ip) << R"(", "store_address": ")"
           << aOptions.m_store_address << R"(", "max_descriptors": 1024, "processor_share": )"
           << aOptions.m_processor_share << R"(, "processor_cores": 1,
  "bounds": {"drain_ms": 2000, "stop_grace_s": 8, "most_retry_after_s": 10,
    "directory_lifetime_s": 5, "retry_ratio": 0.2, "retry_slack": 52, "retry_window_s": 10,
    "quota_overage": 0.1, "quota_slack_tokens": 190000, "quota_window_s": 8}}})"
           << "\n";
}

DaemonProcess::~DaemonProcess()
{
  if (m_process > 0 && !HasEnded()) {
    Signal(SIGCONT);
    Signal(SIGKILL);
    waitpid(m_process, nullptr, 0);
  }
}

void
DaemonProcess::Start()
{
  m_process = fork();
  if (m_process == 0) {
    // Ends with the case, however that ends.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = open(m_log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    setenv("AUBURNHITCH_BOOT", m_settings_path.c_str(), 1);
    execl(m_program.c_str(), m_program.c_str(), nullptr);
    _exit(127);
  }
  Record("started " + m_host);
}

void
DaemonProcess::Signal(int aSignal) const
{
  if (m_process > 0) {
    kill(m_process, aSignal);
  }
}

bool
DaemonProcess::HasEnded()
{
  if (m_process > 0 && waitpid(m_process, nullptr, WNOHANG) == m_process) {
    m_process = -1;
  }
  return m_process <= 0;
}

bool
DaemonProcess::IsReady() const
{
  const auto socket = Socket::Connect(m_readiness_address);
  if (socket == nullptr || !socket->Write("GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n")) {
    return false;
  }
  const auto answer = MessageReader(*socket).Next(1'000);
  return answer && answer->Status() == 200;
}

std::string
DaemonProcess::Log() const
{
  std::stringstream text;
  text << std::ifstream(m_log_path).rdbuf();
  return text.str();
}

std::string
BytesOf(const Call& aCall)
{
  return aCall.m_method + " " + aCall.m_path +
         " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + aCall.m_request_id +
         "\r\nX-Deadline-Ms: " + std::to_string(aCall.m_deadline_ms) +
         "\r\nAuthorization: Bearer " + aCall.m_key +
         "\r\nContent-Length: " + std::to_string(aCall.m_body.size()) + "\r\n\r\n" + aCall.m_body;
}

Answer
ToAnswer(const std::optional<Message>& aMessage)
{
  if (!aMessage) {
    return {};
  }
  return { aMessage->Status(),
           aMessage->m_is_complete,
           aMessage->Header("X-Response-Seal"),
           aMessage->Header("X-Request-Id"),
           aMessage->m_body };
}

Answer
Send(const std::string& aAddress, const Call& aCall)
{
  const auto socket = Socket::Connect(aAddress);
  if (socket == nullptr || !socket->Write(BytesOf(aCall))) {
    return {};
  }
  return ToAnswer(MessageReader(*socket).Next(aCall.m_deadline_ms + 500));
}

bool
WaitUntilReady(const std::vector<std::unique_ptr<DaemonProcess>>& aDaemons)
{
  const std::int64_t until = NowMs() + kReadyTimeoutMs;
  while (NowMs() < until) {
    if (std::all_of(aDaemons.begin(), aDaemons.end(), [](const auto& aDaemon) {
          return aDaemon->IsReady();
        })) {
      return true;
    }
    SleepMs(50);
  }
  return false;
}

bool
HasTrouble()
{
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

}
