#include <LibDocument/ServiceDocument.h>

#include <LibCore/Digest.h>
#include <algorithm>
#include <set>

namespace auburnhitch {

namespace {

constexpr Milliseconds kShortestDeadline{ 1 };
constexpr Milliseconds kLongestDeadline{ 24 * 60 * 60 * 1'000 };
constexpr std::int64_t kLargestWindow = 4096;
constexpr std::int64_t kLargestShare = 1'000'000;
constexpr std::size_t kSha256Digits = 64;

/// Reads the parts of one document and checks what they say of each other.
class DocumentChecker
{
public:
  DocumentChecker(const Json& aDocument, Findings& aFindings)
    : m_reader(aDocument, "", aFindings)
    , m_findings(aFindings)
  {
  }

  ServiceDocument Read()
  {
    m_document.m_service = ServiceName(m_reader.RequiredString("service"));
    CheckName(m_document.m_service.Value(), "/service");
    ReadType();
    m_reader.ForEach("tiers", 1, [this](const Json& aTier, const std::string& aJsonPointer) {
      ReadTier(aTier, aJsonPointer);
    });
    m_reader.ForEach("kinds", 1, [this](const Json& aKind, const std::string& aJsonPointer) {
      ReadKind(aKind, aJsonPointer);
    });
    m_reader.ForEach(
      "workspaces", 1, [this](const Json& aWorkspace, const std::string& aJsonPointer) {
        ReadWorkspace(aWorkspace, aJsonPointer);
      });
    m_reader.ForEach(
      "endpoints", 1, [this](const Json& aEndpoint, const std::string& aJsonPointer) {
        ReadEndpoint(aEndpoint, aJsonPointer);
      });
    m_reader.RejectUnknownMembers();
    return std::move(m_document);
  }

private:
  void ReadType()
  {
    const std::string type = m_reader.RequiredString("type");
    if (type != "engine" && type != "plain") {
      m_findings.Add("/type", "must be 'engine' or 'plain'");
    }
    m_document.m_type = type == "engine" ? ServiceType::Engine : ServiceType::Plain;
  }

  void ReadTier(const Json& aTier, const std::string& aJsonPointer)
  {
    JsonObjectReader reader(aTier, aJsonPointer, m_findings);
    Tier tier;
    tier.m_name = TierName(reader.RequiredString("name"));
    tier.m_deadline = Milliseconds(
      reader.RequiredInteger("deadline_ms", kShortestDeadline.count(), kLongestDeadline.count()));
    tier.m_is_sheddable = reader.OptionalBool("sheddable", false);
    reader.RejectUnknownMembers();
    CheckName(tier.m_name.Value(), aJsonPointer + "/name");
    CheckUnique(m_tier_names, tier.m_name.Value(), aJsonPointer + "/name");
    m_document.m_tiers.push_back(std::move(tier));
  }

  void ReadKind(const Json& aKind, const std::string& aJsonPointer)
  {
    JsonObjectReader reader(aKind, aJsonPointer, m_findings);
    Kind kind;
    kind.m_name = KindName(reader.RequiredString("name"));
    kind.m_tier = TierName(reader.RequiredString("tier"));
    kind.m_is_idempotent = reader.OptionalBool("idempotent", true);
    reader.RejectUnknownMembers();
    CheckName(kind.m_name.Value(), aJsonPointer + "/name");
    CheckUnique(m_kind_names, kind.m_name.Value(), aJsonPointer + "/name");
    CheckTierExists(kind.m_tier, aJsonPointer + "/tier");
    m_document.m_kinds.push_back(std::move(kind));
  }

  void ReadWorkspace(const Json& aWorkspace, const std::string& aJsonPointer)
  {
    JsonObjectReader reader(aWorkspace, aJsonPointer, m_findings);
    Workspace workspace;
    workspace.m_name = WorkspaceName(reader.RequiredString("name"));
    workspace.m_key_sha256 = reader.RequiredString("key_sha256");
    workspace.m_share = reader.OptionalInteger("share", 1, 1, kLargestShare);
    reader.ForEach("tiers", 1, [&](const Json& aTier, const std::string& aTierPlace) {
      if (!aTier.is_string()) {
        m_findings.Add(aTierPlace, "must be a string");
        return;
      }
      workspace.m_tiers.emplace_back(aTier.get<std::string>());
      CheckTierExists(workspace.m_tiers.back(), aTierPlace);
    });
    reader.RejectUnknownMembers();
    CheckName(workspace.m_name.Value(), aJsonPointer + "/name");
    CheckUnique(m_workspace_names, workspace.m_name.Value(), aJsonPointer + "/name");
    CheckKeyDigest(workspace.m_key_sha256, aJsonPointer + "/key_sha256");
    CheckUnique(m_keys, workspace.m_key_sha256, aJsonPointer + "/key_sha256");
    m_document.m_workspace_by_key[workspace.m_key_sha256] = m_document.m_workspaces.size();
    m_document.m_workspaces.push_back(std::move(workspace));
  }

  void ReadEndpoint(const Json& aEndpoint, const std::string& aJsonPointer)
  {
    JsonObjectReader reader(aEndpoint, aJsonPointer, m_findings);
    Endpoint endpoint;
    endpoint.m_host = HostName(reader.RequiredString("host"));
    endpoint.m_address = SocketAddress(reader.RequiredString("address"));
    endpoint.m_data_center = DataCenterName(reader.OptionalString("data_center", ""));
    endpoint.m_concurrency_limit =
      reader.OptionalInteger("window", endpoint.m_concurrency_limit, 1, kLargestWindow);
    endpoint.m_resumes = reader.OptionalBool("resumes", endpoint.m_resumes);
    endpoint.m_echoes_identity = reader.OptionalBool("echoes_identity", endpoint.m_echoes_identity);
    reader.RejectUnknownMembers();
    CheckName(endpoint.m_host.Value(), aJsonPointer + "/host");
    CheckUnique(m_hosts, endpoint.m_host.Value(), aJsonPointer + "/host");
    m_document.m_endpoints.push_back(std::move(endpoint));
  }

  // Names stand in headers, paths and identities.
  void CheckName(const std::string& aName, const std::string& aJsonPointer)
  {
    const bool is_plain = std::all_of(aName.begin(), aName.end(), [](unsigned char aByte) {
      return std::isalnum(aByte) != 0 || aByte == '-' || aByte == '_';
    });
    if (!is_plain) {
      m_findings.Add(aJsonPointer, "may hold only letters, digits, '-' and '_'");
    }
  }

  void CheckUnique(std::set<std::string>& aSeen,
                   const std::string& aText,
                   const std::string& aJsonPointer)
  {
    if (!aText.empty() && !aSeen.insert(aText).second) {
      m_findings.Add(aJsonPointer, "stands twice");
    }
  }

  void CheckTierExists(const TierName& aTier, const std::string& aJsonPointer)
  {
    if (!aTier.IsEmpty() && !m_tier_names.contains(aTier.Value())) {
      m_findings.Add(aJsonPointer, "names no tier of this document");
    }
  }

  void CheckKeyDigest(const std::string& aDigest, const std::string& aJsonPointer)
  {
    const bool is_hex = std::all_of(aDigest.begin(), aDigest.end(), [](unsigned char aByte) {
      return std::isdigit(aByte) != 0 || (aByte >= 'a' && aByte <= 'f');
    });
    if (aDigest.size() != kSha256Digits || !is_hex) {
      m_findings.Add(aJsonPointer, "must be 64 lower-case hexadecimal digits");
    }
  }

  JsonObjectReader m_reader;
  Findings& m_findings;
  ServiceDocument m_document;
  std::set<std::string> m_tier_names;
  std::set<std::string> m_kind_names;
  std::set<std::string> m_workspace_names;
  std::set<std::string> m_keys;
  std::set<std::string> m_hosts;
};

}

std::optional<std::size_t>
ServiceDocument::TierIndexOf(const TierName& aName) const
{
  for (std::size_t index = 0; index < m_tiers.size(); ++index) {
    if (m_tiers[index].m_name == aName) {
      return index;
    }
  }
  return std::nullopt;
}

const Kind*
ServiceDocument::FindKind(const KindName& aName) const
{
  auto found = std::find_if(
    m_kinds.begin(), m_kinds.end(), [&](const Kind& aKind) { return aKind.m_name == aName; });
  return found == m_kinds.end() ? nullptr : &*found;
}

const Endpoint*
ServiceDocument::FindEndpoint(const HostName& aHost) const
{
  auto found = std::find_if(m_endpoints.begin(), m_endpoints.end(), [&](const Endpoint& aEndpoint) {
    return aEndpoint.m_host == aHost;
  });
  return found == m_endpoints.end() ? nullptr : &*found;
}

const Workspace*
ServiceDocument::FindWorkspaceByKey(absl::string_view aKey) const
{
  const std::string digest = Sha256Hex(aKey);
  const auto found = m_workspace_by_key.find(digest);
  if (found == m_workspace_by_key.end()) {
    return nullptr;
  }
  const Workspace& workspace = m_workspaces[found->second];
  return EqualsInConstantTime(workspace.m_key_sha256, digest) ? &workspace : nullptr;
}

ServiceDocumentPtr
CheckServiceDocument(const Json& aDocument, Findings& aFindings)
{
  Findings found;
  ServiceDocument document = DocumentChecker(aDocument, found).Read();
  aFindings.Append(found);
  if (!found.IsEmpty()) {
    return nullptr;
  }
  return std::make_shared<const ServiceDocument>(std::move(document));
}

}
