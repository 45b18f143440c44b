#pragma once

#include <LibPlacement/PlaceEndpoint.h>
#include <LibPlacement/PlaceQueue.h>
#include <map>

namespace auburnhitch {

struct PlaceSchedulerLimits
{
  std::size_t m_max_waiting = 5'000;
  /// Bounds of what a refused caller is told.
  Milliseconds m_least_retry_after{ 100 };
  Milliseconds m_most_retry_after{ 10'000 };
};

/// What a scheduler believes of one endpoint, for logs.
struct PlaceEndpointView
{
  EndpointId m_id;
  bool m_is_suspect = false;
  std::size_t m_held = 0;
  double m_first_slowness = 1;
  double m_rest_slowness = 1;
  double m_failure_rate = 0;
};

/// Decides for one service which request gets a place at which endpoint, and which is refused.
/// One daemon does so for all; a daemon that cannot reach it does so for itself with a part of the
/// places. Pure: owns no clock and no socket. Not thread-safe.
class PlaceScheduler
{
public:
  explicit PlaceScheduler(PlaceSchedulerLimits aLimits)
    : m_limits(aLimits)
  {
  }

  /// Takes over the endpoints that may be used. What was learned of those that stay is kept, unless
  /// they have started anew.
  void SetEndpoints(const std::vector<PlaceEndpointInfo>& aEndpoints, TimePoint aNow);
  /// Tells which part of each endpoint's places is this scheduler's.
  void SetPart(double aPart) { m_part = aPart; }

  /// Lets a request wait. Decide() answers it.
  void Ask(const PlaceRequest& aRequest, TimePoint aNow);
  /// The request no longer wants a place. Returns it if it waited.
  std::optional<PlaceRequest> Withdraw(const PlaceTicket& aTicket);
  /// A daemon tells of a place that it was granted by another scheduler.
  void NoteHeld(const PlaceTicket& aTicket,
                const EndpointId& aEndpoint,
                const PlaceWork& aWork,
                TimePoint aNow);
  void NoteStarted(const PlaceTicket& aTicket, const EndpointId& aEndpoint, TimePoint aNow);
  void NoteEnded(const PlaceTicket& aTicket,
                 const EndpointId& aEndpoint,
                 PlaceEnd aEnd,
                 TimePoint aNow);
  /// Frees a place whose grant was never used.
  void ReleaseTicket(const PlaceTicket& aTicket, TimePoint aNow);
  /// Drops all that a daemon waits for and holds. Returns the requests that waited.
  std::vector<PlaceRequest> ForgetDaemon(const Incarnation& aDaemon);

  /// Grants and refuses what can be decided now.
  PlaceDecisions Decide(TimePoint aNow);

  std::size_t WaitingCount() const { return m_queue.Size(); }
  std::size_t HeldCount() const;
  /// Places that may be used now, at endpoints that are trusted.
  std::size_t PlaceCount(TimePoint aNow) const;
  /// What is believed of each endpoint.
  std::vector<PlaceEndpointView> View(TimePoint aNow) const;

private:
  PlaceEndpoint* Choose(const WaitingPlace& aWaiting, TimePoint aNow);
  double CostOf(const PlaceEndpoint& aEndpoint, const PlaceRequest& aRequest) const;
  double ExpectedWaitMs(int aPriority, TimePoint aNow) const;
  /// Whether a request that has just come would get no place while it is of use.
  bool IsHopeless(const WaitingPlace& aWaiting, TimePoint aNow) const;
  Milliseconds RetryAfter(const PlaceRequest& aRequest, double aWaitMs) const;
  void Refuse(const PlaceRequest& aRequest,
              PlaceRefusalReason aReason,
              TimePoint aNow,
              PlaceDecisions& aDecisions) const;

  PlaceSchedulerLimits m_limits;
  double m_part = 1.0;
  std::map<EndpointId, PlaceEndpoint> m_endpoints;
  PlaceQueue m_queue;
  /// Asked since the last decision.
  std::vector<PlaceTicket> m_new;
  /// How far times to the first part are from what was expected, as a part of it.
  double m_deviation = 0.25;
};

}
