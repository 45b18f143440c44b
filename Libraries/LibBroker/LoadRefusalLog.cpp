#include <LibBroker/LoadRefusalLog.h>

#include <LibCore/Log.h>

namespace auburnhitch {

namespace {

// One line in this time for each service: thousands of requests a second may be refused.
constexpr Milliseconds kLogInterval{ 1'000 };

}

void
LoadRefusalLog::Record(const ServiceName& aService, const SlotDecisions& aDecisions, TimePoint aNow)
{
  if (!aDecisions.m_judgement) {
    return;
  }
  m_refused += aDecisions.m_refused_for_load;
  m_beside_free_slot += aDecisions.m_refused_beside_free_slot;
  if (m_logged_at && aNow - *m_logged_at < kLogInterval) {
    return;
  }
  m_logged_at = aNow;
  const LoadJudgement& judgement = *aDecisions.m_judgement;
  LogOf("home").info("event=refused-for-load service={} priority={} waited_ms={:.0f} "
                     "first_byte_bound_ms={:.0f} until_objective_ms={:.0f} responses={} "
                     "estimate_age_ms={:.0f} refused={} beside_free_slot={}",
                     aService.Value(),
                     judgement.m_priority,
                     judgement.m_waited_ms,
                     judgement.m_first_byte_bound_ms,
                     judgement.m_until_objective_ms,
                     judgement.m_responses,
                     judgement.m_estimate_age_ms,
                     m_refused,
                     m_beside_free_slot);
}

}
