#pragma once

#include <LibCore/Time.h>
#include <LibRegistry/EndpointRegistry.h>
#include <cstdint>
#include <string>
#include <vector>

namespace auburnhitch {

/// Names one request of one daemon that waits for, or holds, a place at an endpoint.
struct SlotRequestId
{
  Incarnation m_daemon;
  std::uint64_t m_number = 0;

  auto operator<=>(const SlotRequestId&) const = default;

  template<typename Hasher>
  friend Hasher AbslHashValue(Hasher aHasher, const SlotRequestId& aRequestId)
  {
    return Hasher::combine(std::move(aHasher), aRequestId.m_daemon, aRequestId.m_number);
  }
};

/// How much work a request is. Both are 0 for services that are no engines.
struct RequestWork
{
  double m_prompt_tokens = 0;
  /// The caller's estimate, or the most it accepts.
  double m_output_tokens = 0;

  auto operator<=>(const RequestWork&) const = default;
};

/// A request that wants a place.
struct SlotRequest
{
  SlotRequestId m_request_id;
  /// 0 is served first.
  int m_priority = 0;
  RequestWork m_work;
  TimePoint m_arrived_at;
  /// The first part of the answer is in time up to here.
  TimePoint m_objective_at;
  /// Its caller has gone after this.
  TimePoint m_abandoned_at;
  DataCenterName m_data_center;
  /// Endpoints that it was sent to already.
  std::vector<EndpointId> m_avoided;
  /// Whose quota it is charged to; empty when there is none.
  WorkspaceName m_workspace;
  /// What it takes from the quota; 0 once it has been charged.
  std::int64_t m_quota_tokens = 0;

  auto operator<=>(const SlotRequest&) const = default;
};

/// How the use of a place ended.
enum class SlotOutcome
{
  /// A whole answer.
  Complete,
  /// A whole answer that says that the endpoint failed.
  Failed,
  /// The endpoint refused the request unstarted.
  Refused,
  /// No connection: nothing was sent.
  Unreachable,
  /// The connection ended within the answer or before it.
  Broken,
  /// Given up by the caller or at its deadline; says nothing about the endpoint.
  Cancelled,
};

const char*
NameOf(SlotOutcome aEnd);

struct SlotGrant
{
  SlotRequestId m_request_id;
  EndpointId m_endpoint;
  /// Expected time to the first part of the answer.
  Milliseconds m_expected{ 0 };

  auto operator<=>(const SlotGrant&) const = default;
};

enum class SlotRefusalReason
{
  /// The work ahead takes longer than its caller waits.
  Overloaded,
  /// It waited until its caller was about to go.
  WaitedTooLong,
  /// No endpoint of the service may be used.
  NoEndpoint,
  /// Its workspace has used up its quota.
  OverQuota,
};

const char*
NameOf(SlotRefusalReason aReason);

struct SlotRefusal
{
  SlotRequestId m_request_id;
  SlotRefusalReason m_reason = SlotRefusalReason::Overloaded;
  Milliseconds m_retry_after{ 0 };

  auto operator<=>(const SlotRefusal&) const = default;
};

/// What a scheduler decided; in order.
struct SlotDecisions
{
  std::vector<SlotGrant> m_grants;
  std::vector<SlotRefusal> m_refusals;
  /// The requests that the refusals are for, in the same order.
  std::vector<SlotRequest> m_refused;
};

}
