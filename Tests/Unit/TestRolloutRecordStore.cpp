#include <platform/RolloutRecordStore.h>

#include <deque>
#include <doctest.h>

using namespace auburnhitch;

namespace {

using Topics = std::map<std::string, std::vector<KeyedRecord>>;

/// A store that answers when it is told to. Several deciders use it.
class FakeStore
{
public:
  RolloutRecordStore::Calls Calls()
  {
    RolloutRecordStore::Calls calls;
    calls.m_read_newest = [this](const std::string& aTopic, const std::string& aAfter, auto aDone) {
      ++m_calls;
      m_queue.emplace_back([this, aTopic, aAfter, aDone] { aDone(Newest(aTopic, aAfter)); });
    };
    calls.m_read = [this](const std::string& aTopic, std::uint64_t aFrom, auto aDone) {
      ++m_calls;
      m_queue.emplace_back([this, aTopic, aFrom, aDone] {
        const auto& records = m_topics[aTopic];
        if (aFrom > records.size()) {
          aDone(absl::NotFoundError("410"));
          return;
        }
        aDone(KeyedRecords{ { records.begin() + static_cast<std::ptrdiff_t>(aFrom), records.end() },
                            records.size() });
      });
    };
    calls.m_append_at =
      [this](const std::string& aTopic, const KeyedRecord& aRecord, std::uint64_t aAt, auto aDone) {
        ++m_calls;
        m_queue.emplace_back([this, aTopic, aRecord, aAt, aDone] {
          if (aAt != m_topics[aTopic].size()) {
            aDone(absl::FailedPreconditionError("412"));
            return;
          }
          m_topics[aTopic].push_back(aRecord);
          aDone(m_loses_answers ? absl::UnknownError("lost") : absl::OkStatus());
        });
      };
    calls.m_defer = [this](auto aFunction) { m_queue.push_back(std::move(aFunction)); };
    return calls;
  }

  /// Answers all calls, also those that the answers lead to.
  void Answer()
  {
    while (!m_queue.empty()) {
      const auto next = std::move(m_queue.front());
      m_queue.pop_front();
      next();
    }
  }

  Topics m_topics;
  bool m_loses_answers = false;
  bool m_is_empty_topic_unknown = true;
  int m_calls = 0;

private:
  /// One record on a page, in the order of their keys.
  absl::StatusOr<KeyedPage> Newest(const std::string& aTopic, const std::string& aAfter)
  {
    const auto& records = m_topics[aTopic];
    if (records.empty() && m_is_empty_topic_unknown) {
      return absl::InternalError("status 404");
    }
    std::map<std::string, std::string> newest;
    for (const KeyedRecord& record : records) {
      newest[record.m_key] = record.m_value.value_or("");
    }
    const auto found = newest.upper_bound(aAfter);
    KeyedPage page{ {}, records.size(), false };
    if (found != newest.end()) {
      page.m_records.push_back({ found->first, found->second });
      page.m_has_more = std::next(found) != newest.end();
    }
    return page;
  }

  std::deque<std::function<void()>> m_queue;
};

const ServiceName kService("s");

/// A daemon that decides a rollout.
class Decider
{
public:
  Decider(FakeStore& aStore, const char* aName)
    : m_store(aStore)
    , m_name(aName)
    , m_rollouts(aStore.Calls())
  {
  }

