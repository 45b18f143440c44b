#include "FileCheck.h"

#include <LibCheck/ConfigurationChanges.h>
#include <LibCheck/ConfigurationRules.h>
#include <LibCheck/SettingsRules.h>
#include <LibCore/Try.h>
#include <LibDocument/ServiceDocument.h>
#include <SettingsFile.h>
#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <filesystem>
#include <fstream>
#include <platform/ConfigurationDecoder.h>
#include <sstream>

namespace auburnhitch {

namespace {

// The rule of findings that the decoder of the daemons reports.
constexpr const char* kInvalid = "invalid";
constexpr const char* kMisread = "misread";
constexpr const char* kNotCheckedAfterErrors = "everything else, because of the errors";

absl::StatusOr<std::string>
ReadFile(const std::string& aPath)
{
  std::error_code error;
  std::ifstream file(aPath);
  if (!file || std::filesystem::is_directory(aPath, error)) {
    return absl::NotFoundError(aPath + ": cannot be opened for reading");
  }
  std::stringstream text;
  text << file.rdbuf();
  if (file.bad()) {
    return absl::UnavailableError(aPath + ": cannot be read");
  }
  return text.str();
}

/// Describes the value at a JSON pointer, except for one that must not be printed.
std::string
DescribeValue(const Json& aJson, const std::string& aJsonPointer, bool aIsSecret)
{
  constexpr std::size_t kMaxShownBytes = 80;
  const Json* value = nullptr;
  // Pointers with a key that contains a slash or a tilde are not escaped, and may be malformed.
  try {
    const Json::json_pointer pointer(aJsonPointer);
    value = aJson.contains(pointer) ? &aJson.at(pointer) : nullptr;
  } catch (const Json::exception&) {
    return "another value";
  }
  if (value == nullptr) {
    return "nothing";
  }
  std::string type = value->type_name();
  if (aIsSecret || value->is_structured()) {
    return type;
  }
  std::string text = value->dump(-1, ' ', false, Json::error_handler_t::replace);
  return text.size() <= kMaxShownBytes ? text : absl::StrCat(type, " of ", text.size(), " bytes");
}

using IsSecret = bool (*)(const std::string& aJsonPointer);

bool
HasNoSecrets(const std::string&)
{
  return false;
}

/// Adds the decoder's findings.
void
AddFindings(const Json& aJson,
            const Findings& aFindings,
            const char* aRule,
            IsSecret aIsSecret,
            CheckFindings& aResult)
{
  for (const Finding& finding : aFindings.All()) {
    aResult.push_back(
      { aRule,
        finding.m_json_pointer,
        finding.m_message,
        DescribeValue(aJson, finding.m_json_pointer, aIsSecret(finding.m_json_pointer)) });
  }
}

void
Append(CheckFindings aFrom, CheckFindings& aTo)
{
  aTo.insert(
    aTo.end(), std::make_move_iterator(aFrom.begin()), std::make_move_iterator(aFrom.end()));
}

absl::StatusOr<Json>
LoadJson(const std::string& aPath)
{
  TRY_ASSIGN(const std::string text, ReadFile(aPath));
  Findings findings;
  auto json = ParseJson(text, findings);
  if (!json) {
    return findings.ToStatus(aPath);
  }
  return *std::move(json);
}

absl::StatusOr<RoutingTablePtr>
LoadConfiguration(const std::string& aPath)
{
  TRY_ASSIGN(const Json json, LoadJson(aPath));
  Findings findings;
  ConfigurationSource source;
  auto table = DecodeConfiguration(json, findings, source);
  if (table == nullptr) {
    return findings.ToStatus(aPath);
  }
  return table;
}

absl::StatusOr<GatewaySettings>
LoadGatewaySettings(const std::string& aPath)
{
  TRY_ASSIGN(const Json json, LoadJson(aPath));
  Findings findings;
  const auto settings = DecodeSettings(json, findings);
  if (!settings) {
    return findings.ToStatus(aPath);
  }
  if (!std::holds_alternative<GatewaySettings>(*settings)) {
    return absl::InvalidArgumentError(aPath + ": must be the settings of a gateway");
  }
  return std::get<GatewaySettings>(*settings);
}

absl::Status
CheckConfigurationFile(const Json& aJson,
                       const FileCheckOptions& aOptions,
                       FileCheckResult& aResult)
{
  // Both are loaded first, since a missing file is reported instead of findings.
  RoutingTablePtr in_force;
  std::optional<GatewaySettings> settings;
  if (aOptions.m_against) {
    TRY_ASSIGN(in_force, LoadConfiguration(*aOptions.m_against));
  }
  if (aOptions.m_settings) {
    TRY_ASSIGN(settings, LoadGatewaySettings(*aOptions.m_settings));
  }
  aResult.m_description = "configuration";
  Findings errors;
  ConfigurationSource source;
  const auto table = DecodeConfiguration(aJson, errors, source);
  CheckFindings& findings = aResult.m_findings;
  AddFindings(aJson, errors, kInvalid, IsSecretOfConfiguration, findings);
  AddFindings(aJson, source.m_misread, kMisread, IsSecretOfConfiguration, findings);
  if (table == nullptr) {
    aResult.m_not_checked.emplace_back(kNotCheckedAfterErrors);
    return absl::OkStatus();
  }
  absl::StrAppend(&aResult.m_description, " version ", table->Version());
  const PlaceResolver resolver = [&](const ConfigurationPlace& aPlace) {
    return source.JsonPointerOf(aPlace);
  };
  Append(CheckConfiguration(*table, resolver), findings);
  if (settings) {
    Append(CheckMemory(*table, *settings, resolver), findings);
  } else {
    aResult.m_not_checked.emplace_back(
      "sizes of requests against the memory of a host: needs --settings");
  }
  if (in_force != nullptr) {
    Append(CheckChanges(*table, *in_force, resolver), findings);
  } else {
    aResult.m_not_checked.emplace_back("changes from the version in force: needs --against");
  }
  aResult.m_not_checked.emplace_back(
    "attempts and quotas against the endpoints: only the store knows which are registered");
  return absl::OkStatus();
}

void
CheckSettingsFile(const Json& aJson, FileCheckResult& aResult)
{
  Findings errors;
  const auto settings = DecodeSettings(aJson, errors);
  AddFindings(aJson, errors, kInvalid, HasNoSecrets, aResult.m_findings);
  const bool is_gateway = aJson.contains(kGatewayKey);
  aResult.m_description = is_gateway ? "settings of a gateway" : "settings of the own interface";
  if (!settings) {
    aResult.m_not_checked.emplace_back(kNotCheckedAfterErrors);
    return;
  }
  if (const auto* gateway = std::get_if<GatewaySettings>(&*settings)) {
    CheckFindings findings = CheckGatewaySettings(*gateway);
    for (CheckFinding& finding : findings) {
      finding.m_json_pointer = absl::StrCat("/", kGatewayKey, finding.m_json_pointer);
    }
    Append(std::move(findings), aResult.m_findings);
  }
}

void
CheckDocumentFile(const Json& aJson, FileCheckResult& aResult)
{
  Findings errors;
  const auto document = CheckServiceDocument(aJson, errors);
  AddFindings(aJson, errors, kInvalid, HasNoSecrets, aResult.m_findings);
  aResult.m_description = "document";
  if (document != nullptr) {
    aResult.m_service = document->m_service.Value();
    aResult.m_description = "service " + aResult.m_service;
  }
}

}

Json
FileCheckResult::ToJson() const
{
  Json findings = Json::array();
  for (const CheckFinding& finding : m_findings) {
    findings.push_back(Json{ { "rule", finding.m_rule },
                             { "place", finding.m_json_pointer },
                             { "expected", finding.m_expected },
                             { "came", finding.m_came } });
  }
  Json json{ { "file", m_path },
             { "is", m_description },
             { "correct", m_findings.empty() },
             { "findings", std::move(findings) },
             { "not_checked", m_not_checked } };
  if (!m_service.empty()) {
    json["service"] = m_service;
  }
  return json;
}

std::string
FileCheckResult::ToText() const
{
  std::string text;
  if (m_findings.empty()) {
    absl::StrAppend(&text, m_path, ": correct, ", m_description, "\n");
  }
  for (const CheckFinding& finding : m_findings) {
    absl::StrAppend(&text,
                    m_path,
                    ":",
                    finding.m_json_pointer.empty() ? "/" : finding.m_json_pointer,
                    ": ",
                    finding.m_expected,
                    "; came: ",
                    finding.m_came,
                    " [",
                    finding.m_rule,
                    "]\n");
  }
  for (const std::string& reason : m_not_checked) {
    absl::StrAppend(&text, "not checked: ", reason, "\n");
  }
  for (char& character : text) {
    if (character != '\n' && absl::ascii_iscntrl(static_cast<unsigned char>(character))) {
      character = '?';
    }
  }
  return text;
}

absl::StatusOr<FileCheckResult>
CheckFile(const FileCheckOptions& aOptions)
{
  TRY_ASSIGN(const std::string text, ReadFile(aOptions.m_path));
  FileCheckResult result;
  result.m_path = aOptions.m_path;
  Findings errors;
  const auto json = ParseJson(text, errors);
  if (!json) {
    for (const Finding& error : errors.All()) {
      result.m_findings.push_back(
        { kInvalid, error.m_json_pointer, "must be JSON that daemons can read", error.m_message });
    }
    result.m_not_checked.emplace_back(kNotCheckedAfterErrors);
    return result;
  }
  if (IsConfiguration(*json)) {
    TRY_STATUS(CheckConfigurationFile(*json, aOptions, result));
    return result;
  }
  if (aOptions.m_against || aOptions.m_settings) {
    return absl::InvalidArgumentError(
      aOptions.m_path + ": --against and --settings need a configuration of the platform");
  }
  if (IsSettings(*json)) {
    CheckSettingsFile(*json, result);
  } else {
    CheckDocumentFile(*json, result);
  }
  return result;
}

}
