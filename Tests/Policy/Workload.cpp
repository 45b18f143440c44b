#include "Workload.h"

#include <cmath>

namespace auburnhitch::policy {

namespace {

constexpr int kWorkspaces = 5;

// Lengths spread over their range evenly in the logarithm: many short ones, few long ones.
int
DrawLength(int aLeast, int aMost, std::mt19937_64& aRandom)
{
  std::uniform_real_distribution<double> exponent(std::log(aLeast), std::log(aMost));
  return static_cast<int>(std::exp(exponent(aRandom)));
}

const TrafficClass&
DrawClass(const Traffic& aTraffic, std::mt19937_64& aRandom)
{
  double part = std::uniform_real_distribution<double>(0, 1)(aRandom);
  for (const TrafficClass& one : aTraffic.m_classes) {
    part -= one.m_share;
    if (part < 0) {
      return one;
    }
  }
  return aTraffic.m_classes.back();
}

}

Traffic
AssociationTraffic()
{
  return Traffic{ "association",
                  { { "live", 0.5, 60, 600, 40, 160, 12, 1'500, 10'000, false },
                    { "paying", 0.3, 300, 4'000, 100, 600, 6, 1'000, 30'000, false },
                    { "trial", 0.2, 2'000, 20'000, 100, 500, 4, 500, 90'000, true } },
                  10 };
}

Traffic
KalahariTraffic()
{
  return Traffic{ "kalahari",
                  { { "counter", 0.4, 40, 500, 60, 200, 8, 2'000, 15'000, false },
                    { "office", 0.2, 200, 2'000, 100, 400, 8, 1'000, 30'000, false },
                    { "night", 0.4, 1'500, 20'000, 150, 500, 30, 2'500, 90'000, true } },
                  12 };
}

std::vector<SimRequest>
DrawRequests(const Traffic& aTraffic,
             double aRate,
             SimTime aUntil,
             double aLargest,
             std::mt19937_64& aRandom)
{
  std::vector<SimRequest> requests;
  std::exponential_distribution<double> gap(aRate / 1'000);
  std::vector<double> weights(kWorkspaces, 1.0);
  weights[0] = aLargest;
  std::discrete_distribution<int> workspace(weights.begin(), weights.end());
  SimTime now = 0;
  while ((now += gap(aRandom)) < aUntil) {
    const TrafficClass& one = DrawClass(aTraffic, aRandom);
    SimRequest request;
    request.m_id = static_cast<std::int64_t>(requests.size());
    request.m_arrival = now;
    request.m_tier = static_cast<std::size_t>(&one - aTraffic.m_classes.data());
    request.m_workspace = "w" + std::to_string(workspace(aRandom));
    request.m_prefix = static_cast<int>(request.m_tier) * 1'000 +
                       std::uniform_int_distribution<int>(0, one.m_prefixes - 1)(aRandom);
    request.m_prefix_tokens = one.m_prefix_tokens;
    request.m_own_tokens = DrawLength(one.m_min_own_tokens, one.m_max_own_tokens, aRandom);
    request.m_output = DrawLength(one.m_min_output_tokens, one.m_max_output_tokens, aRandom);
    request.m_max_output = one.m_max_output_tokens;
    request.m_deadline_ms = one.m_deadline_ms;
    request.m_is_sheddable = one.m_is_sheddable;
    requests.push_back(std::move(request));
  }
  return requests;
}

}
