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

/// The state that one daemon's policy sees. The reports of others are as old as they would be in a
/// real cluster.
struct View
{
  SimTime m_now = 0;
  /// Number of requests at each engine, as of its last report.
  std::vector<std::size_t> m_reported_load;
  /// The highest tier that waits at any other daemon.
  std::optional<std::size_t> m_tier_waiting_at_peers;
  /// For each engine, whether the host list contains it.
  std::vector<bool> m_is_listed;
};

/// A request and the engine to which it is sent now.
struct Assignment
{
  std::int64_t m_request;
  std::size_t m_engine;
};

/// A refused request, and the time after which its caller may retry.
struct Refusal
{
  std::int64_t m_request;
  double m_retry_after_ms;
};

/// The scheduling policy of one daemon.
class Policy
{
public:
  virtual ~Policy() = default;
  /// Queues a request that a caller has submitted to this daemon.
  virtual void Arrive(const SimRequest& aRequest, const View& aView) = 0;
  /// Records that an engine has ended a request of this daemon. aIsWhole is false if the request
  /// was cancelled or lost.
  virtual void Ended(const SimRequest& aRequest,
                     std::size_t aEngine,
                     double aTookMs,
                     bool aIsWhole,
                     const View& aView) = 0;
  /// Assigns waiting requests to engines and refuses requests, as far as the view allows it now.
  virtual void Decide(const View& aView,
                      std::vector<Assignment>& aAssignments,
                      std::vector<Refusal>& aRefusals) = 0;
  /// Returns the highest tier that waits at this daemon.
  virtual std::optional<std::size_t> TierWaiting() const = 0;
  /// Returns whether requests that may be shed wait at this daemon.
  virtual bool IsSheddableWaiting() const = 0;
};

using PolicyFactory = std::function<std::unique_ptr<Policy>(std::size_t aDaemon)>;

/// A policy with the name that the report prints.
struct NamedPolicy
{
  std::string m_name;
  PolicyFactory m_create;
};

/// Returns the baselines, then all versions of the daemons' own policy, the current one last.
/// aWindow is the part of an engine's concurrency limit that falls to each daemon.
std::vector<NamedPolicy>
AllPolicies(std::size_t aEngines, std::size_t aDaemons, std::size_t aWindow);

}
