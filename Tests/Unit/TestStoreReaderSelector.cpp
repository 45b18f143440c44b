#include <LibCluster/StoreReaderSelector.h>

#include <doctest.h>
#include <map>
#include <random>
#include <set>

using namespace auburnhitch;

namespace {

constexpr TimePoint kStart{};
constexpr int kDaemons = 78;
constexpr int kDataCenters = 3;
constexpr std::size_t kReaders = 6;

/// Daemons in three data centres that tell each other of themselves as a gateway does: readers and
/// all others at intervals of their own.
class Fleet
{
public:
  Fleet()
  {
    for (int i = 0; i < kDaemons; ++i) {
      Daemon daemon;
      daemon.m_self.m_host = HostName("host-" + std::to_string(i));
      daemon.m_self.m_incarnation = Incarnation("i-" + std::to_string(i));
      daemon.m_self.m_data_center = DataCenterName("dc-" + std::to_string(i % kDataCenters));
      daemon.m_self.m_is_ready = true;
      daemon.m_self.m_can_read_store = true;
      daemon.m_self.m_is_reader = true;
      Membership::Limits limits;
      limits.m_heartbeat_timeout = Milliseconds(3'300);
      daemon.m_membership = std::make_unique<Membership>(limits, daemon.m_self.m_host);
      m_daemons.push_back(std::move(daemon));
    }
  }

  void RunFor(Milliseconds aTime)
  {
    const TimePoint end = m_now + aTime;
    while (m_now < end) {
      m_now += Milliseconds(100);
      for (Daemon& daemon : m_daemons) {
        const Milliseconds interval(daemon.m_self.m_is_reader ? 400 : 900);
        if (!daemon.m_is_silent && m_now - daemon.m_told_at >= interval) {
          Tell(daemon);
        }
      }
      for (Daemon& daemon : m_daemons) {
        daemon.m_self.m_is_reader = StoreReaderSelector(StoreReaderSelector::Limits())
                                      .IsReader(daemon.m_self, *daemon.m_membership, m_now);
      }
    }
  }

  std::vector<int> Readers() const
  {
    std::vector<int> readers;
    for (int i = 0; i < kDaemons; ++i) {
      const Daemon& daemon = m_daemons[static_cast<std::size_t>(i)];
      if (daemon.m_self.m_is_reader && !daemon.m_is_silent) {
        readers.push_back(i);
      }
    }
    return readers;
  }

  void SetSilent(int aDaemon, bool aIsSilent) { At(aDaemon).m_is_silent = aIsSilent; }
  void SetCurrent(int aDaemon, bool aIsCurrent)
  {
    At(aDaemon).m_self.m_can_read_store = aIsCurrent;
  }

private:
  struct Daemon
  {
    Member m_self;
    std::unique_ptr<Membership> m_membership;
    TimePoint m_told_at;
    bool m_is_silent = false;
  };

  Daemon& At(int aDaemon) { return m_daemons.at(static_cast<std::size_t>(aDaemon)); }

  void Tell(Daemon& aFrom)
  {
    aFrom.m_told_at = m_now;
    for (Daemon& to : m_daemons) {
      if (!to.m_is_silent) {
        to.m_membership->RecordHeartbeat(aFrom.m_self, m_now);
      }
    }
  }

  std::vector<Daemon> m_daemons;
  TimePoint m_now = kStart + Milliseconds(10'000);
};

}

TEST_CASE("Of many daemons a few wait at the store, in each data centre, and the rest hear them")
{
  Fleet fleet;
  fleet.RunFor(Milliseconds(5'000));
  const auto readers = fleet.Readers();
  CHECK(readers.size() == kReaders);
  std::set<int> data_centers;
  for (const int reader : readers) {
    data_centers.insert(reader % kDataCenters);
  }
  CHECK(data_centers.size() == kDataCenters);
}

TEST_CASE("When readers fall silent or lose the store others read, and there are never none")
{
  Fleet fleet;
  fleet.RunFor(Milliseconds(5'000));
  const auto first = fleet.Readers();
  fleet.SetSilent(first[0], true);
  fleet.SetCurrent(first[1], false);
  for (int i = 0; i < 50; ++i) {
    fleet.RunFor(Milliseconds(100));
    CHECK(fleet.Readers().size() >= kReaders - 1);
  }
  // The one that lost the store keeps trying; its place and the silent one's are taken.
  CHECK(fleet.Readers().size() == kReaders + 1);
}

TEST_CASE("A daemon that hears no reader for a while reads for itself")
{
  Fleet fleet;
  fleet.RunFor(Milliseconds(5'000));
  for (const int reader : fleet.Readers()) {
    fleet.SetSilent(reader, true);
  }
  fleet.RunFor(Milliseconds(1'500));
  CHECK(fleet.Readers().size() >= kReaders);
  fleet.RunFor(Milliseconds(10'000));
  CHECK(fleet.Readers().size() == kReaders);
}
