#include <LibBroker/CrashSuspectTable.h>

#include <LibCore/Log.h>
#include <utility>

namespace auburnhitch {

namespace {

// Keeps a message well below the maximum size on a link.
constexpr std::size_t kMaxSuspicionsInMessage = 100;

void
AppendMessages(const ServiceName& aService,
               const CrashSuspects& aSuspects,
               const std::vector<TraitSuspicion>& aSuspicions,
               std::vector<SlotMessage>& aMessages)
{
  TraitSuspicionsMessage message{ aService, {} };
  for (const TraitSuspicion& suspicion : aSuspicions) {
    message.m_suspicions.push_back(suspicion);
    if (message.m_suspicions.size() == kMaxSuspicionsInMessage) {
      aMessages.emplace_back(std::exchange(message, { aService, {} }));
    }
  }
  if (!message.m_suspicions.empty()) {
    aMessages.emplace_back(std::move(message));
  }
  for (TraitCrashes& crashes : aSuspects.CrashesBehind(aSuspicions)) {
    aMessages.emplace_back(TraitCrashesMessage{ aService, std::move(crashes) });
  }
}

}

const std::shared_ptr<CrashSuspects>&
CrashSuspectTable::Of(const ServiceName& aService)
{
  auto& suspects = m_suspects[aService];
  if (suspects == nullptr) {
    suspects = std::make_shared<CrashSuspects>();
  }
  return suspects;
}

bool
CrashSuspectTable::IsHarmful(const ServiceName& aService,
                             const std::vector<CrashTrait>& aTraits,
                             TimePoint aNow) const
{
  const auto found = m_suspects.find(aService);
  return found != m_suspects.end() &&
         found->second->AdmissionOf(aTraits, aNow) == CrashSuspects::Admission::Refuse;
}

void
CrashSuspectTable::OnMessage(const TraitSuspicionsMessage& aMessage,
                             const HostName& aSender,
                             bool aIsFromCoordinator,
                             TimePoint aNow)
{
  CrashSuspects& suspects = *Of(aMessage.m_service);
  for (const TraitSuspicion& suspicion : aMessage.m_suspicions) {
    if (aIsFromCoordinator) {
      suspects.Apply(suspicion, aNow);
    } else {
      suspects.Merge(suspicion, aSender, aNow);
    }
  }
}

void
CrashSuspectTable::OnMessage(const TraitCrashesMessage& aMessage,
                             const HostName& aSender,
                             bool aIsFromCoordinator,
                             TimePoint aNow)
{
  Of(aMessage.m_service)->ApplyCrashes(aMessage.m_crashes, aSender, aIsFromCoordinator, aNow);
}

std::vector<SlotMessage>
CrashSuspectTable::TakeChanges(TimePoint aNow)
{
  std::vector<SlotMessage> messages;
  for (const auto& [service, suspects] : m_suspects) {
    const std::vector<TraitSuspicion> changes = suspects->TakeChanges(aNow);
    for (const TraitSuspicion& change : changes) {
      LogOf("home").info(
        "event=prompt-part-suspicion service={} part={} probability={:.4f} crashes={} "
        "refused_for_ms={} base_rate={:.4f}",
        service.Value(),
        change.m_trait.Value(),
        change.m_probability,
        change.m_crashes,
        change.m_refused_for.count(),
        suspects->BaseRate());
    }
    AppendMessages(service, *suspects, changes, messages);
  }
  return messages;
}

std::vector<SlotMessage>
CrashSuspectTable::MessagesForCoordinator(const ServiceName& aService, TimePoint aNow) const
{
  std::vector<SlotMessage> messages;
  if (const auto found = m_suspects.find(aService); found != m_suspects.end()) {
    AppendMessages(aService, *found->second, found->second->All(aNow), messages);
  }
  return messages;
}

std::vector<SlotMessage>
CrashSuspectTable::MessagesForDaemon(TimePoint aNow) const
{
  std::vector<SlotMessage> messages;
  for (const auto& [service, suspects] : m_suspects) {
    AppendMessages(service, *suspects, suspects->All(aNow), messages);
  }
  return messages;
}

}
