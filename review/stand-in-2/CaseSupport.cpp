#include "CaseSupport.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_format.h>
#include <cstdlib>
#include <iostream>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

namespace auburnhitch::review {

bool
HasTrouble()
{
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

nlohmann::json
SmallDeploymentSettings()
{
  return { { "max_memory_mb", 260 },
           { "max_descriptors", 4100 },
           { "processor_share", 0.25 },
           { "processor_cores", 1 },
           { "contracts",
             { "base",
               "drain",
               "config",
               "cost",
               "retry",
               "recover",
               "engine",
               "stream",
               "tenants",
               "quota",
               "platform" } },
           { "bounds",
             { { "drain_ms", 2000 },
               { "stop_grace_s", 8 },
               { "most_retry_after_s", 10 },
               { "directory_lifetime_s", 5 },
               { "retry_ratio", 0.2 },
               { "retry_slack", 52 },
               { "retry_window_s", 10 },
               { "quota_overage", 0.1 },
               { "quota_slack_tokens", 190'000 },
               { "quota_window_s", 8 } } } };
}

Record::Record(const std::string& aPath)
  : m_file(aPath)
{
}

void
Record::Add(const std::string& aLine)
{
  const std::chrono::duration<double> passed = std::chrono::steady_clock::now() - m_begun_at;
  const std::lock_guard lock(m_mutex);
  const std::string line = absl::StrFormat("%8.3f s  %s", passed.count(), aLine);
  m_file << line << std::endl;
  std::cout << line << std::endl;
}

KeptConnection::KeptConnection(const SocketAddress& aAddress)
  : m_socket(tests::ConnectTo(aAddress))
{
}

KeptConnection::~KeptConnection()
{
  if (m_socket >= 0) {
    close(m_socket);
  }
}

tests::CallerResponse
KeptConnection::Call(const std::string& aRequest)
{
  const auto end = [this] {
    close(m_socket);
    m_socket = -1;
    return tests::ParseResponse(std::exchange(m_buffer, ""));
  };
  std::size_t sent = 0;
  while (sent < aRequest.size()) {
    const ssize_t size =
      send(m_socket, aRequest.data() + sent, aRequest.size() - sent, MSG_NOSIGNAL);
    if (size <= 0) {
      return end();
    }
    sent += static_cast<std::size_t>(size);
  }
  constexpr std::size_t kBlock = 16 << 10;
  std::string block(kBlock, '\0');
  while (true) {
    const auto head_end = m_buffer.find("\r\n\r\n");
    if (head_end != std::string::npos) {
      const tests::CallerResponse head = tests::ParseResponse(m_buffer);
      std::size_t length = 0;
      if (!absl::SimpleAtoi(head.Header("content-length"), &length)) {
        return end();
      }
      const std::size_t total = head_end + 4 + length;
      if (m_buffer.size() >= total) {
        tests::CallerResponse response = tests::ParseResponse(m_buffer.substr(0, total));
        m_buffer.erase(0, total);
        if (response.Header("connection") == "close") {
          close(m_socket);
          m_socket = -1;
        }
        return response;
      }
    }
    const ssize_t size = recv(m_socket, block.data(), block.size(), 0);
    if (size <= 0) {
      return end();
    }
    m_buffer.append(block.data(), static_cast<std::size_t>(size));
  }
}

bool
RaiseDescriptorLimit(std::size_t aNeeded)
{
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) {
    return false;
  }
  limit.rlim_cur = limit.rlim_max;
  return setrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur >= aNeeded;
}

}
