#include "Commands.h"

#include "RolloutList.h"

#include <LibCore/Digest.h>
#include <LibCore/Try.h>
#include <absl/strings/str_cat.h>
#include <chrono>
#include <fstream>
#include <iostream>
#include <sstream>

namespace auburnhitch {

namespace {

constexpr Milliseconds kPollInterval{ 20 };
constexpr int kOk = 200;
constexpr int kBadRequest = 400;

/// JSON text of values that may hold a path, which need not be UTF-8.
std::string
DumpOf(const Json& aJson)
{
  return aJson.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}

Commands::Commands(CommandOptions aOptions)
  : m_options(std::move(aOptions))
{
}

void
Commands::Print(const Json& aJson, const std::string& aText) const
{
  std::cout << (m_options.m_json ? aJson.dump() : aText) << std::endl;
}

ExitCode
Commands::Fail(const absl::Status& aStatus, ExitCode aCode)
{
  if (m_options.m_json) {
    std::cout << DumpOf(Json{ { "error", std::string(aStatus.message()) } }) << std::endl;
  } else {
    std::cerr << aStatus.message() << std::endl;
  }
  return aCode;
}

std::optional<Commands::LoadedDocument>
Commands::Load(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    Fail(absl::NotFoundError(aPath + ": cannot be opened for reading"), ExitCode::Refused);
    return std::nullopt;
  }
  std::stringstream text;
  text << file.rdbuf();
  Findings findings;
  auto source = ParseJson(text.str(), findings);
  auto document = source ? CheckServiceDocument(*source, findings) : nullptr;
  if (document == nullptr) {
    Fail(findings.ToStatus(aPath), ExitCode::Refused);
    return std::nullopt;
  }
  return LoadedDocument{ *std::move(source), std::move(document) };
}

ExitCode
Commands::Check(const FileCheckOptions& aOptions)
{
  const auto result = CheckFile(aOptions);
  if (!result.ok()) {
    return Fail(result.status(), ExitCode::CouldNotLook);
  }
  if (m_options.m_json) {
    std::cout << DumpOf(result->ToJson()) << std::endl;
  } else {
    std::cout << result->ToText() << std::flush;
  }
  return result->m_findings.empty() ? ExitCode::Success : ExitCode::Refused;
}

absl::StatusOr<OperatorResponse>
Commands::CallFirstReachable(const std::string& aMethod,
                             const std::string& aPath,
                             const std::string& aBody)
{
  absl::Status last = absl::UnavailableError("no --operators given");
  for (const SocketAddress& daemon : m_options.m_operators) {
    auto response = m_client.Call(daemon, aMethod, aPath, aBody);
    if (response.ok()) {
      return response;
    }
    last = response.status();
  }
  return last;
}

// Returns the document with the highest revision that any daemon holds: the base of a publication
// must not come from a daemon that lags behind.
absl::StatusOr<OperatorResponse>
Commands::CurrentDocument(const ServiceName& aService)
{
  absl::StatusOr<OperatorResponse> best = absl::UnavailableError("no daemon responded");
  for (const SocketAddress& daemon : m_options.m_operators) {
    auto response = m_client.Call(daemon, "GET", "/documents/" + aService.Value());
    if (!response.ok()) {
      continue;
    }
    const auto revision = response->m_body.value("revision", std::int64_t{ 0 });
    if (!best.ok() || revision > best->m_body.value("revision", std::int64_t{ 0 })) {
      best = std::move(response);
    }
  }
  return best;
}

ExitCode
Commands::Publish(const std::string& aPath, std::optional<std::int64_t> aBase, bool aWait)
{
  const auto loaded = Load(aPath);
  if (!loaded) {
    return ExitCode::Refused;
  }
  const ServiceName service = loaded->m_document->m_service;
  if (!aBase) {
    const auto current = CurrentDocument(service);
    if (!current.ok()) {
      return Fail(current.status(), ExitCode::Unreachable);
    }
    aBase = current->m_body.value("revision", std::int64_t{ 0 });
  }
  const std::string id = RandomName();
  const Json body{ { "id", id }, { "base", *aBase }, { "document", loaded->m_source } };
  // Sent until one daemon responds, and to no further one: a second append of the same publication
  // would be treated as a race between two publications.
  const auto sent = CallFirstReachable("POST", "/publications", body.dump());
  if (!sent.ok()) {
    return Fail(sent.status(), ExitCode::Unreachable);
  }
  if (sent->m_status == kBadRequest) {
    return Fail(absl::InvalidArgumentError(sent->m_body.dump()), ExitCode::Refused);
  }
  return AwaitVerdict(id, service, aWait);
}

std::optional<Json>
Commands::FindVerdict(const std::string& aId)
{
  for (const SocketAddress& daemon : m_options.m_operators) {
    const auto response = m_client.Call(daemon, "GET", "/publications/" + aId);
    if (response.ok() && response->m_body.value("verdict", "unknown") != "unknown") {
      return response->m_body;
    }
  }
  return std::nullopt;
}

ExitCode
Commands::ReportVerdict(const std::string& aId, const Json& aVerdict)
{
  const auto revision = aVerdict.value("revision", std::int64_t{ 0 });
  const bool is_accepted = aVerdict.value("verdict", "") == "accepted";
  Json result = aVerdict;
  result["publication"] = aId;
  Print(result,
        is_accepted
          ? absl::StrCat("accepted: revision ", revision, ", publication ", aId)
          : absl::StrCat("refused: revision ", revision, " was in force, publication ", aId));
  return is_accepted ? ExitCode::Success : ExitCode::Refused;
}

ExitCode
Commands::AwaitVerdict(const std::string& aId, const ServiceName& aService, bool aWait)
{
  const TimePoint until = std::chrono::steady_clock::now() + m_options.m_timeout;
  while (std::chrono::steady_clock::now() < until) {
    if (const auto verdict = FindVerdict(aId)) {
      const ExitCode code = ReportVerdict(aId, *verdict);
      if (code != ExitCode::Success || !aWait) {
        return code;
      }
      const bool is_everywhere =
        AwaitInForce(aService, verdict->value("revision", std::int64_t{ 0 }));
      return is_everywhere ? ExitCode::Success : ExitCode::NotKnownYet;
    }
    m_client.Sleep(kPollInterval);
  }
  Print(Json{ { "verdict", "not known yet" }, { "publication", aId } },
        absl::StrCat("not known yet; ask again with: auburnhitch publication ", aId));
  return ExitCode::NotKnownYet;
}

bool
Commands::AwaitInForce(const ServiceName& aService, std::int64_t aRevision)
{
  const TimePoint until = std::chrono::steady_clock::now() + m_options.m_timeout;
  std::size_t holders = 0;
  while (std::chrono::steady_clock::now() < until) {
    holders = 0;
    for (const SocketAddress& daemon : m_options.m_operators) {
      const auto response = m_client.Call(daemon, "GET", "/documents/" + aService.Value());
      if (response.ok() && response->m_body.value("revision", std::int64_t{ 0 }) >= aRevision) {
        ++holders;
      }
    }
    if (holders == m_options.m_operators.size()) {
      break;
    }
    m_client.Sleep(kPollInterval);
  }
  Print(Json{ { "in_force_on", holders }, { "of", m_options.m_operators.size() } },
        absl::StrCat("in force on ", holders, " of ", m_options.m_operators.size(), " daemons"));
  return holders == m_options.m_operators.size();
}

ExitCode
Commands::Publication(const std::string& aId)
{
  if (const auto verdict = FindVerdict(aId)) {
    return ReportVerdict(aId, *verdict);
  }
  Print(Json{ { "verdict", "not known yet" }, { "publication", aId } },
        absl::StrCat("not known yet; ask again with: auburnhitch publication ", aId));
  return ExitCode::NotKnownYet;
}

ExitCode
Commands::Show(const std::string& aService)
{
  const auto current = CurrentDocument(ServiceName(aService));
  if (!current.ok()) {
    return Fail(current.status(), ExitCode::Unreachable);
  }
  if (current->m_status != kOk) {
    return Fail(absl::NotFoundError("no document of " + aService + " is in force"),
                ExitCode::Refused);
  }
  Print(current->m_body,
        absl::StrCat("revision ",
                     current->m_body.value("revision", std::int64_t{ 0 }),
                     "\n",
                     current->m_body["document"].dump(2)));
  return ExitCode::Success;
}

ExitCode
Commands::Diff(const std::string& aPath)
{
  const auto loaded = Load(aPath);
  if (!loaded) {
    return ExitCode::Refused;
  }
  const auto current = CurrentDocument(loaded->m_document->m_service);
  if (!current.ok()) {
    return Fail(current.status(), ExitCode::Unreachable);
  }
  const Json in_force = current->m_body.value("document", Json::object());
  const Json patch = Json::diff(in_force, loaded->m_source);
  std::string text;
  for (const Json& change : patch) {
    text += absl::StrCat(change.value("op", ""), " ", change.value("path", ""));
    if (change.contains("value")) {
      text += " " + change["value"].dump();
    }
    text += "\n";
  }
  Print(patch, text.empty() ? "no difference" : text);
  return ExitCode::Success;
}

ExitCode
Commands::Status()
{
  Json all = Json::array();
  std::string text;
  std::size_t reachable_count = 0;
  for (const SocketAddress& daemon : m_options.m_operators) {
    const auto response = m_client.Call(daemon, "GET", "/status");
    if (!response.ok()) {
      all.push_back(Json{ { "operator", daemon.Value() }, { "reachable", false } });
      text += daemon.Value() + "  not reachable\n";
      continue;
    }
    ++reachable_count;
    all.push_back(response->m_body);
    const Json& self = response->m_body["self"];
    text += absl::StrCat(daemon.Value(),
                         "  ",
                         self.value("host", ""),
                         response->m_body.value("draining", false) ? "  draining" : "  serving",
                         "  log ",
                         response->m_body.value("log_connected", false) ? "read" : "not read",
                         "  peers ",
                         response->m_body["peers"].size(),
                         "  running ",
                         response->m_body.value("running", 0));
    for (const auto& held : self["documents"].items()) {
      text +=
        absl::StrCat("  ", held.key(), "=", held.value().value("revision", std::int64_t{ 0 }));
    }
    text += "\n";
  }
  Print(all, text);
  return reachable_count > 0 ? ExitCode::Success : ExitCode::Unreachable;
}

ExitCode
Commands::Explain(const std::string& aIdentity)
{
  Json all = Json::array();
  std::string text;
  for (const SocketAddress& daemon : m_options.m_operators) {
    const auto response = m_client.Call(daemon, "GET", "/explain?identity=" + aIdentity);
    if (!response.ok()) {
      continue;
    }
    for (const Json& decision : response->m_body["decisions"]) {
      all.push_back(decision);
      text += absl::StrCat(daemon.Value(),
                           "  ",
                           decision.value("request", ""),
                           ": ",
                           decision.value("decision", ""),
                           "\n");
    }
  }
  Print(all, text.empty() ? "no daemon remembers it" : text);
  return all.empty() ? ExitCode::Refused : ExitCode::Success;
}

ExitCode
Commands::Drain()
{
  if (m_options.m_operators.size() != 1) {
    return Fail(absl::InvalidArgumentError("drain takes exactly one --operators address"),
                ExitCode::Usage);
  }
  const auto response = m_client.Call(m_options.m_operators.front(), "POST", "/drain");
  if (!response.ok()) {
    return Fail(response.status(), ExitCode::Unreachable);
  }
  Print(response->m_body, "drains");
  return ExitCode::Success;
}

ExitCode
Commands::Rollouts(const std::string& aStore)
{
  const auto topics = ReadRolloutTopics(SocketAddress(aStore));
  if (!topics.ok()) {
    return Fail(topics.status(), ExitCode::Unreachable);
  }
  const std::vector<ListedRollout> rollouts = ListRollouts(*topics);
  Print(ToJson(rollouts), Describe(rollouts));
  return ExitCode::Success;
}

}
