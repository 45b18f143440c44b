#pragma once

#include <LibPlacement/SlotEndpoint.h>

namespace auburnhitch {

/// Decides which endpoints of a service may serve requests while a rollout is in progress, and is
/// informed of what happens to the requests. The scheduler of the service's slots calls it. Not
/// thread-safe.
class ExposurePolicy
{
public:
  ExposurePolicy() = default;
  virtual ~ExposurePolicy() = default;
  ExposurePolicy(const ExposurePolicy&) = delete;
  ExposurePolicy& operator=(const ExposurePolicy&) = delete;

  /// Whether a request may be granted a slot at an endpoint now.
  virtual bool Permits(const SlotRequest& aRequest,
                       const SlotEndpointInfo& aEndpoint,
                       TimePoint aNow) const = 0;
  /// Whether a request goes to an endpoint that is permitted before others are considered. Costs
  /// and failures would otherwise keep requests away from a bad version, whose faults then stay
  /// unknown.
  virtual bool Prefers(const SlotEndpointInfo& aEndpoint) const = 0;
  /// Whether the slots of an endpoint are part of the capacity of the service, for estimates of
  /// waiting times.
  virtual bool IsInService(const SlotEndpointInfo& aEndpoint) const = 0;

  /// Whether an endpoint gets no further requests, nor those that continue a stream.
  virtual bool IsRejected(const SlotEndpointInfo& aEndpoint) const = 0;

  /// A slot has been granted.
  virtual void OnGranted(const SlotRequest& aRequest,
                         const SlotEndpointInfo& aEndpoint,
                         TimePoint aNow) = 0;
  /// A daemon holds a slot that another coordinator granted.
  virtual void OnHeld(const SlotRequestId& aRequestId,
                      const SlotEndpointInfo& aEndpoint,
                      TimePoint aNow) = 0;
  /// The first byte of the response has arrived.
  virtual void OnStarted(const SlotRequestId& aRequestId, TimePoint aNow) = 0;
  virtual void OnEnded(const SlotRequestId& aRequestId, SlotOutcome aOutcome, TimePoint aNow) = 0;
  /// A daemon has left this coordinator; its requests may still run.
  virtual void OnDaemonForgotten(const Incarnation& aDaemon) = 0;
};

}
