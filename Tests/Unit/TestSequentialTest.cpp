#include <LibRollout/SequentialTest.h>

#include <algorithm>
#include <cmath>
#include <doctest.h>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

using namespace auburnhitch;

namespace {

constexpr double kGoodShare = 0.02;
constexpr double kDesignShare = 0.17;
constexpr int kTraces = 2'000;
constexpr int kLength = 400;

double
LogRatio(bool aIsBad)
{
  return aIsBad ? std::log(kDesignShare / kGoodShare)
                : std::log((1 - kDesignShare) / (1 - kGoodShare));
}

/// Returns a statistic after each response; a version is bad once it reaches a threshold.
using Statistic = std::function<double(bool aIsBad)>;
using Candidate = std::function<Statistic()>;

Statistic
FixedThreshold()
{
  // The number of bad responses among the latest fifty.
  return [latest = std::vector<bool>()](bool aIsBad) mutable {
    latest.push_back(aIsBad);
    if (latest.size() > 50) {
      latest.erase(latest.begin());
    }
    return static_cast<double>(std::count(latest.begin(), latest.end(), true));
  };
}

Statistic
Cusum()
{
  return [sum = 0.0](bool aIsBad) mutable { return sum = std::max(0.0, sum + LogRatio(aIsBad)); };
}

Statistic
ProbabilityRatio()
{
  // Accepts at -3 and starts again, since a version may turn bad later.
  return [sum = 0.0](bool aIsBad) mutable {
    sum += LogRatio(aIsBad);
    if (sum < -3) {
      sum = 0;
    }
    return sum;
  };
}

Statistic
BinnedLikelihood()
{
  // The likelihood ratio of the share of bad responses in each bin of twenty and the bin before.
  return [bins = std::vector<int>(1, 0), count = 0](bool aIsBad) mutable {
    if (count == 20) {
      bins.push_back(0);
      count = 0;
    }
    ++count;
    bins.back() += aIsBad ? 1 : 0;
    const bool has_previous = bins.size() > 1;
    const double n = count + (has_previous ? 20 : 0);
    const double k = bins.back() + (has_previous ? bins[bins.size() - 2] : 0);
    const double share = k / n;
    if (share <= kGoodShare) {
      return 0.0;
    }
    return k * std::log(share / kGoodShare) +
           (share < 1 ? (n - k) * std::log((1 - share) / (1 - kGoodShare)) : 0);
  };
}

std::vector<bool>
Trace(std::mt19937& aRandom, double aShare, int aBadFrom)
{
  std::vector<bool> trace;
  trace.reserve(kLength);
  for (int i = 0; i < kLength; ++i) {
    trace.push_back(std::bernoulli_distribution(i < aBadFrom ? kGoodShare : aShare)(aRandom));
  }
  return trace;
}

/// The threshold that 1 in 100 traces of a good version reaches.
double
Calibrate(const Candidate& aCandidate)
{
  std::mt19937 random(1);
  std::vector<double> highest;
  highest.reserve(kTraces);
  for (int i = 0; i < kTraces; ++i) {
    const Statistic statistic = aCandidate();
    double most = 0;
    for (const bool is_bad : Trace(random, kGoodShare, 0)) {
      most = std::max(most, statistic(is_bad));
    }
    highest.push_back(most);
  }
  std::sort(highest.begin(), highest.end());
  return highest[kTraces * 99 / 100] + 1e-9;
}

struct Delay
{
  double m_mean_bad = 0;
  double m_missed = 0;
};

Delay
Measure(const Candidate& aCandidate, double aThreshold, double aShare, int aBadFrom)
{
  std::mt19937 random(2);
  Delay delay;
  for (int i = 0; i < kTraces; ++i) {
    const Statistic statistic = aCandidate();
    const std::vector<bool> trace = Trace(random, aShare, aBadFrom);
    int bad = 0;
    bool is_found = false;
    for (int j = 0; j < kLength && !is_found; ++j) {
      is_found = statistic(trace[j]) > aThreshold && j >= aBadFrom;
      bad += trace[j] && j >= aBadFrom ? 1 : 0;
    }
    delay.m_mean_bad += static_cast<double>(bad) / kTraces;
    delay.m_missed += is_found ? 0 : 1.0 / kTraces;
  }
  return delay;
}

constexpr std::size_t kCusum = 1;

/// Measures all candidates on each shape of a bad version, at the same rate of false alarms.
void
ForEachShape(const std::function<void(const std::vector<Delay>&)>& aCheck)
{
  const std::vector<std::pair<std::string, Candidate>> candidates = {
    { "fixed threshold", FixedThreshold },
    { "CUSUM", Cusum },
    { "probability ratio, restarted", ProbabilityRatio },
    { "binned likelihood", BinnedLikelihood },
  };
  std::vector<double> thresholds;
  thresholds.reserve(candidates.size());
  for (const auto& [name, candidate] : candidates) {
    thresholds.push_back(Calibrate(candidate));
  }
  for (const auto& shape : std::vector<std::pair<double, int>>{
         { 0.1, 0 }, { 0.3, 0 }, { 1, 0 }, { 0.1, 100 }, { 0.3, 100 }, { 1, 100 } }) {
    const double share = shape.first;
    const int bad_from = shape.second;
    std::vector<Delay> delays;
    delays.reserve(candidates.size());
    for (std::size_t i = 0; i < candidates.size(); ++i) {
      delays.push_back(Measure(candidates[i].second, thresholds[i], share, bad_from));
      MESSAGE(candidates[i].first << ": bad share " << share << " from response " << bad_from
                                  << ": bad responses until found " << delays.back().m_mean_bad
                                  << ", missed " << delays.back().m_missed);
    }
    CAPTURE(share);
    CAPTURE(bad_from);
    aCheck(delays);
  }
}

}

