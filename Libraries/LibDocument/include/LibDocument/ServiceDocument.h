#pragma once

#include <LibCore/Findings.h>
#include <LibCore/JsonObjectReader.h>
#include <LibCore/StrongString.h>
#include <LibCore/Time.h>
#include <absl/strings/string_view.h>
#include <compare>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace auburnhitch {

enum class ServiceType
{
  /// Model engines: completions, streamed as server-sent events or sent as one response.
  Engine,
  /// Plain HTTP services.
  Plain,
};

/// A priority class. The order of the tiers in the document is their priority, highest first.
struct Tier
{
  TierName m_name;
  /// Deadline of a request that does not set its own.
  Milliseconds m_deadline{ 0 };
  /// Whether waiting requests of this tier may be shed in favour of a higher tier.
  bool m_is_sheddable = false;

  auto operator<=>(const Tier&) const = default;
};

/// A kind of request, such as a bid or a stock check. It determines the request's tier.
struct Kind
{
  KindName m_name;
  TierName m_tier;
  bool m_is_idempotent = true;

  auto operator<=>(const Kind&) const = default;
};

/// A customer of the service.
struct Workspace
{
  WorkspaceName m_name;
  /// SHA-256 of the API key that its callers present, as 64 hexadecimal digits.
  std::string m_key_sha256;
  /// The tiers that its requests may use.
  std::vector<TierName> m_tiers;
  /// Relative weight among the workspaces that use the same tier.
  std::int64_t m_share = 1;

  auto operator<=>(const Workspace&) const = default;
};

/// A back end.
struct Endpoint
{
  HostName m_host;
  SocketAddress m_address;
  DataCenterName m_data_center;
  /// Maximum number of concurrent requests, over all daemons.
  std::int64_t m_concurrency_limit = 8;
  /// Whether an interrupted stream can be resumed at an offset.
  bool m_resumes = false;
  /// Whether responses carry the request's identity.
  bool m_echoes_identity = true;

  auto operator<=>(const Endpoint&) const = default;
};

/// An operator's configuration of one service. Immutable once checked.
struct ServiceDocument
{
  ServiceName m_service;
  ServiceType m_type = ServiceType::Plain;
  std::vector<Tier> m_tiers;
  std::vector<Kind> m_kinds;
  std::vector<Workspace> m_workspaces;
  std::vector<Endpoint> m_endpoints;
  /// Indices into m_workspaces by key digest.
  std::map<std::string, std::size_t> m_workspace_by_key;

  auto operator<=>(const ServiceDocument&) const = default;

  /// Index of a tier in m_tiers, or nothing if the document has no tier of that name.
  std::optional<std::size_t> TierIndexOf(const TierName& aName) const;
  const Kind* FindKind(const KindName& aName) const;
  const Endpoint* FindEndpoint(const HostName& aHost) const;
  /// Finds the workspace to which a key belongs, or null. The lookup uses the key's digest, so that
  /// its duration reveals nothing about the keys; the final comparison takes constant time.
  const Workspace* FindWorkspaceByKey(absl::string_view aKey) const;
};

using ServiceDocumentPtr = std::shared_ptr<const ServiceDocument>;

/// Parses and checks a published document. Returns null if there are findings. Thread-safe.
ServiceDocumentPtr
CheckServiceDocument(const Json& aDocument, Findings& aFindings);

constexpr std::size_t kMaxDocumentBytes = 16 << 20;

}
