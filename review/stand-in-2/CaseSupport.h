#pragma once

#include "../../Tests/Support/GatewayCluster.h"

#include <chrono>
#include <fstream>
#include <mutex>

namespace auburnhitch::review {

/// Exit statuses of a case.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

/// Whether the case brings its disruption about: unless TROUBLE is 0.
bool
HasTrouble();

/// Settings of a host of a small deployment, to be merged into those of each daemon.
nlohmann::json
SmallDeploymentSettings();

/// Writes what a case sees, with the time since its start, to a file and to standard output.
/// Thread-safe.
class Record
{
public:
  explicit Record(const std::string& aPath);
  void Add(const std::string& aLine);

private:
  std::chrono::steady_clock::time_point m_begun_at = std::chrono::steady_clock::now();
  std::mutex m_mutex;
  std::ofstream m_file;
};

/// One connection of a caller, which is kept for further requests. Not thread-safe.
class KeptConnection
{
public:
  explicit KeptConnection(const SocketAddress& aAddress);
  ~KeptConnection();
  KeptConnection(const KeptConnection&) = delete;
  KeptConnection& operator=(const KeptConnection&) = delete;

  bool IsOpen() const { return m_socket >= 0; }
  /// Sends a request and reads its response, which must state its length. The status is 0 if the
  /// connection ends before the head of a response is complete.
  tests::CallerResponse Call(const std::string& aRequest);

private:
  int m_socket;
  std::string m_buffer;
};

/// Raises the limit of open descriptors to what is permitted. Returns whether that is enough.
bool
RaiseDescriptorLimit(std::size_t aNeeded);

}