// Guards against a choice of test that another candidate beats at the same rate of false alarms.
TEST_CASE("Sequential test: the cumulative sum misses least and is among the fastest")
{
  // At the same rate of false alarms, no candidate may find a shape this many bad responses sooner.
  constexpr double kMaxBehind = 2.1;
  ForEachShape([](const std::vector<Delay>& aDelays) {
    for (const Delay& delay : aDelays) {
      CHECK(aDelays[kCusum].m_mean_bad <= delay.m_mean_bad + kMaxBehind);
      CHECK(aDelays[kCusum].m_missed <= delay.m_missed);
    }
  });
}

// Guards against a choice of test that another candidate beats at the same rate of false alarms.
TEST_CASE("Sequential test: no candidate is faster than the cumulative sum by a third")
{
  constexpr double kMaxRatio = 1.35;
  ForEachShape([](const std::vector<Delay>& aDelays) {
    for (const Delay& delay : aDelays) {
      CHECK(aDelays[kCusum].m_mean_bad <= kMaxRatio * delay.m_mean_bad);
    }
  });
}

// Guards against a rollback for the fault of one endpoint.
TEST_CASE("Sequential test: one endpoint of several is not sufficient")
{
  SequentialTest test;
  for (int i = 0; i < 100; ++i) {
    test.Record(EndpointId("a"), true, 0.01, false);
  }
  CHECK_FALSE(test.IsBad());
  for (int i = 0; i < 4; ++i) {
    test.Record(EndpointId("b"), true, 0.01, false);
  }
  CHECK(test.IsBad());
}

// Guards against a version that turns bad late and is found late.
TEST_CASE("Sequential test: good responses do not lower the sum below 0")
{
  SequentialTest test;
  for (int i = 0; i < 10'000; ++i) {
    test.Record(EndpointId("a"), false, 0.01, true);
  }
  for (int i = 0; i < 6; ++i) {
    test.Record(EndpointId("a"), true, 0.01, true);
  }
  CHECK(test.IsBad());
}
