#pragma once

#include <LibBroker/StreamVersions.h>
#include <LibPlacement/CrashSuspects.h>
#include <LibPlacement/EndpointNotice.h>
#include <LibPlacement/SlotRequest.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <variant>

namespace auburnhitch {

/// The first message on a link. Identifies the daemon that opened it.
struct HelloMessage
{
  HostName m_host;
  Incarnation m_incarnation;

  auto operator<=>(const HelloMessage&) const = default;
};

/// Requests a slot. Times are relative, since daemons share no clock.
struct SlotRequestMessage
{
  ServiceName m_service;
  /// Identifies the request among those of the sending daemon; the same in all messages.
  std::uint64_t m_number = 0;
  int m_priority = 0;
  RequestWork m_work;
  Milliseconds m_age{ 0 };
  Milliseconds m_time_to_objective{ 0 };
  Milliseconds m_time_to_abandonment{ 0 };
  DataCenterName m_data_center;
  std::vector<EndpointId> m_avoided;
  WorkspaceName m_workspace;
  std::uint64_t m_quota_tokens = 0;

  auto operator<=>(const SlotRequestMessage&) const = default;
};

/// Cancels a slot request, or frees its slot if it has been granted one meanwhile.
struct WithdrawMessage
{
  ServiceName m_service;
  std::uint64_t m_number = 0;

  auto operator<=>(const WithdrawMessage&) const = default;
};

/// Reports a slot that the sender holds and that another coordinator granted.
struct HeldMessage
{
  ServiceName m_service;
  std::uint64_t m_number = 0;
  EndpointId m_endpoint;
  RequestWork m_work;

  auto operator<=>(const HeldMessage&) const = default;
};

/// Reports that the first byte of a response has arrived.
struct FirstByteMessage
{
  ServiceName m_service;
  std::uint64_t m_number = 0;
  EndpointId m_endpoint;

  auto operator<=>(const FirstByteMessage&) const = default;
};

/// Frees a slot and reports how its use ended.
struct ReleaseMessage
{
  ServiceName m_service;
  std::uint64_t m_number = 0;
  EndpointId m_endpoint;
  SlotOutcome m_outcome = SlotOutcome::Complete;

  auto operator<=>(const ReleaseMessage&) const = default;
};

/// Reports that the sender has chosen another coordinator for a service.
struct LeaveMessage
{
  ServiceName m_service;

  auto operator<=>(const LeaveMessage&) const = default;
};

/// Acknowledges that the coordinator has received a slot request.
struct QueuedMessage
{
  std::uint64_t m_number = 0;

  auto operator<=>(const QueuedMessage&) const = default;
};

struct GrantMessage
{
  std::uint64_t m_number = 0;
  EndpointId m_endpoint;
  Milliseconds m_expected{ 0 };

  auto operator<=>(const GrantMessage&) const = default;
};

struct RefusalMessage
{
  std::uint64_t m_number = 0;
  SlotRefusalReason m_reason = SlotRefusalReason::Overloaded;
  Milliseconds m_retry_after{ 0 };

  auto operator<=>(const RefusalMessage&) const = default;
};

/// Reports what an endpoint states about itself: from a daemon to the coordinator, which informs
/// all daemons of changes.
struct EndpointNoticeMessage
{
  ServiceName m_service;
  /// The sender's request in whose response it was stated; 0 if the sender relays it.
  std::uint64_t m_number = 0;
  EndpointId m_endpoint;
  std::uint64_t m_started_at_ms = 0;
  std::optional<RequestRate> m_limit;
  /// Whether it leaves; see EndpointNotice. Encoded only when set, since a daemon of an earlier
  /// version rejects the additional field.
  bool m_is_leaving = false;
  /// For how long from now it wants no requests of the sender; see EndpointNotice. Encoded only
  /// when set, as above.
  std::optional<Milliseconds> m_rest;

  auto operator<=>(const EndpointNoticeMessage&) const = default;
};

/// Restricts the slot request with this number, which follows on the same link, to endpoints of one
/// software version.
struct RequiredVersionMessage
{
  std::uint64_t m_number = 0;
  SoftwareVersion m_version;

