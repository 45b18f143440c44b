#pragma once

#include <LibCore/StrongString.h>
#include <absl/strings/string_view.h>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace auburnhitch {

/// Number of a period since the daemon started. Permits are granted for one period each.
using GrantPeriod = std::int64_t;

/// Granted by one incarnation of a daemon in one period. Callers form request identities from it;
/// only the incarnation that granted it may dispatch these requests.
struct Permit
{
  Incarnation m_incarnation;
  GrantPeriod m_period = 0;

  auto operator<=>(const Permit&) const = default;

  /// "INCARNATION-PERIOD".
  std::string ToString() const;
};

/// Identifies one request: a permit and a suffix that the caller chose.
struct RequestIdentity
{
  Permit m_permit;
  std::string m_suffix;

  auto operator<=>(const RequestIdentity&) const = default;

  /// "INCARNATION-PERIOD-SUFFIX".
  std::string ToString() const;
  /// Parses the format of ToString(); returns nothing for any other text. Thread-safe.
  static std::optional<RequestIdentity> Parse(absl::string_view aText);

  static constexpr std::size_t kMaxSuffixBytes = 64;
  static constexpr std::size_t kMaxIncarnationBytes = 32;
};

/// Identifies a request within a workspace. The same identity in another workspace is a different
/// request, so that a caller learns nothing by presenting the identity of another workspace.
struct RequestKey
{
  WorkspaceName m_workspace;
  RequestIdentity m_identity;

  auto operator<=>(const RequestKey&) const = default;

  /// "WORKSPACE.IDENTITY": the request's name in the requests to endpoints.
  std::string ToString() const;

  template<typename Hasher>
  friend Hasher AbslHashValue(Hasher aHasher, const RequestKey& aKey)
  {
    return Hasher::combine(std::move(aHasher),
                           aKey.m_workspace,
                           aKey.m_identity.m_permit.m_incarnation,
                           aKey.m_identity.m_permit.m_period,
                           aKey.m_identity.m_suffix);
  }
};

}
