#include <LibDirectory/IncarnationAddress.h>
#include <LibPeers/PeerRpc.h>
#include <LibPeers/PeerTable.h>
#include <doctest.h>

using namespace auburnhitch;

namespace {

constexpr TimePoint kStart{};

PeerUpdate
UpdateOf(const char* aAddress)
{
  PeerUpdate update;
  update.m_host = HostName("e-1");
  update.m_data_center = DataCenterName("khomas-a");
  update.m_permit = Permit{ Incarnation("abc"), 4 };
  update.m_caller_address = SocketAddress("127.0.0.1:1");
  update.m_peer_address = SocketAddress(aAddress);
  update.m_is_settled = true;
  update.m_position = 12;
  update.m_documents[ServiceName("desk")] = HeldRevision{ 3, 11 };
  update.m_waiting[ServiceName("desk")] = { 0, 2 };
  return update;
}

}

TEST_CASE("Peer updates survive encoding, and malformed ones are rejected")
{
  Findings findings;
  const auto read = PeerUpdate::FromJson(UpdateOf("127.0.0.1:2").ToJson(), findings);
  REQUIRE(read);
  CHECK(*read == UpdateOf("127.0.0.1:2"));
  Json wrong = UpdateOf("127.0.0.1:2").ToJson();
  wrong["documents"]["desk"] = 7;
  wrong["waiting"]["desk"] = "many";
  CHECK_FALSE(PeerUpdate::FromJson(wrong, findings));
  CHECK(findings.All().size() >= 2);
}

TEST_CASE("Stale updates no longer count and are removed")
{
  PeerTable table(Milliseconds(1'000));
  table.Update(UpdateOf("127.0.0.1:2"), kStart);
  CHECK(table.HighestTierWaiting(ServiceName("desk"), kStart) == 1);
  CHECK_FALSE(table.HighestTierWaiting(ServiceName("hall"), kStart));
  CHECK_FALSE(table.HighestTierWaiting(ServiceName("desk"), kStart + Milliseconds(1'001)));
  CHECK(table.Fresh(kStart + Milliseconds(1'001)).empty());
  table.RemoveSilent(kStart + Milliseconds(60'000));
  CHECK(table.All().empty());
}

TEST_CASE("JSON-RPC requests get their results and malformed ones get an error")
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

TEST_CASE("An incarnation encodes its peer address")
{
  const auto incarnation = NewIncarnation(SocketAddress("127.0.0.1:27311"));
  REQUIRE(incarnation.ok());
  CHECK(PeerAddressOf(*incarnation)->Value() == "127.0.0.1:27311");
  CHECK(RequestIdentity::Parse(incarnation->Value() + "-0-x"));
  CHECK_FALSE(PeerAddressOf(Incarnation("abc")).ok());
  CHECK_FALSE(PeerAddressOf(Incarnation(std::string(28, 'z'))).ok());
  CHECK_FALSE(NewIncarnation(SocketAddress("localhost:1")).ok());
}
