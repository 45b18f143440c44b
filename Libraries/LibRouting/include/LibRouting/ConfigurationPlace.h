#pragma once

#include <compare>
#include <cstddef>
#include <optional>

namespace auburnhitch {

/// A list or an object of a configuration.
enum class ConfigurationPart
{
  Document,
  Routes,
  Services,
  Workspaces,
  Limits,
};

/// A value of a configuration, as the decoded types name it.
enum class ConfigurationField
{
  /// The part itself, or its entry.
  Whole,
  Version,
  Name,
  Host,
  PathPrefix,
  Timeout,
  Objective,
  MaxEndpoints,
  IsPublic,
  IsResumable,
  RoutedService,
  Weight,
  MaxConnections,
  Keys,
  TokensPerSecond,
  BurstTokens,
  DefaultTokens,
  QuotaUnit,
  MaxHeadBytes,
  MaxBodyBytes,
  HeadTimeout,
  IdleTimeout,
};

/// Names a value of a configuration independently of how its document writes it.
struct ConfigurationPlace
{
  ConfigurationPart m_part = ConfigurationPart::Document;
  /// The entry of the part if that is a list, as the decoded lists number it; the whole list
  /// without.
  std::optional<std::size_t> m_entry;
  ConfigurationField m_field = ConfigurationField::Whole;
  /// The element of the field if that is a list.
  std::optional<std::size_t> m_element;

  auto operator<=>(const ConfigurationPlace&) const = default;
};

}
