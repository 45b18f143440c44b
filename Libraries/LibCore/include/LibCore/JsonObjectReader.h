#pragma once

#include <LibCore/Findings.h>
#include <LibCore/Time.h>
#include <absl/strings/string_view.h>
#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>

namespace auburnhitch {

using Json = nlohmann::json;

/// Levels of arrays and objects within each other that are accepted. Copying, comparing and writing
/// JSON recurses once for each level.
constexpr std::size_t kMaxJsonLevels = 128;

/// Parses JSON text without throwing; on malformed input, or more than kMaxJsonLevels, records a
/// finding and returns nothing.
std::optional<Json>
ParseJson(absl::string_view aText, Findings& aFindings);

/// Replaces bytes that are not UTF-8, and escapes of single surrogates, in JSON text by U+FFFD. A
/// parser rejects the whole text for one of them.
std::string
ReplaceMalformedText(absl::string_view aText);

/// Parses MessagePack without throwing; returns nothing on malformed input, or if it is nested more
/// than kMaxJsonLevels deep and longer than 2 KiB. Texts are not checked to be UTF-8.
std::optional<Json>
ParseMessagePack(absl::string_view aBytes);

/// Reads the members of one JSON object, and records a finding for each that is missing, of the
/// wrong type, out of range or unknown. After a finding, reading continues with the default value.
/// Not thread-safe; the object and the findings must outlive the reader.
class JsonObjectReader
{
public:
  JsonObjectReader(const Json& aObject, std::string aJsonPointer, Findings& aFindings);

  /// A member that must be a non-empty string of at most kMaxStringBytes.
  std::string RequiredString(const char* aKey);
  std::string OptionalString(const char* aKey, std::string aDefault);
  std::int64_t RequiredInteger(const char* aKey, std::int64_t aMin, std::int64_t aMax);
  std::int64_t OptionalInteger(const char* aKey,
                               std::int64_t aDefault,
                               std::int64_t aMin,
                               std::int64_t aMax);
  bool OptionalBool(const char* aKey, bool aDefault);
  Milliseconds OptionalMilliseconds(const char* aKey,
                                    Milliseconds aDefault,
                                    Milliseconds aMin,
                                    Milliseconds aMax);

  using ElementReader = std::function<void(const Json& aElement, const std::string& aJsonPointer)>;
  /// Calls aReader for each element of an array member, which must have at least aMinElements.
  void ForEach(const char* aKey, std::size_t aMinElements, const ElementReader& aReader);

  /// Returns the member, or null when it is absent. Marks the key as known.
  const Json* Member(const char* aKey);

  /// The JSON pointer of a member, for the caller's own findings.
  std::string JsonPointerOf(const std::string& aKey) const;

  /// Records a finding for each member whose key has not been read.
  void RejectUnknownMembers();

  static constexpr std::size_t kMaxStringBytes = 4096;

private:
  std::int64_t CheckInteger(const char* aKey,
                            const Json& aValue,
                            std::int64_t aDefault,
                            std::int64_t aMin,
                            std::int64_t aMax);

  const Json& m_object;
  std::string m_json_pointer;
  Findings& m_findings;
  std::set<std::string> m_known;
};

}
