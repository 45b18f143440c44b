#include <LibDirectory/IncarnationAddress.h>
#include <LibPeers/PeerRpc.h>
#include <LibPeers/PeerTable.h>
#include <doctest.h>

using namespace auburnhitch;

namespace {

constexpr TimePoint kStart{};

PeerUpdate
NewsOf(const char* aAddress)
{
  PeerUpdate news;
  news.m_host = HostName("e-1");
  news.m_data_center = DataCenterName("khomas-a");
  news.m_permit = Permit{ Incarnation("abc"), 4 };
  news.m_caller_address = SocketAddress("127.0.0.1:1");
  news.m_peer_address = SocketAddress(aAddress);
  news.m_is_settled = true;
  news.m_position = 12;
  news.m_documents[ServiceName("desk")] = HeldRevision{ 3, 11 };
  news.m_waiting[ServiceName("desk")] = { 0, 2 };
  return news;
}

}

TEST_CASE("News survives being written and read")
{
  Findings findings;
  const auto read = PeerUpdate::FromJson(NewsOf("127.0.0.1:2").ToJson(), findings);
  REQUIRE(read);
  CHECK(*read == NewsOf("127.0.0.1:2"));
  Json wrong = NewsOf("127.0.0.1:2").ToJson();
  wrong["documents"]["desk"] = 7;
  wrong["waiting"]["desk"] = "many";
  CHECK_FALSE(PeerUpdate::FromJson(wrong, findings));
  CHECK(findings.All().size() >= 2);
}

TEST_CASE("Stale news of waiting work is forgotten")
{
  PeerTable table(Milliseconds(1'000));
  table.Update(NewsOf("127.0.0.1:2"), kStart);
  CHECK(table.HighestTierWaiting(ServiceName("desk"), kStart) == 1);
  CHECK_FALSE(table.HighestTierWaiting(ServiceName("hall"), kStart));
  CHECK_FALSE(table.HighestTierWaiting(ServiceName("desk"), kStart + Milliseconds(1'001)));
  CHECK(table.Fresh(kStart + Milliseconds(1'001)).empty());
  table.RemoveSilent(kStart + Milliseconds(60'000));
  CHECK(table.All().empty());
}

TEST_CASE("JSON-RPC requests are answered and malformed ones get an error")
{
  PeerRpcServer server(PeerMethods{ [](const Json& aUpdate) {
                                     return Json{ { "got", aUpdate } };
                                   },
                                    [] {
                                      return Json{ { "position", 1 } };
                                    } });
  const auto exchanged = peer_rpc::ReadResponse(
    server.Handle(peer_rpc::BuildRequest("exchange", Json{ { "news", { { "x", 1 } } } })));
  REQUIRE(exchanged.ok());
  CHECK((*exchanged)["got"]["x"] == 1);
  CHECK(peer_rpc::ReadResponse(server.Handle(peer_rpc::BuildRequest("documents", Json()))).ok());
  for (const char* wrong : { "",
                             "{",
                             "[]",
                             "{}",
                             R"({"jsonrpc":"2.0","id":1,"method":"dance"})",
                             R"({"jsonrpc":"2.0","id":1,"method":"exchange","params":{}})" }) {
    CHECK_MESSAGE(!peer_rpc::ReadResponse(server.Handle(wrong)).ok(), wrong);
  }
}

TEST_CASE("An incarnation tells where its peers reach it")
{
  const auto incarnation = NewIncarnation(SocketAddress("127.0.0.1:27311"));
  REQUIRE(incarnation.ok());
  CHECK(PeerAddressOf(*incarnation)->Value() == "127.0.0.1:27311");
  CHECK(RequestIdentity::Parse(incarnation->Value() + "-0-x"));
  CHECK_FALSE(PeerAddressOf(Incarnation("abc")).ok());
  CHECK_FALSE(PeerAddressOf(Incarnation(std::string(28, 'z'))).ok());
  CHECK_FALSE(NewIncarnation(SocketAddress("localhost:1")).ok());
}
