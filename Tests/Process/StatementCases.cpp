#include "StatementCases.h"

#include "EarlierCoordinator.h"
#include "FullListener.h"
#include "GatewayCluster.h"

#include <absl/strings/str_cat.h>
#include <doctest.h>
#include <thread>

namespace auburnhitch::tests {

std::string
EndpointStatement::ResponseTo(const std::string& aRequestId) const
{
  return absl::StrCat("HTTP/1.1 ",
                      m_status_line,
                      "\r\nX-Request-Id: ",
                      aRequestId,
                      "\r\n",
                      m_fields,
                      "Content-Length: ",
                      m_body.size(),
                      "\r\n\r\n",
                      m_body);
}

void
CheckGrantsAreHandedBack(const EndpointStatement& aStatement)
{
  GatewayCluster cluster(1, 2);
  const EarlierCoordinator coordinator(cluster.PeerAddress(0),
                                       { EndpointId("i-0"), EndpointId("i-1") });
  cluster.Endpoint(0).SetBehaviour([&](RawConnection& aConnection, const RawRequest& aRequest) {
    aConnection.Write(aStatement.ResponseTo(aRequest.Header("x-request-id")));
    return true;
  });
  int number = 0;
  REQUIRE(WaitFor([&] {
    cluster.Call("/unsafe/x", absl::StrCat("first-", ++number));
    return coordinator.GrantsOf(EndpointId("i-0")) > 1;
  }));
  const std::size_t received = cluster.Endpoint(0).Requests().size();
  const int granted = coordinator.GrantsOf(EndpointId("i-0"));
  constexpr int kRequests = 5;
  for (int i = 0; i < kRequests; ++i) {
    CHECK(cluster.Call("/unsafe/x", absl::StrCat("late-", i)).m_status == 200);
  }
  CHECK(coordinator.GrantsOf(EndpointId("i-0")) == granted + kRequests);
  CHECK(cluster.Endpoint(0).Requests().size() == received);
}

void
CheckConnectingRequestIsNotSent(const EndpointStatement& aStatement)
{
  GatewayCluster cluster(1, 1);
  FullListener listener;
  cluster.Register(0, "ready", { { "address", listener.Address() }, { "born", 2 } });
  REQUIRE(WaitFor([&] {
    return cluster.LogOfDaemon(0).find(absl::StrCat("address=", listener.Address())) !=
           std::string::npos;
  }));
  std::thread first([&] { cluster.Call("/unsafe/x", "first"); });
  {
    RawConnection connection(listener.Accept());
    REQUIRE(connection.ReadRequest());
    listener.Fill();
    CallerResponse response;
    std::thread second([&] { response = cluster.Call("/unsafe/x", "second"); });
    REQUIRE(WaitFor([&] {
      return cluster.LogOfDaemon(0).find("event=granted request=second") != std::string::npos;
    }));
    connection.Write(aStatement.ResponseTo("first"));
    first.join();
    second.join();
    CHECK(response.m_status == 503);
  }
  CHECK(WaitFor([&] {
    return cluster.LogOfDaemon(0).find(
             absl::StrCat("event=send-failed request=second service=s endpoint=i-0 "
                          "end=cancelled why=\"",
                          aStatement.m_reason)) != std::string::npos;
  }));
}

}
