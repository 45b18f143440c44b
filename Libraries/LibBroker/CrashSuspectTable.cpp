#include <LibBroker/CrashSuspectTable.h>

#include <LibCore/Log.h>

namespace auburnhitch {

namespace {

// Keeps a message well below the maximum size on a link.
constexpr std::size_t kMaxSuspicionsInMessage = 100;

void
AppendMessages(const ServiceName& aService,
               const std::vector<PartSuspicion>& aSuspicions,
               std::vector<PartSuspicionsMessage>& aMessages)
{
  for (std::size_t i = 0; i < aSuspicions.size(); ++i) {
    if (i % kMaxSuspicionsInMessage == 0) {
      aMessages.push_back({ aService, {} });
    }
    aMessages.back().m_suspicions.push_back(aSuspicions[i]);
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
                             const std::vector<PromptPart>& aParts,
                             TimePoint aNow) const
{
  const auto found = m_suspects.find(aService);
  return found != m_suspects.end() &&
         found->second->AdmissionOf(aParts, aNow) == CrashSuspects::Admission::Refuse;
}

void
CrashSuspectTable::OnMessage(const PartSuspicionsMessage& aMessage,
                             bool aIsFromCoordinator,
                             TimePoint aNow)
{
  CrashSuspects& suspects = *Of(aMessage.m_service);
  for (const PartSuspicion& suspicion : aMessage.m_suspicions) {
    if (aIsFromCoordinator) {
      suspects.Apply(suspicion, aNow);
    } else {
      suspects.Merge(suspicion, aNow);
    }
  }
}

std::vector<PartSuspicionsMessage>
CrashSuspectTable::TakeChanges(TimePoint aNow)
{
  std::vector<PartSuspicionsMessage> messages;
  for (const auto& [service, suspects] : m_suspects) {
    const std::vector<PartSuspicion> changes = suspects->TakeChanges(aNow);
    for (const PartSuspicion& change : changes) {
      LogOf("home").info(
        "event=prompt-part-suspicion service={} part={} probability={:.4f} crashes={} "
        "refused_for_ms={} base_rate={:.4f}",
        service.Value(),
        change.m_part.Value(),
        change.m_probability,
        change.m_crashes,
        change.m_refused_for.count(),
        suspects->BaseRate());
    }
    AppendMessages(service, changes, messages);
  }
  return messages;
}

std::vector<PartSuspicionsMessage>
CrashSuspectTable::MessagesForCoordinator(const ServiceName& aService, TimePoint aNow) const
{
  std::vector<PartSuspicionsMessage> messages;
  if (const auto found = m_suspects.find(aService); found != m_suspects.end()) {
    AppendMessages(aService, found->second->All(aNow), messages);
  }
  return messages;
}

std::vector<PartSuspicionsMessage>
CrashSuspectTable::MessagesForDaemon(TimePoint aNow) const
{
  std::vector<PartSuspicionsMessage> messages;
  for (const auto& [service, suspects] : m_suspects) {
    AppendMessages(service, suspects->All(aNow), messages);
  }
  return messages;
}

}
