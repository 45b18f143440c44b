#pragma once

#include <LibCheck/CheckFinding.h>
#include <LibCore/JsonObjectReader.h>
#include <absl/status/statusor.h>
#include <optional>
#include <string>

namespace auburnhitch {

/// The files of one check.
struct FileCheckOptions
{
  std::string m_path;
  /// The configuration in force, to compare a configuration with.
  std::optional<std::string> m_against;
  /// The settings of a gateway that is to serve by a configuration.
  std::optional<std::string> m_settings;

  auto operator<=>(const FileCheckOptions&) const = default;
};

/// The result of a check.
struct FileCheckResult
{
  std::string m_path;
  /// What the file is, such as "configuration version 7".
  std::string m_description;
  /// The service of a document; empty for other files.
  std::string m_service;
  CheckFindings m_findings;
  /// What was not checked, and why.
  std::vector<std::string> m_not_checked;

  auto operator<=>(const FileCheckResult&) const = default;

  Json ToJson() const;
  /// Lines for people. Control characters from the file are replaced.
  std::string ToText() const;
};

/// Recognises and checks a configuration of the platform, a settings file, or a document of the own
/// interface. Fails if a file cannot be read, if one that the check needs besides is invalid, or if
/// the options do not fit the file.
absl::StatusOr<FileCheckResult>
CheckFile(const FileCheckOptions& aOptions);

}
