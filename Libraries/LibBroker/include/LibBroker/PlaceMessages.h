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
struct AskMessage
{
  ServiceName m_service;
  std::uint64_t m_number = 0;
  int m_priority = 0;
  RequestWork m_work;
  Milliseconds m_age{ 0 };
  Milliseconds m_to_objective{ 0 };
  Milliseconds m_to_abandoned{ 0 };
  DataCenterName m_data_center;
  std::vector<EndpointId> m_avoided;
  WorkspaceName m_workspace;
  std::uint64_t m_quota_tokens = 0;

  auto operator<=>(const AskMessage&) const = default;
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
struct StartedMessage
{
  ServiceName m_service;
  std::uint64_t m_number = 0;
  EndpointId m_endpoint;

  auto operator<=>(const StartedMessage&) const = default;
};

/// A place is free again.
struct EndedMessage
{
  ServiceName m_service;
  std::uint64_t m_number = 0;
  EndpointId m_endpoint;
  SlotOutcome m_end = SlotOutcome::Complete;

  auto operator<=>(const EndedMessage&) const = default;
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

struct RefuseMessage
{
  std::uint64_t m_number = 0;
  SlotRefusalReason m_reason = SlotRefusalReason::Overloaded;
  Milliseconds m_retry_after{ 0 };

  auto operator<=>(const RefuseMessage&) const = default;
};

using PlaceMessage = std::variant<HelloMessage,
                                  AskMessage,
                                  WithdrawMessage,
                                  HeldMessage,
                                  StartedMessage,
                                  EndedMessage,
                                  LeaveMessage,
                                  QueuedMessage,
                                  GrantMessage,
                                  RefuseMessage>;

/// The message as an array whose first element tells its kind.
nlohmann::json
EncodePlaceMessage(const PlaceMessage& aMessage);

/// Nothing when the array is no message.
std::optional<PlaceMessage>
DecodePlaceMessage(const nlohmann::json& aJson);

}
