#include "Net.h"

#include <algorithm>
#include <arpa/inet.h>
#include <chrono>
#include <csignal>
#include <fstream>
#include <memory>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

constexpr int kListenBacklog = 128;
constexpr int kEthernetSegmentBytes = 1'460;
constexpr std::size_t kReadBytes = 64 << 10;

std::mutex s_record_mutex;
std::ofstream s_record;
const auto kStartedAt = std::chrono::steady_clock::now();

sockaddr_in
ToSockaddr(const std::string& aAddress)
{
  const auto colon = aAddress.find(':');
  sockaddr_in name{};
  name.sin_family = AF_INET;
  inet_pton(AF_INET, aAddress.substr(0, colon).c_str(), &name.sin_addr);
  name.sin_port = htons(static_cast<std::uint16_t>(std::stoi(aAddress.substr(colon + 1))));
  return name;
}

int
Listen(const std::string& aAddress)
{
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int enabled = 1;
  setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
  const sockaddr_in name = ToSockaddr(aAddress);
  if (bind(descriptor, reinterpret_cast<const sockaddr*>(&name), sizeof(name)) != 0 ||
      listen(descriptor, kListenBacklog) != 0) {
    throw std::runtime_error("can't listen at " + aAddress);
  }
  return descriptor;
}

std::string
AddressOf(int aDescriptor)
{
  sockaddr_in name{};
  socklen_t size = sizeof(name);
  getsockname(aDescriptor, reinterpret_cast<sockaddr*>(&name), &size);
  char text[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &name.sin_addr, text, sizeof(text));
  return std::string(text) + ":" + std::to_string(ntohs(name.sin_port));
}

std::string
Lower(std::string aText)
{
  std::transform(aText.begin(), aText.end(), aText.begin(), [](unsigned char aCharacter) {
    return static_cast<char>(std::tolower(aCharacter));
  });
  return aText;
}

}

std::int64_t
NowMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() -
                                                               kStartedAt)
    .count();
}

void
SleepMs(int aMilliseconds)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMilliseconds));
}

void
OpenRecord(const std::string& aPath)
{
  std::signal(SIGPIPE, SIG_IGN);
  s_record.open(aPath, std::ios::trunc);
}

void
Record(const std::string& aLine)
{
  const std::lock_guard lock(s_record_mutex);
  s_record << NowMs() << " ms  " << aLine << std::endl;
}

Socket::~Socket()
{
  close(m_descriptor);
}

