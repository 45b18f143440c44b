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
  /// Model engines: completions, as server-sent events or whole.
  Engine,
  /// Plain HTTP services.
  Plain,
};

/// One class of work. Tiers are served in the order of the document, the first one first.
struct Tier
{
  TierName m_name;
  /// Deadline of a request that states none.
  Milliseconds m_deadline{ 0 };
  /// Whether waiting work of this tier may be refused to make room for a higher one.
  bool m_is_sheddable = false;

  auto operator<=>(const Tier&) const = default;
};

/// One kind of request, such as a bid or a stock check.
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
  /// SHA-256 of the key that its callers present, 64 hexadecimal digits.
  std::string m_key_sha256;
  std::vector<TierName> m_tiers;
  /// Weight among the workspaces of one tier.
  std::int64_t m_share = 1;

  auto operator<=>(const Workspace&) const = default;
};

/// A back end.
struct Endpoint
{
  HostName m_host;
  SocketAddress m_address;
  DataCenterName m_data_center;
  /// Requests that it may hold at one time, from all daemons together.
  std::int64_t m_concurrency_limit = 8;
  /// Whether a stream can be taken up again at an offset.
  bool m_resumes = false;
  /// Whether answers carry the request's identity.
  bool m_echoes_identity = true;

  auto operator<=>(const Endpoint&) const = default;
};

/// All that an operator states about one service. Immutable once checked.
struct ServiceDocument
{
  ServiceName m_service;
  ServiceType m_type = ServiceType::Plain;
  std::vector<Tier> m_tiers;
  std::vector<Kind> m_kinds;
  std::vector<Workspace> m_workspaces;
  std::vector<Endpoint> m_endpoints;
  /// Places in m_workspaces by key digest.
  std::map<std::string, std::size_t> m_workspace_by_key;

  auto operator<=>(const ServiceDocument&) const = default;

  /// The place of a tier in the order, or nothing when the document has none of that name.
  std::optional<std::size_t> TierIndexOf(const TierName& aName) const;
  const Kind* FindKind(const KindName& aName) const;
  const Endpoint* FindEndpoint(const HostName& aHost) const;
  /// Finds the workspace whose key this is. The digest of a key is looked up, so the time tells
  /// nothing of the keys themselves; the last comparison takes constant time.
  const Workspace* FindWorkspaceByKey(absl::string_view aKey) const;
};

using ServiceDocumentPtr = std::shared_ptr<const ServiceDocument>;

/// Checks a document as published. Returns it only if nothing was found. Thread-safe.
ServiceDocumentPtr
CheckServiceDocument(const Json& aDocument, Findings& aFindings);

constexpr std::size_t kMaxDocumentBytes = 16 << 20;

}
