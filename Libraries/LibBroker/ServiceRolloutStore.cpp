#include <LibBroker/ServiceRollout.h>

#include <LibCore/Log.h>
#include <algorithm>

namespace auburnhitch {

namespace {

// Requests to the target that one save reserves: what two intervals need at the present rate.
constexpr int kMinBlock = 16;
constexpr int kMaxBlock = 256;
constexpr Milliseconds kSaveInterval{ 1'000 };
// A successor learns from the state how much of the duration has passed, so that an error of this
// part of it does not make the verdict late.
constexpr int kSavesWhileWaiting = 32;
// How long the state of another decider must stay unchanged before this daemon replaces it again.
// A decider that sends requests to the target saves its state each second.
constexpr Milliseconds kDeciderTimeout{ 3'000 };
// Time within which each daemon has read a newer order.
constexpr Milliseconds kOrderLag{ 2'000 };
constexpr Milliseconds kMinBackOff{ 200 };
constexpr Milliseconds kMaxBackOff{ 1'600 };

bool
HasEnded(RolloutStage aStage)
{
  return aStage == RolloutStage::Completed || aStage == RolloutStage::RolledBack;
}

void
LogFailure(const ServiceName& aService, const char* aCall, const absl::Status& aStatus)
{
  LogOf("rollout").warn("event=store-call-failed service={} call={} why=\"{}\"",
                        aService.Value(),
                        aCall,
                        std::string(aStatus.message()));
}

}

template<typename Result>
std::function<void(Result)>
ServiceRollout::Guarded(std::function<void(Result)> aHandler)
{
  m_is_calling = true;
  return [this, exists = std::weak_ptr(m_exists), tenure = m_tenure, aHandler](Result aResult) {
    if (exists.expired()) {
      return;
    }
    m_is_calling = false;
    if (tenure == m_tenure) {
      aHandler(std::move(aResult));
    }
  };
}

void
ServiceRollout::CallStore(TimePoint aNow)
{
  if (m_is_calling || aNow < m_next_call_at) {
    return;
  }
  if (m_verdict) {
    if (m_must_check_verdict) {
      StartVerdictCheck();
    } else if (!m_is_published) {
      StartPublish(MakeState(aNow));
    } else if (m_is_withdrawn) {
      Forget();
    }
    return;
  }
  if (m_unsure) {
    StartSave(*m_unsure);
  } else if (!m_is_decider) {
    StartLoad();
  } else if (NeedsSave(aNow)) {
    StartSave(MakeState(aNow));
  } else if (!m_is_published && IsFresh(aNow)) {
    StartPublish(MakeState(aNow));
  }
}

void
ServiceRollout::StartLoad()
{
  m_store->Load(
    m_service,
    Guarded<absl::StatusOr<std::optional<RolloutState>>>(
      [this](const absl::StatusOr<std::optional<RolloutState>>& aResult) { OnLoaded(aResult); }));
}

bool
ServiceRollout::MustWait(const RolloutState& aLoaded, TimePoint aNow)
{
  if (HasEnded(aLoaded.m_stage)) {
    return false;
  }
  if (m_known_orders.insert(aLoaded.m_order_id).second) {
    // The state may belong to an order that this daemon has not read yet.
    m_next_call_at = aNow + kOrderLag;
    return true;
  }
  if (m_was_replaced && aLoaded.m_decider != m_dependencies.m_self && m_last_loaded != aLoaded) {
    m_last_loaded = aLoaded;
    m_next_call_at = aNow + kDeciderTimeout;
    return true;
  }
  return false;
}

void
ServiceRollout::OnLoaded(const absl::StatusOr<std::optional<RolloutState>>& aResult)
{
  const TimePoint now = m_dependencies.m_now();
  if (!aResult.ok()) {
    LogFailure(m_service, "load", aResult.status());
    BackOff();
    return;
  }
  m_back_off = Milliseconds(0);
  const std::optional<RolloutState>& loaded = *aResult;
  if (loaded && MustWait(*loaded, now)) {
    return;
  }
  const bool is_of_order = loaded && loaded->m_order_id == m_order->m_id;
  if (is_of_order && HasEnded(loaded->m_stage)) {
    SetVerdict(loaded->m_stage, now);
    return;
  }
  if (loaded && !is_of_order && loaded->m_stage != RolloutStage::Completed &&
      loaded->m_target != m_order->m_target) {
    m_withheld.insert(loaded->m_target);
    UpdateEndpoints();
  }
  // What this daemon decided last counts if the store has lost it.
  const std::optional<RolloutState>& known = is_of_order ? loaded : m_last_own;
  if (!known && m_is_withdrawn) {
    Forget();
    return;
  }
  if (known) {
    m_ordered_at = std::min(m_ordered_at, now - known->m_elapsed);
  }
  m_rollout.emplace(*m_order, m_limits.m_exposure, m_ordered_at);
  if (known) {
    m_reserved = std::max(known->m_sent, m_last_own ? m_last_own->m_sent : 0);
    m_rollout->Restore(known->m_stage, known->m_arrived, m_reserved, now);
  }
  m_sent_at_save = m_reserved;
  m_saved_stage = RolloutStage::Waiting;
  if (m_is_withdrawn) {
    m_rollout->Abandon();
  }
  StartSave(MakeState(now));
}

void
ServiceRollout::OnStoreWentBack()
{
  m_must_check_verdict = m_verdict.has_value();
  m_is_published = false;
}

void
ServiceRollout::StartVerdictCheck()
{
  m_store->Load(m_service,
                Guarded<absl::StatusOr<std::optional<RolloutState>>>(
                  [this](const absl::StatusOr<std::optional<RolloutState>>& aResult) {
                    OnVerdictChecked(aResult);
                  }));
}

void
ServiceRollout::OnVerdictChecked(const absl::StatusOr<std::optional<RolloutState>>& aResult)
{
  const TimePoint now = m_dependencies.m_now();
  if (!aResult.ok()) {
    BackOff();
    return;
  }
  m_back_off = Milliseconds(0);
  const std::optional<RolloutState>& loaded = *aResult;
  if (loaded && m_known_orders.insert(loaded->m_order_id).second) {
    // The state belongs to an order that this daemon has not read yet.
    m_next_call_at = now + kOrderLag;
    return;
  }
  if (loaded && loaded->m_order_id == m_order->m_id && HasEnded(loaded->m_stage)) {
    m_must_check_verdict = false;
    SetVerdict(loaded->m_stage, now);
    return;
  }
  m_store->Save(MakeState(now), Guarded<absl::Status>([this](const absl::Status& aStatus) {
                  if (!aStatus.ok()) {
                    BackOff();
                    return;
                  }
                  m_back_off = Milliseconds(0);
                  m_must_check_verdict = false;
                }));
}

RolloutState
ServiceRollout::MakeState(TimePoint aNow) const
{
  RolloutState state;
  state.m_service = m_service;
  state.m_order_id = m_order->m_id;
  state.m_target = m_order->m_target;
  state.m_decider = m_dependencies.m_self;
  state.m_elapsed = Milliseconds(ToMilliseconds(aNow - m_ordered_at));
  if (m_rollout) {
    state.m_stage = m_rollout->Stage();
    state.m_arrived = m_rollout->Budget().Arrived();
    const std::uint64_t sent = m_rollout->Budget().Sent();
    const bool is_bounded = !m_rollout->HasEnded() && state.m_stage != RolloutStage::Drain;
    const int wanted =
      std::clamp(static_cast<int>(2 * (sent - m_sent_at_save)), kMinBlock, kMaxBlock);
    const auto block =
      static_cast<std::uint64_t>(is_bounded ? m_rollout->CountPermitted(wanted) : 0);
    state.m_sent = std::max(m_reserved, sent + block);
  }
  if (m_verdict) {
    state.m_stage = *m_verdict;
  }
  return state;
}

bool
ServiceRollout::NeedsSave(TimePoint aNow) const
{
  if (m_rollout->Stage() != m_saved_stage) {
    return true;
  }
  const bool is_waiting = m_rollout->Stage() == RolloutStage::Waiting;
  const Milliseconds interval =
    is_waiting ? std::max(kSaveInterval, m_order->m_duration / kSavesWhileWaiting) : kSaveInterval;
  return aNow - m_saved_at >= interval;
}

void
ServiceRollout::StartSave(const RolloutState& aState)
{
  m_unsure = aState;
  m_store->Save(aState,
                Guarded<absl::Status>(
                  [this, aState, started_at = m_dependencies.m_now()](const absl::Status& aStatus) {
                    OnSaved(aStatus, aState, started_at);
                  }));
}

void
ServiceRollout::OnSaved(const absl::Status& aStatus,
                        const RolloutState& aState,
                        TimePoint aStartedAt)
{
  if (absl::IsAborted(aStatus)) {
    m_was_replaced = true;
    LetGo("another daemon decides");
    return;
  }
  if (!aStatus.ok()) {
    LogFailure(m_service, "save", aStatus);
    BackOff();
    return;
  }
  m_back_off = Milliseconds(0);
  m_unsure = std::nullopt;
  m_saved_at = aStartedAt;
  m_saved_stage = aState.m_stage;
  m_reserved = aState.m_sent;
  m_sent_at_save = m_rollout->Budget().Sent();
  if (!m_is_decider) {
    m_is_decider = true;
    m_was_replaced = false;
    m_last_loaded = std::nullopt;
    m_decider_since = m_dependencies.m_now();
    LogStage("decider");
  }
  if (HasEnded(aState.m_stage)) {
    LogStage("verdict");
    SetVerdict(aState.m_stage, m_dependencies.m_now());
  }
}

void
ServiceRollout::SetVerdict(RolloutStage aStage, TimePoint aNow)
{
  m_verdict = aStage;
  m_verdict_known_at = aNow;
  m_is_published = false;
  if (aStage == RolloutStage::Completed) {
    m_withheld.erase(m_order->m_target);
    for (const SlotEndpointInfo& info : m_dependencies.m_endpoints()) {
      if (info.m_software_version != m_order->m_target) {
        m_retired.insert(info.m_software_version);
      }
    }
  }
  m_running.clear();
}

void
ServiceRollout::StartPublish(const RolloutState& aState)
{
  m_store->Publish(aState, Guarded<absl::Status>([this, aState](const absl::Status& aStatus) {
                     if (!aStatus.ok()) {
                       LogFailure(m_service, "publish", aStatus);
                       m_must_check_verdict = m_verdict && absl::IsAborted(aStatus);
                       BackOff();
                       return;
                     }
                     m_back_off = Milliseconds(0);
                     LogOf("rollout").info("event=published service={} order={} stage={}",
                                           m_service.Value(),
                                           aState.m_order_id,
                                           NameOf(aState.m_stage));
                     m_is_published = true;
                   }));
}

void
ServiceRollout::BackOff()
{
  m_back_off = std::clamp(m_back_off * 2, kMinBackOff, kMaxBackOff);
  m_next_call_at = m_dependencies.m_now() + m_back_off;
}

void
ServiceRollout::LetGo(const char* aWhy)
{
  // The answer to a call in progress must not make this daemon the decider.
  ++m_tenure;
  if (!m_rollout || m_verdict) {
    m_is_decider = false;
    return;
  }
  LogOf("rollout").info("event=let-go service={} order={} stage={} why=\"{}\"",
                        m_service.Value(),
                        m_order->m_id,
                        NameOf(m_rollout->Stage()),
                        aWhy);
  if (m_is_decider) {
    m_last_own = MakeState(m_dependencies.m_now());
  }
  m_rollout = std::nullopt;
  m_is_decider = false;
  m_is_published = false;
  m_unsure = std::nullopt;
}

}
