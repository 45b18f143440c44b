#pragma once

#include <LibPlacement/SlotRequest.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <variant>

namespace auburnhitch {

/// First on a link: who opened it.
struct HelloMessage
{
  HostName m_host;
  Incarnation m_incarnation;

  auto operator<=>(const HelloMessage&) const = default;
};

/// Asks for a place. Times are relative, since daemons share no clock.
struct SlotRequestMessage
{
  ServiceName m_service;
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

/// A request no longer wants a place.
struct WithdrawMessage
{
  ServiceName m_service;
  std::uint64_t m_number = 0;

  auto operator<=>(const WithdrawMessage&) const = default;
};

/// A place that another home granted.
struct HeldMessage
{
  ServiceName m_service;
  std::uint64_t m_number = 0;
  EndpointId m_endpoint;
  RequestWork m_work;

  auto operator<=>(const HeldMessage&) const = default;
};

/// The first part of an answer has arrived.
struct FirstByteMessage
{
  ServiceName m_service;
  std::uint64_t m_number = 0;
  EndpointId m_endpoint;

  auto operator<=>(const FirstByteMessage&) const = default;
};

/// A place is free again.
struct ReleaseMessage
{
  ServiceName m_service;
  std::uint64_t m_number = 0;
  EndpointId m_endpoint;
  SlotOutcome m_end = SlotOutcome::Complete;

  auto operator<=>(const ReleaseMessage&) const = default;
};

/// The sender has chosen another home for a service.
struct LeaveMessage
{
  ServiceName m_service;

  auto operator<=>(const LeaveMessage&) const = default;
};

/// A request waits at the home.
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

using SlotMessage = std::variant<HelloMessage,
                                 SlotRequestMessage,
                                 WithdrawMessage,
                                 HeldMessage,
                                 FirstByteMessage,
                                 ReleaseMessage,
                                 LeaveMessage,
                                 QueuedMessage,
                                 GrantMessage,
                                 RefusalMessage>;

/// The message as an array whose first element tells its kind.
nlohmann::json
EncodeSlotMessage(const SlotMessage& aMessage);

/// Nothing when the array is no message.
std::optional<SlotMessage>
DecodeSlotMessage(const nlohmann::json& aJson);

}
