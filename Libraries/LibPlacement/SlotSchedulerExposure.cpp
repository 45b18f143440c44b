#include <LibPlacement/SlotScheduler.h>

#include <algorithm>

namespace auburnhitch {

void
SlotScheduler::RecordEndedExposure(const SlotRequestId& aRequestId,
                                   SlotOutcome aOutcome,
                                   TimePoint aNow)
{
  if (m_exposure != nullptr) {
    m_exposure->OnEnded(aRequestId, aOutcome, aNow);
  }
}

EndpointChooser::Filter
SlotScheduler::MayServe(const SlotRequest& aRequest, TimePoint aNow) const
{
  return [this, &aRequest, aNow](const SlotEndpoint& aEndpoint) {
    return IsEligibleNow(aEndpoint, aRequest, aNow) && !RestEnd(aEndpoint, aRequest, aNow) &&
           (m_exposure == nullptr || m_exposure->Permits(aRequest, aEndpoint.Info(), aNow));
  };
}

SlotEndpoint*
SlotScheduler::Choose(const SlotRequest& aRequest, TimePoint aNow)
{
  const EndpointChooser::Filter may_serve = MayServe(aRequest, aNow);
  const auto is_preferred = [&](const SlotEndpoint& aEndpoint) {
    // An endpoint that cannot be reached says nothing about its version.
    return m_exposure->Prefers(aEndpoint.Info()) && !aEndpoint.MayHaveRestarted(aNow) &&
           may_serve(aEndpoint);
  };
  if (m_exposure != nullptr &&
      std::any_of(m_endpoints.begin(), m_endpoints.end(), [this](const auto& aEntry) {
        return m_exposure->Prefers(aEntry.second.Info());
      })) {
    if (SlotEndpoint* endpoint = Chooser().Choose(m_endpoints, aRequest, is_preferred, aNow)) {
      return endpoint;
    }
  }
  return Chooser().Choose(m_endpoints, aRequest, may_serve, aNow);
}

}
