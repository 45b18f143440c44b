#pragma once

#include <LibBroker/SlotMessages.h>
#include <LibPlacement/CrashSuspects.h>
#include <concepts>
#include <map>
#include <memory>

namespace auburnhitch {

/// The messages that CrashSuspectTable::OnMessage() takes.
template<typename Message>
concept CrashMessage =
  std::same_as<Message, TraitSuspicionsMessage> || std::same_as<Message, TraitCrashesMessage>;

/// What this daemon knows of requests that crash endpoints, for each service, whether or not it
/// coordinates the service: each daemon can succeed the coordinator. Owns neither a socket nor a
/// clock. Not thread-safe.
class CrashSuspectTable
{
public:
  /// The suspects of a service, which the table and its scheduler share.
  const std::shared_ptr<CrashSuspects>& Of(const ServiceName& aService);
  /// Whether requests with these traits are refused.
  bool IsHarmful(const ServiceName& aService,
                 const std::vector<CrashTrait>& aTraits,
                 TimePoint aNow) const;

  /// Applies what another daemon knows. The coordinator's word replaces what is known here; any
  /// other daemon may know less.
  void OnMessage(const TraitSuspicionsMessage& aMessage,
                 const HostName& aSender,
                 bool aIsFromCoordinator,
                 TimePoint aNow);
  void OnMessage(const TraitCrashesMessage& aMessage,
                 const HostName& aSender,
                 bool aIsFromCoordinator,
                 TimePoint aNow);
  /// Returns what the other daemons need to know of changes since the last call, and logs it.
  std::vector<SlotMessage> TakeChanges(TimePoint aNow);
  /// What a new coordinator of a service needs to know.
  std::vector<SlotMessage> MessagesForCoordinator(const ServiceName& aService,
                                                  TimePoint aNow) const;
  /// What a daemon that opens a link needs to know.
  std::vector<SlotMessage> MessagesForDaemon(TimePoint aNow) const;

private:
  std::map<ServiceName, std::shared_ptr<CrashSuspects>> m_suspects;
};

}