  RolloutState StateOf(RolloutStage aStage, std::uint64_t aSent) const
  {
    return { kService, "7-x", SoftwareVersion("2"), m_name, aStage, 1'000, aSent };
  }

  absl::StatusOr<std::optional<RolloutState>> Load()
  {
    absl::StatusOr<std::optional<RolloutState>> result = absl::InternalError("not answered");
    bool is_inside = true;
    m_rollouts.Load(kService, [&](const auto& aState) {
      CHECK_FALSE(is_inside);
      result = aState;
    });
    is_inside = false;
    m_store.Answer();
    return result;
  }

  absl::Status Save(RolloutStage aStage, std::uint64_t aSent)
  {
    return Call(&RolloutStore::Save, StateOf(aStage, aSent));
  }

  absl::Status Publish(RolloutStage aStage)
  {
    return Call(&RolloutStore::Publish, StateOf(aStage, 0));
  }

  RolloutRecordStore& Rollouts() { return m_rollouts; }

private:
  absl::Status Call(void (RolloutStore::*aCall)(const RolloutState&, RolloutStore::StatusHandler),
                    const RolloutState& aState)
  {
    absl::Status result = absl::InternalError("not answered");
    bool is_inside = true;
    (m_rollouts.*aCall)(aState, [&](const absl::Status& aStatus) {
      CHECK_FALSE(is_inside);
      result = aStatus;
    });
    is_inside = false;
    m_store.Answer();
    return result;
  }

  FakeStore& m_store;
  Incarnation m_name;
  RolloutRecordStore m_rollouts;
};

constexpr const char* kStates = "keyed.rollouts";
constexpr const char* kStatuses = "keyed.status";

}

// Guards against a successor that does not know what its predecessor has reserved.
TEST_CASE("Rollout store: a successor loads what was saved, also past other services")
{
  FakeStore store;
  store.m_topics[kStates] = { { "rollout/a", "{}" }, { "rollout/z", "{}" } };
  Decider first(store, "first");
  auto loaded = first.Load();
  REQUIRE(loaded.ok());
  CHECK_FALSE(*loaded);
  CHECK(first.Save(RolloutStage::Probe, 20).ok());
  CHECK(first.Save(RolloutStage::Share, 40).ok());
  Decider second(store, "second");
  loaded = second.Load();
  REQUIRE(loaded.ok());
  CHECK(*loaded == first.StateOf(RolloutStage::Share, 40));
}

// Guards against a decider that was paused and sends a block that its successor does not count, or
// overwrites the verdict.
TEST_CASE("Rollout store: after another decider has written, nothing is written before a load")
{
  FakeStore store;
  Decider paused(store, "paused");
  CHECK(absl::IsAborted(paused.Save(RolloutStage::Probe, 20)));
  CHECK(paused.Load().ok());
  CHECK(paused.Save(RolloutStage::Probe, 20).ok());
  Decider successor(store, "successor");
  CHECK(successor.Load().ok());
  CHECK(successor.Save(RolloutStage::RolledBack, 20).ok());
  const Topics before = store.m_topics;
  CHECK(absl::IsAborted(paused.Save(RolloutStage::Share, 40)));
  CHECK(absl::IsAborted(paused.Save(RolloutStage::Share, 40)));
  CHECK(absl::IsAborted(paused.Publish(RolloutStage::Share)));
  CHECK(store.m_topics == before);
  const auto loaded = paused.Load();
  REQUIRE(loaded.ok());
  CHECK(*loaded == successor.StateOf(RolloutStage::RolledBack, 20));
}

// Guards against a status that a paused decider overwrites before it has noticed its successor.
TEST_CASE("Rollout store: a status is published only by the decider that has loaded last")
{
  FakeStore store;
  Decider paused(store, "paused");
  CHECK(paused.Load().ok());
  CHECK(paused.Save(RolloutStage::Probe, 20).ok());
  Decider successor(store, "successor");
  CHECK(successor.Load().ok());
  CHECK(successor.Save(RolloutStage::Completed, 20).ok());
  CHECK(successor.Publish(RolloutStage::Completed).ok());
  CHECK(absl::IsAborted(paused.Publish(RolloutStage::Probe)));
  CHECK(store.m_topics[kStatuses].size() == 1);
}

// Guards against calls that cost without need, and against a status that is written twice.
TEST_CASE("Rollout store: a status is written once, also when its answer is lost or it is repeated")
{
  FakeStore store;
  Decider decider(store, "decider");
  CHECK(store.m_calls == 0);
  CHECK(decider.Load().ok());
  store.m_loses_answers = true;
  CHECK(decider.Publish(RolloutStage::Probe).ok());
  store.m_loses_answers = false;
  const int calls = store.m_calls;
  CHECK(decider.Publish(RolloutStage::Share).ok());
  CHECK(decider.Publish(RolloutStage::Share).ok());
  CHECK(store.m_calls == calls);
  CHECK(store.m_topics[kStatuses].size() == 1);
  Decider restarted(store, "restarted");
  CHECK(restarted.Load().ok());
  CHECK(restarted.Publish(RolloutStage::Share).ok());
  CHECK(store.m_topics[kStatuses].size() == 1);
}

// Guards against a state that is written where another history of the store happens to end.
TEST_CASE("Rollout store: after the store has gone back, nothing is written before a load")
{
  FakeStore store;
  Decider decider(store, "decider");
  CHECK(decider.Load().ok());
  CHECK(decider.Save(RolloutStage::Probe, 20).ok());
  Decider other(store, "other");
  store.m_topics.clear();
  CHECK(other.Load().ok());
  CHECK(other.Save(RolloutStage::Probe, 60).ok());
  decider.Rollouts().OnStoreWentBack();
  CHECK(absl::IsAborted(decider.Save(RolloutStage::Probe, 40)));
  CHECK(absl::IsAborted(decider.Publish(RolloutStage::Probe)));
  CHECK(store.m_topics[kStates].size() == 1);
  const auto loaded = decider.Load();
  REQUIRE(loaded.ok());
  CHECK(*loaded == other.StateOf(RolloutStage::Probe, 60));
}

// Guards against a save that counts as done although the store has gone back while it ran.
TEST_CASE("Rollout store: a save during which the store goes back is not confirmed")
{
  FakeStore store;
  Decider decider(store, "decider");
  CHECK(decider.Load().ok());
  absl::Status result;
  decider.Rollouts().Save(decider.StateOf(RolloutStage::Probe, 20),
                          [&](const absl::Status& aStatus) { result = aStatus; });
  decider.Rollouts().OnStoreWentBack();
  store.Answer();
  CHECK(absl::IsAborted(result));
}

// Guards against a record that blocks all rollouts of its service.
TEST_CASE("Rollout store: a malformed state counts as none and is overwritten")
{
  FakeStore store;
  store.m_topics[kStates] = { { "rollout/s", "{" } };
  Decider decider(store, "decider");
  const auto loaded = decider.Load();
  REQUIRE(loaded.ok());
  CHECK_FALSE(*loaded);
  CHECK(decider.Save(RolloutStage::Probe, 20).ok());
  CHECK(*decider.Load() == decider.StateOf(RolloutStage::Probe, 20));
}
