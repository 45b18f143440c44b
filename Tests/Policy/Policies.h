#pragma once

#include "Workload.h"

#include <LibScheduling/ServiceScheduler.h>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace auburnhitch::policy {

/// What a policy is told of the world, with the lag that the world has.
struct View
{
  SimTime m_now = 0;
  /// Load that each engine reported some time ago.
  std::vector<std::size_t> m_reported_load;
  std::optional<std::size_t> m_tier_waiting_at_peers;
  /// Engines that the host list shows.
  std::vector<bool> m_is_listed;
};

/// A request to be sent now.
struct Assignment
{
  std::int64_t m_request;
  std::size_t m_engine;
};

/// A request that is given up, and when its caller may come back.
struct Refusal
{
  std::int64_t m_request;
  double m_retry_after_ms;
};

/// One daemon's way of deciding.
class Policy
{
public:
  virtual ~Policy() = default;
  virtual void Arrive(const SimRequest& aRequest, const View& aView) = 0;
  virtual void Ended(const SimRequest& aRequest,
                     std::size_t aEngine,
                     double aTookMs,
                     bool aIsWhole,
                     const View& aView) = 0;
  /// Decides what can be decided now.
  virtual void Decide(const View& aView,
                      std::vector<Assignment>& aSends,
                      std::vector<Refusal>& aRefusals) = 0;
  /// The highest tier waiting here.
  virtual std::optional<std::size_t> TierWaiting() const = 0;
  /// Whether work that may be shed waits here.
  virtual bool IsSheddableWaiting() const = 0;
};

using PolicyFactory = std::function<std::unique_ptr<Policy>(std::size_t aDaemon)>;

/// A named policy for the table.
struct NamedPolicy
{
  std::string m_name;
  PolicyFactory m_create;
};

/// The baselines and every version of our own policy.
std::vector<NamedPolicy>
AllPolicies(std::size_t aEngines, std::size_t aDaemons, std::size_t aWindow);

}
