#pragma once

#include <LibCore/JsonObjectReader.h>
#include <LibCore/StrongString.h>
#include <LibHttp/EventLoop.h>
#include <LibHttp/HttpClient.h>
#include <absl/status/statusor.h>
#include <string>
#include <vector>

namespace auburnhitch {

/// A daemon's response on its operators' port.
struct OperatorResponse
{
  int m_status = 0;
  Json m_body;

  bool operator==(const OperatorResponse&) const = default;
};

/// Sends requests to the operators' ports of daemons; each call blocks until the response arrives
/// or times out. Not thread-safe.
class OperatorClient
{
public:
  OperatorClient();

  /// Fails with Unavailable when no complete response arrives or its body is not JSON.
  absl::StatusOr<OperatorResponse> Call(const SocketAddress& aDaemon,
                                        const std::string& aMethod,
                                        const std::string& aPath,
                                        const std::string& aBody = {});

  /// Blocks for aTime.
  void Sleep(Milliseconds aTime);

private:
  EventLoop m_loop;
  HttpClient m_client;
};

}