std::unique_ptr<Socket>
Socket::Connect(const std::string& aAddress, int aReceiveBytes)
{
  auto connected = std::make_unique<Socket>(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const int enabled = 1;
  setsockopt(connected->m_descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
  if (aReceiveBytes > 0) {
    // As over an Ethernet link, not over loopback with its segments of 64 KiB.
    setsockopt(connected->m_descriptor,
               IPPROTO_TCP,
               TCP_MAXSEG,
               &kEthernetSegmentBytes,
               sizeof(kEthernetSegmentBytes));
    setsockopt(
      connected->m_descriptor, SOL_SOCKET, SO_RCVBUF, &aReceiveBytes, sizeof(aReceiveBytes));
  }
  const sockaddr_in name = ToSockaddr(aAddress);
  if (connect(connected->m_descriptor, reinterpret_cast<const sockaddr*>(&name), sizeof(name)) !=
      0) {
    return nullptr;
  }
  return connected;
}

bool
Socket::Write(const std::string& aBytes) const
{
  std::size_t written = 0;
  while (written < aBytes.size()) {
    const ssize_t size =
      send(m_descriptor, aBytes.data() + written, aBytes.size() - written, MSG_NOSIGNAL);
    if (size <= 0) {
      return false;
    }
    written += static_cast<std::size_t>(size);
  }
  return true;
}

std::string
Socket::Read(std::size_t aMax, int aTimeoutMs)
{
  pollfd waiting{ m_descriptor, POLLIN, 0 };
  m_has_timed_out = poll(&waiting, 1, std::max(0, aTimeoutMs)) == 0;
  if (m_has_timed_out) {
    return "";
  }
  std::string bytes(aMax, '\0');
  const ssize_t size = recv(m_descriptor, bytes.data(), bytes.size(), 0);
  bytes.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
  return bytes;
}

void
Socket::Reset()
{
  const linger discard_unsent{ 1, 0 };
  setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &discard_unsent, sizeof(discard_unsent));
  // Ends calls of other threads that wait for bytes; the descriptor stays until destruction.
  shutdown(m_descriptor, SHUT_RDWR);
}

bool
Socket::WaitForClose(int aTimeoutMs)
{
  const std::int64_t until = NowMs() + aTimeoutMs;
  while (NowMs() < until) {
    if (Read(kReadBytes, static_cast<int>(until - NowMs())).empty() && !m_has_timed_out) {
      return true;
    }
  }
  return false;
}

std::string
Message::Header(const std::string& aName) const
{
  for (const auto& [name, value] : m_headers) {
    if (Lower(name) == Lower(aName)) {
      return value;
    }
  }
  return "";
}

std::string
Message::Method() const
{
  return m_first_line.substr(0, m_first_line.find(' '));
}

std::string
Message::Target() const
{
  const auto first = m_first_line.find(' ');
  return m_first_line.substr(first + 1, m_first_line.rfind(' ') - first - 1);
}

std::string
Message::Path() const
{
  const std::string target = Target();
  return target.substr(0, target.find('?'));
}

std::string
Message::Query(const std::string& aName) const
{
  const std::string target =
    "&" + Target().substr(std::min(Target().size(), Target().find('?') + 1));
  const auto at = target.find("&" + aName + "=");
  if (at == std::string::npos) {
    return "";
  }
  const auto from = at + aName.size() + 2;
  return target.substr(from, target.find('&', from) - from);
}

int
Message::Status() const
{
  constexpr std::size_t kStatusAt = 9;
  return m_first_line.size() > kStatusAt ? std::atoi(m_first_line.c_str() + kStatusAt) : 0;
}

bool
MessageReader::Fill(int aBytesPerSecond)
{
  constexpr int kSlicesPerSecond = 50;
  std::size_t size = kReadBytes;
  if (aBytesPerSecond > 0) {
    size = static_cast<std::size_t>(aBytesPerSecond / kSlicesPerSecond);
    SleepMs(1'000 / kSlicesPerSecond);
  }
  const std::string bytes = m_socket.Read(size, static_cast<int>(m_until_ms - NowMs()));
  m_bytes += bytes;
  return !bytes.empty();
}

bool
MessageReader::ReadChunks(Message& aMessage, int aBytesPerSecond)
{
  while (true) {
    std::size_t line_end = 0;
    while ((line_end = m_bytes.find("\r\n")) == std::string::npos) {
      if (!Fill(aBytesPerSecond)) {
        return false;
      }
    }
    const std::size_t size = std::stoul(m_bytes.substr(0, line_end), nullptr, 16);
    while (m_bytes.size() < line_end + 2 + size + 2) {
      if (!Fill(aBytesPerSecond)) {
        return false;
      }
    }
    aMessage.m_body += m_bytes.substr(line_end + 2, size);
    m_bytes.erase(0, line_end + 2 + size + 2);
    if (size == 0) {
      return true;
    }
  }
}

std::optional<Message>
MessageReader::Next(int aTimeoutMs, int aBytesPerSecond)
{
  m_until_ms = NowMs() + aTimeoutMs;
  std::size_t head_end = 0;
  while ((head_end = m_bytes.find("\r\n\r\n")) == std::string::npos) {
    if (!Fill(aBytesPerSecond)) {
      return std::nullopt;
    }
  }
  Message message;
  std::size_t at = m_bytes.find("\r\n");
  message.m_first_line = m_bytes.substr(0, at);
  while (at < head_end) {
    const std::size_t from = at + 2;
    at = m_bytes.find("\r\n", from);
    const std::string line = m_bytes.substr(from, at - from);
    const auto colon = line.find(':');
    message.m_headers.emplace_back(
      line.substr(0, colon),
      line.substr(std::min(line.size(), line.find_first_not_of(' ', colon + 1))));
  }
  m_bytes.erase(0, head_end + 4);
  if (message.Header("Transfer-Encoding") == "chunked") {
    message.m_is_complete = ReadChunks(message, aBytesPerSecond);
    return message;
  }
  const std::string length = message.Header("Content-Length");
  const std::size_t size = length.empty() ? 0 : std::stoul(length);
  while (m_bytes.size() < size && Fill(aBytesPerSecond)) {
  }
  message.m_is_complete = m_bytes.size() >= size;
  message.m_body = m_bytes.substr(0, size);
  m_bytes.erase(0, size);
  return message;
}

std::string
MakeResponse(int aStatus, const std::string& aHeaders, const std::string& aBody)
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " Status\r\n" + aHeaders +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

Server::Server(const std::string& aIp, Handler aHandler)
  : m_handler(std::move(aHandler))
  , m_listener(Listen(aIp + ":0"))
{
  m_address = AddressOf(m_listener);
  m_acceptor = std::thread([this] { Accept(); });
}

Server::~Server()
{
  {
    const std::lock_guard lock(m_mutex);
    m_is_stopping = true;
  }
  SetClosed(true);
  shutdown(m_listener, SHUT_RDWR);
  m_acceptor.join();
  close(m_listener);
}

void
Server::SetClosed(bool aIsClosed)
{
  const std::lock_guard lock(m_mutex);
  m_is_closed = aIsClosed;
  if (aIsClosed) {
    for (const auto& open : m_open) {
      open->Reset();
    }
    m_open.clear();
  }
}

void
Server::Refuse()
{
  SetClosed(true);
  // A socket that no longer listens refuses connections.
  shutdown(m_listener, SHUT_RDWR);
}

void
Server::Accept()
{
  while (true) {
    const int descriptor = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
    const std::lock_guard lock(m_mutex);
    if (m_is_stopping || descriptor < 0) {
      if (descriptor >= 0) {
        close(descriptor);
      }
      return;
    }
    const int enabled = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    auto accepted = std::make_shared<Socket>(descriptor);
    if (m_is_closed) {
      accepted->Reset();
      continue;
    }
    m_open.push_back(accepted);
    // The threads of connections end with their connections, at the latest with the process.
    std::thread([this, accepted] {
      m_handler(*accepted);
      const std::lock_guard closing(m_mutex);
      std::erase(m_open, accepted);
    }).detach();
  }
}

std::string
FreeAddress(const std::string& aIp)
{
  const int descriptor = Listen(aIp + ":0");
  std::string address = AddressOf(descriptor);
  close(descriptor);
  return address;
}

}