  auto operator<=>(const RequiredVersionMessage&) const = default;
};

/// Reports the origins of streams to the daemon that holds a replica of them.
struct StreamOriginsMessage
{
  ServiceName m_service;
  std::vector<AgedStreamOrigin> m_origins;

  auto operator<=>(const StreamOriginsMessage&) const = default;
};

/// Asks the coordinator of a service for the software version that sent the first event of a
/// stream.
struct StreamLookupMessage
{
  /// Identifies the lookup among those of the sending daemon.
  std::uint64_t m_number = 0;
  ServiceName m_service;
  std::string m_stream;

  auto operator<=>(const StreamLookupMessage&) const = default;
};

/// Answers a lookup.
struct StreamVersionMessage
{
  std::uint64_t m_number = 0;
  /// Nothing if the coordinator does not know it.
  std::optional<SoftwareVersion> m_version;

  auto operator<=>(const StreamVersionMessage&) const = default;
};

/// The parts of the prompt of the slot request or held slot with this number, which follows on the
/// same link.
struct CrashTraitsMessage
{
  std::uint64_t m_number = 0;
  std::vector<CrashTrait> m_traits;

  auto operator<=>(const CrashTraitsMessage&) const = default;
};

/// Says that the end of a request, which a ReleaseMessage reports next, does not prove that its
/// response is complete: it ended with its connection, as in a crash.
struct UnprovenEndMessage
{
  ServiceName m_service;
  std::uint64_t m_number = 0;

  auto operator<=>(const UnprovenEndMessage&) const = default;
};

/// What the sender knows of prompts that crash a service's endpoints: from a coordinator to all
/// daemons, and from a daemon to a new coordinator.
struct TraitSuspicionsMessage
{
  ServiceName m_service;
  std::vector<TraitSuspicion> m_suspicions;

  auto operator<=>(const TraitSuspicionsMessage&) const = default;
};

/// The crashes behind a suspicion. Sent after the TraitSuspicionsMessage with it.
struct TraitCrashesMessage
{
  ServiceName m_service;
  TraitCrashes m_crashes;

  auto operator<=>(const TraitCrashesMessage&) const = default;
};

/// The endpoint of the grant that follows may be another incarnation than the registered one. Sent
/// by the coordinator before a GrantMessage.
struct UncertainGrantMessage
{
  std::uint64_t m_number = 0;

  auto operator<=>(const UncertainGrantMessage&) const = default;
};

/// The route of the slot request with this number, which follows on the same link. Sent only while
/// an order of a rollout is in force for the service.
struct RequestRouteMessage
{
  std::uint64_t m_number = 0;
  KindName m_route;

  auto operator<=>(const RequestRouteMessage&) const = default;
};

using SlotMessage = std::variant<HelloMessage,
                                 SlotRequestMessage,
                                 WithdrawMessage,
                                 HeldMessage,
                                 FirstByteMessage,
                                 ReleaseMessage,
                                 LeaveMessage,
                                 QueuedMessage,
                                 GrantMessage,
                                 RefusalMessage,
                                 EndpointNoticeMessage,
                                 RequiredVersionMessage,
                                 StreamOriginsMessage,
                                 StreamLookupMessage,
                                 StreamVersionMessage,
                                 CrashTraitsMessage,
                                 UnprovenEndMessage,
                                 TraitSuspicionsMessage,
                                 UncertainGrantMessage,
                                 RequestRouteMessage,
                                 TraitCrashesMessage>;

/// Encodes a message as an array. Its first element is the index of the message's type in
/// SlotMessage; the fields follow in order. A daemon of an earlier version ignores types that it
/// does not know, so types are only added, at the end. A flag or a duration at the end of a message
/// may be missing, which means that it is not set.
nlohmann::json
EncodeSlotMessage(const SlotMessage& aMessage);

/// Returns nothing if the array is not a valid message.
std::optional<SlotMessage>
DecodeSlotMessage(const nlohmann::json& aJson);

}
