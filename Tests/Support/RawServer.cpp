#include "RawServer.h"

#include <LibHttp/HttpServer.h>
#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <csignal>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace auburnhitch::tests {

namespace {

// Only reached if the peer hangs.
constexpr int kReadTimeoutSeconds = 10;

void
SetReadTimeout(int aSocket)
{
  const timeval timeout{ kReadTimeoutSeconds, 0 };
  setsockopt(aSocket, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
}

}

std::string
RawRequest::Header(const std::string& aName) const
{
  for (const auto& [name, value] : m_headers) {
    if (name == aName) {
      return value;
    }
  }
  return "";
}

std::string
RawRequest::Query(const std::string& aName) const
{
  const auto query_begin = m_target.find('?');
  if (query_begin == std::string::npos) {
    return "";
  }
  for (const absl::string_view parameter : absl::StrSplit(m_target.substr(query_begin + 1), '&')) {
    const std::pair<std::string, std::string> pair =
      absl::StrSplit(parameter, absl::MaxSplits('=', 1));
    if (pair.first == aName) {
      return pair.second;
    }
  }
  return "";
}

RawConnection::RawConnection(int aSocket)
  : m_socket(aSocket)
{
}

RawConnection::~RawConnection()
{
  Close();
}

bool
RawConnection::ReadMore()
{
  std::array<char, 16'384> buffer{};
  const ssize_t size = recv(m_socket, buffer.data(), buffer.size(), 0);
  if (size <= 0) {
    return false;
  }
  m_buffer.append(buffer.data(), static_cast<std::size_t>(size));
  return true;
}

std::optional<RawRequest>
RawConnection::ReadHead()
{
  while (m_buffer.find("\r\n\r\n") == std::string::npos) {
    if (!ReadMore()) {
      return std::nullopt;
    }
  }
  const auto end = m_buffer.find("\r\n\r\n");
  const std::vector<std::string> lines = absl::StrSplit(m_buffer.substr(0, end), "\r\n");
  m_buffer.erase(0, end + 4);
  const std::vector<std::string> start = absl::StrSplit(lines.front(), ' ');
  RawRequest request;
  request.m_method = start.at(0);
  request.m_target = start.at(1);
  for (std::size_t i = 1; i < lines.size(); ++i) {
    const std::pair<std::string, std::string> field =
      absl::StrSplit(lines[i], absl::MaxSplits(": ", 1));
    request.m_headers.emplace_back(absl::AsciiStrToLower(field.first), field.second);
  }
  return request;
}

std::optional<RawRequest>
RawConnection::ReadRequest()
{
  auto request = ReadHead();
  if (!request) {
    return std::nullopt;
  }
  std::size_t length = 0;
  if (!absl::SimpleAtoi(request->Header("content-length"), &length)) {
    return request;
  }
  request->m_body = ReadBytes(length);
  return request->m_body.size() == length ? request : std::nullopt;
}

std::string
RawConnection::ReadBytes(std::size_t aSize)
{
  while (m_buffer.size() < aSize && ReadMore()) {
  }
  std::string bytes = m_buffer.substr(0, aSize);
  m_buffer.erase(0, bytes.size());
  return bytes;
}

bool
RawConnection::Write(const std::string& aBytes)
{
  std::size_t written = 0;
  while (written < aBytes.size()) {
    const ssize_t size =
      send(m_socket, aBytes.data() + written, aBytes.size() - written, MSG_NOSIGNAL);
    if (size <= 0) {
      return false;
    }
    written += static_cast<std::size_t>(size);
  }
  return true;
}

void
RawConnection::WaitForClose()
{
  while (ReadMore()) {
    m_buffer.clear();
  }
}

void
RawConnection::Close()
{
  if (m_socket >= 0) {
    shutdown(m_socket, SHUT_RDWR);
    close(m_socket);
    m_socket = -1;
  }
}

void
RawConnection::FinishWriting()
{
  shutdown(m_socket, SHUT_WR);
}

void
RawConnection::Reset()
{
  const linger now{ 1, 0 };
  setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
  close(m_socket);
  m_socket = -1;
}

RawServer::RawServer(Handler aHandler)
  : m_handler(std::move(aHandler))
  , m_listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
  sockaddr_in name{};
  name.sin_family = AF_INET;
  name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(name);
  constexpr int kBacklog = 64;
  if (bind(m_listener, reinterpret_cast<const sockaddr*>(&name), size) != 0 ||
      listen(m_listener, kBacklog) != 0 ||
      getsockname(m_listener, reinterpret_cast<sockaddr*>(&name), &size) != 0) {
    throw std::runtime_error("cannot bind or listen on a loopback port");
  }
  m_port = ntohs(name.sin_port);
  m_acceptor = std::thread([this] { Accept(); });
}

RawServer::~RawServer()
{
  m_is_stopping = true;
  shutdown(m_listener, SHUT_RDWR);
  m_acceptor.join();
  close(m_listener);
  {
    const std::lock_guard lock(m_mutex);
    for (const int open : m_sockets) {
      shutdown(open, SHUT_RDWR);
    }
  }
  for (std::thread& thread : m_threads) {
    thread.join();
  }
}

void
RawServer::Accept()
{
  while (!m_is_stopping) {
    const int accepted = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (accepted < 0) {
      return;
    }
    SetReadTimeout(accepted);
    const std::lock_guard lock(m_mutex);
    m_sockets.insert(accepted);
    m_threads.emplace_back([this, accepted] {
      {
        RawConnection connection(accepted);
        m_handler(connection);
        const std::lock_guard erase_lock(m_mutex);
        m_sockets.erase(accepted);
      }
    });
  }
}

int
ConnectTo(const SocketAddress& aAddress)
{
  const sockaddr_in name = ToSockaddr(aAddress).value();
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  SetReadTimeout(descriptor);
  if (connect(descriptor, reinterpret_cast<const sockaddr*>(&name), sizeof(name)) != 0) {
    close(descriptor);
    return -1;
  }
  return descriptor;
}

ExchangeResult
ExchangeUntilEnd(const SocketAddress& aAddress, const std::string& aBytes)
{
  const int descriptor = ConnectTo(aAddress);
  if (descriptor < 0) {
    return {};
  }
  send(descriptor, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
  ExchangeResult result;
  std::array<char, 16'384> buffer{};
  ssize_t size = 0;
  while ((size = recv(descriptor, buffer.data(), buffer.size(), 0)) > 0) {
    result.m_bytes.append(buffer.data(), static_cast<std::size_t>(size));
  }
  result.m_is_reset = size < 0 && errno == ECONNRESET;
  close(descriptor);
  return result;
}

std::string
Exchange(const SocketAddress& aAddress, const std::string& aBytes)
{
  return ExchangeUntilEnd(aAddress, aBytes).m_bytes;
}

}
