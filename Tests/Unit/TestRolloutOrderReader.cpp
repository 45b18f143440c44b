#include <platform/RolloutOrderReader.h>

#include <doctest.h>

using namespace auburnhitch;

namespace {

/// A daemon's reader, and the orders that are in force there.
class OrderDesk
{
public:
  OrderDesk()
    : m_reader({ [this](const RolloutOrder& aOrder) { m_orders[aOrder.m_service] = aOrder; },
                 [this](const ServiceName& aService) { m_orders.erase(aService); },
                 [this](const std::string&, const Findings&) { ++m_malformed; } })
  {
  }

  RolloutOrderReader& Reader() { return m_reader; }
  const std::map<ServiceName, RolloutOrder>& Orders() const { return m_orders; }
  int Malformed() const { return m_malformed; }
  std::string Target(const char* aService = "s") const
  {
    const auto found = m_orders.find(ServiceName(aService));
    return found == m_orders.end() ? "" : found->second.m_target.Value();
  }

private:
  std::map<ServiceName, RolloutOrder> m_orders;
  int m_malformed = 0;
  RolloutOrderReader m_reader;
};

KeyedRecord
OrderAt(std::uint64_t aOffset, const std::string& aTarget, const std::string& aService = "s")
{
  return { "rollout/" + aService,
           R"({"service":")" + aService + R"(","target":")" + aTarget + R"(","duration_s":20})",
           aOffset };
}

KeyedRecord
WithdrawalAt(std::uint64_t aOffset)
{
  return { "rollout/s", std::nullopt, aOffset };
}

}

// Guards against daemons that know one order by different ids, so that a successor starts anew.
TEST_CASE("Rollout orders: a record has one id, read in order or from a snapshot of any era")
{
  OrderDesk early;
  early.Reader().OnRecords({ { "config", "{}", 6 }, OrderAt(7, "2") });
  OrderDesk late;
  late.Reader().OnSnapshot({ { "config", "{}", 6 }, OrderAt(7, "2") });
  CHECK(early.Target() == "2");
  CHECK(early.Orders() == late.Orders());
  late.Reader().OnStoreWentBack();
  late.Reader().OnSnapshot({ OrderAt(7, "2") });
  CHECK(early.Orders() == late.Orders());
  CHECK(early.Malformed() + late.Malformed() == 0);
}

// Guards against an order that is taken for an earlier one, of whose verdict it would then have.
TEST_CASE("Rollout orders: orders of the same content, or at the same offset, are told apart")
{
  OrderDesk desk;
  desk.Reader().OnRecords({ OrderAt(7, "2") });
  const auto first = desk.Orders();
  desk.Reader().OnRecords({ OrderAt(8, "2") });
  const auto repeated = desk.Orders();
  desk.Reader().OnStoreWentBack();
  desk.Reader().OnSnapshot({ OrderAt(7, "3") });
  CHECK(first != repeated);
  CHECK(desk.Target() == "3");
  CHECK(desk.Orders().at(ServiceName("s")).m_id != first.at(ServiceName("s")).m_id);
}

// Guards against a record of another writer that ends a rollout or is taken for an order.
TEST_CASE("Rollout orders: malformed and foreign records change nothing")
{
  OrderDesk desk;
  desk.Reader().OnRecords({ OrderAt(1, "2") });
  const auto before = desk.Orders();
  KeyedRecord other_service = OrderAt(2, "3", "other");
  other_service.m_key = "rollout/s";
  KeyedRecord without_offset = OrderAt(3, "3");
  without_offset.m_offset = std::nullopt;
  const std::vector<KeyedRecord> malformed{ { "rollout/s", "{", 4 },
                                            { "rollout/", "{}", 5 },
                                            { "rollout/t", "\xff", 6 },
                                            other_service,
                                            without_offset };
  desk.Reader().OnRecords(malformed);
  desk.Reader().OnRecords({ KeyedRecord::Malformed(), { "rollouts", "{}", 7 }, { "s", "x", 8 } });
  desk.Reader().OnSnapshot(malformed);
  CHECK(desk.Orders() == before);
  CHECK(desk.Malformed() == 10);
}

// Guards against a rollout that goes on although the operator has withdrawn it.
TEST_CASE("Rollout orders: a withdrawal is noticed, in order or by a snapshot without the order")
{
  for (const bool is_in_order : { true, false }) {
    OrderDesk desk;
    desk.Reader().OnSnapshot({ OrderAt(1, "2"), OrderAt(2, "5", "other") });
    if (is_in_order) {
      desk.Reader().OnRecords({ WithdrawalAt(3) });
    } else {
      desk.Reader().OnSnapshot({ OrderAt(2, "5", "other") });
    }
    CHECK(desk.Target().empty());
    CHECK(desk.Target("other") == "5");
  }
}

// Guards against a version whose bounds end because the store has lost the order, and against an
// order that is followed again after the operator has replaced or withdrawn it.
TEST_CASE("Rollout orders: a store that goes back neither withdraws an order nor revives one")
{
  OrderDesk lost;
  lost.Reader().OnRecords({ OrderAt(1, "2") });
  lost.Reader().OnStoreWentBack();
  lost.Reader().OnSnapshot({});
  CHECK(lost.Target() == "2");
  lost.Reader().OnSnapshot({});
  CHECK(lost.Target().empty());

  OrderDesk replaced;
  replaced.Reader().OnRecords({ OrderAt(1, "2"), OrderAt(2, "3") });
  replaced.Reader().OnStoreWentBack();
  replaced.Reader().OnSnapshot({ OrderAt(1, "2") });
  CHECK(replaced.Target() == "3");

  OrderDesk withdrawn;
  withdrawn.Reader().OnRecords({ OrderAt(1, "2"), WithdrawalAt(2) });
  withdrawn.Reader().OnStoreWentBack();
  withdrawn.Reader().OnSnapshot({ OrderAt(1, "2") });
  CHECK(withdrawn.Target().empty());
  withdrawn.Reader().OnRecords({ OrderAt(2, "2") });
  CHECK(withdrawn.Target() == "2");
}
