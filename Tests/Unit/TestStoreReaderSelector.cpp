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

/// Daemons in three data centres that send each other heartbeats as a gateway does, readers at a
/// shorter interval than the others.
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
        if (!daemon.m_is_silent && m_now - daemon.m_sent_at >= interval) {
          SendHeartbeat(daemon);
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
  void SetCanReadStore(int aDaemon, bool aCanReadStore)
  {
    At(aDaemon).m_self.m_can_read_store = aCanReadStore;
  }

private:
  struct Daemon
  {
    Member m_self;
    std::unique_ptr<Membership> m_membership;
    TimePoint m_sent_at;
    bool m_is_silent = false;
  };

  Daemon& At(int aDaemon) { return m_daemons.at(static_cast<std::size_t>(aDaemon)); }

  void SendHeartbeat(Daemon& aFrom)
  {
    aFrom.m_sent_at = m_now;
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

TEST_CASE("A few daemons in each data centre long-poll the store and the rest follow them")
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

TEST_CASE("Readers that fall silent or lose the store are replaced, and some reader is always left")
{
  Fleet fleet;
  fleet.RunFor(Milliseconds(5'000));
  const auto first = fleet.Readers();
  fleet.SetSilent(first[0], true);
  fleet.SetCanReadStore(first[1], false);
  for (int i = 0; i < 50; ++i) {
    fleet.RunFor(Milliseconds(100));
    CHECK(fleet.Readers().size() >= kReaders - 1);
  }
  // Both readers have been replaced; the one that lost the store keeps trying to read it.
  CHECK(fleet.Readers().size() == kReaders + 1);
}

TEST_CASE("When all readers fall silent, other daemons become readers")
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
