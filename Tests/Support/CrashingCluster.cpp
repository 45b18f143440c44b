#include "CrashingCluster.h"

#include <absl/strings/str_cat.h>
#include <csignal>

namespace auburnhitch::tests {

namespace {

using Ms = std::chrono::milliseconds;

constexpr Ms kCalmTime{ 3'000 };
constexpr Ms kHarmfulTime{ 12'000 };
constexpr Ms kPauseBetweenHarmfulRequests{ 150 };
constexpr Ms kRestartTime{ 1'500 };
// The registration of an endpoint that has crashed lapses after this time.
constexpr Ms kLapseTime{ 3'000 };

}

CrashingCluster::CrashingCluster(CrashingClusterOptions aOptions, Behaviour aBehaviour)
  : m_options(aOptions)
  , m_behaviour(std::move(aBehaviour))
  , m_checker(aOptions.m_crashes_until_bound)
  , m_ids(aOptions.m_endpoints)
  , m_is_down(aOptions.m_endpoints, false)
  , m_cluster(GatewayClusterOptions{ kDaemons,
                                     aOptions.m_endpoints,
                                     1,
                                     true,
                                     {},
                                     aOptions.m_has_peer_network })
  , m_operator([this] { RunOperator(); })
{
  for (std::size_t endpoint = 0; endpoint < m_options.m_endpoints; ++endpoint) {
    m_ids[endpoint] = m_cluster.IdOf(endpoint);
    m_cluster.Endpoint(endpoint).SetBehaviour(
      [this, endpoint](RawConnection& aConnection, const RawRequest& aRequest) {
        return Serve(endpoint, aConnection, aRequest);
      });
  }
}

CrashingCluster::~CrashingCluster()
{
  m_is_over = true;
  m_operator.join();
}

void
CrashingCluster::Run(const Load& aLoad, const std::function<void()>& aAction)
{
  std::atomic<bool> is_over = false;
  std::vector<std::thread> callers;
  for (std::size_t caller = 0; caller < m_options.m_harmless_callers; ++caller) {
    callers.emplace_back([&, caller] {
      while (!is_over) {
        const Clock::time_point sent_at = Clock::now();
        const bool is_served = aLoad.m_send_harmless(caller % kDaemons);
        m_checker.RecordHarmless(is_served, sent_at);
        if (!is_served) {
          std::this_thread::sleep_for(Ms(20));
        }
      }
    });
  }
  m_begun_at = Clock::now();
  std::this_thread::sleep_for(kCalmTime);
  m_harmful_from = Clock::now();
  for (const auto& send : aLoad.m_send_harmful) {
    callers.emplace_back([&is_over, &send] {
      std::vector<std::thread> requests;
      for (int number = 0; !is_over; ++number) {
        requests.emplace_back(
          [&send, number] { send(static_cast<std::size_t>(number) % kDaemons, number); });
        std::this_thread::sleep_for(kPauseBetweenHarmfulRequests);
      }
      for (std::thread& request : requests) {
        request.join();
      }
    });
  }
  if (aAction) {
    aAction();
  } else {
    std::this_thread::sleep_for(kHarmfulTime);
  }
  m_ended_at = Clock::now();
  is_over = true;
  for (std::thread& caller : callers) {
    caller.join();
  }
}

void
CrashingCluster::Crash(std::size_t aEndpoint)
{
  const std::lock_guard lock(m_mutex);
  if (m_is_down[aEndpoint]) {
    return;
  }
  m_is_down[aEndpoint] = true;
  m_crashed.emplace_back(Clock::now(), aEndpoint);
  m_cluster.CommandEndpointProxy(
    aEndpoint, { { "fault", "refuse" }, { "cut_open", true }, { "reset", false } });
}

std::string
CrashingCluster::NewRequestId(std::size_t aDaemon)
{
  return absl::StrCat(aDaemon, "-", ++m_last_id);
}

void
CrashingCluster::RestartDaemonsInTurn()
{
  for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
    std::this_thread::sleep_for(Ms(4'000));
    m_checker.RecordDisturbance(daemon, false);
    m_cluster.Daemon(daemon).Signal(SIGKILL);
    std::this_thread::sleep_for(Ms(500));
    m_cluster.StartDaemon(daemon);
    m_cluster.WaitUntilReady(daemon);
    m_checker.RecordDisturbance(daemon, true);
  }
  std::this_thread::sleep_for(Ms(4'000));
}

double
CrashingCluster::HarmlessShareKept() const
{
  constexpr Ms kLastPart{ 4'000 };
  return m_checker.ShareBegun(m_ended_at - kLastPart, m_ended_at) /
         m_checker.ShareBegun(m_begun_at, m_harmful_from);
}

std::string
CrashingCluster::FirstViolation() const
{
  const auto violations = m_checker.Violations();
  return violations.empty() ? "none" : violations.front();
}

bool
CrashingCluster::IsLogged(const std::string& aText) const
{
  for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
    if (m_cluster.LogOfDaemon(daemon).find(aText) != std::string::npos) {
      return true;
    }
  }
  return false;
}

bool
CrashingCluster::Serve(std::size_t aEndpoint,
                       RawConnection& aConnection,
                       const RawRequest& aRequest)
{
  const std::string id = aRequest.Header("x-request-id");
  {
    const std::lock_guard lock(m_mutex);
    if (aRequest.Header("x-expect-instance") != m_ids[aEndpoint]) {
      aConnection.Write(absl::StrCat("HTTP/1.1 421 X\r\nX-Not-Executed: 1\r\nX-Request-Id: ",
                                     id,
                                     "\r\nContent-Length: 0\r\n\r\n"));
      return true;
    }
  }
  const std::string harm = m_behaviour.m_harm_of(aRequest);
  if (!harm.empty()) {
    m_checker.RecordArrival(harm, static_cast<std::size_t>(id.front() - '0'));
  }
  std::this_thread::sleep_for(Ms(30));
  const bool may_continue = m_behaviour.m_respond(aConnection, aRequest, !harm.empty());
  if (!harm.empty()) {
    m_checker.RecordCrash(harm);
    Crash(aEndpoint);
    return false;
  }
  return may_continue;
}

void
CrashingCluster::RunOperator()
{
  std::vector<std::pair<Clock::time_point, std::string>> lapsing;
  while (!m_is_over) {
    std::this_thread::sleep_for(Ms(20));
    const std::lock_guard lock(m_mutex);
    const Clock::time_point now = Clock::now();
    while (!m_crashed.empty() && now - m_crashed.front().first >= kRestartTime) {
      const auto [crashed_at, endpoint] = m_crashed.front();
      m_crashed.pop_front();
      ++m_last_incarnation;
      if (!m_options.m_keeps_ids) {
        lapsing.emplace_back(crashed_at, m_ids[endpoint]);
        m_ids[endpoint] = absl::StrCat("i-", endpoint, "-", m_last_incarnation);
        m_cluster.SetId(endpoint, m_ids[endpoint]);
      }
      m_cluster.CommandEndpointProxy(endpoint, { { "fault", "none" } });
      m_cluster.Register(endpoint, "ready", { { "born", m_last_incarnation } });
      m_is_down[endpoint] = false;
    }
    std::erase_if(lapsing, [&](const auto& aEntry) {
      const bool is_over = now - aEntry.first >= kLapseTime;
      if (is_over) {
        m_cluster.Store().Put("keyed.servers", aEntry.second, std::nullopt);
      }
      return is_over;
    });
  }
}

}
