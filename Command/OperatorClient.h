#pragma once

#include <LibCore/JsonObjectReader.h>
#include <LibCore/StrongString.h>
#include <LibHttp/EventLoop.h>
#include <LibHttp/HttpClient.h>
#include <absl/status/statusor.h>
#include <string>
#include <vector>

namespace auburnhitch {

/// A daemon's answer to an operator.
struct OperatorResponse
{
  int m_status = 0;
  Json m_body;

  bool operator==(const OperatorResponse&) const = default;
};

/// Calls the operators' port of daemons and waits for each answer. Not thread-safe.
class OperatorClient
{
public:
  OperatorClient();

  /// Fails with Unavailable when the daemon does not answer with JSON.
  absl::StatusOr<OperatorResponse> Call(const SocketAddress& aDaemon,
                                        const std::string& aMethod,
                                        const std::string& aPath,
                                        const std::string& aBody = {});

  /// Lets time pass.
  void Sleep(Milliseconds aTime);

private:
  EventLoop m_loop;
  HttpClient m_client;
};

}
