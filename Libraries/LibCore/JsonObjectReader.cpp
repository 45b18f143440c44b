#include <LibCore/JsonObjectReader.h>

#include <utility>

namespace auburnhitch {

std::optional<Json>
ParseJson(absl::string_view aText, Findings& aFindings)
{
  // A failed parse reports its place as a byte offset, the only place that exists by then.
  try {
    return Json::parse(aText);
  } catch (const Json::parse_error& error) {
    aFindings.Add("", "malformed JSON at byte " + std::to_string(error.byte));
    return std::nullopt;
  } catch (const Json::exception&) {
    // A number that no double can hold is reported apart from syntax errors.
    aFindings.Add("", "malformed JSON: a number is out of range");
    return std::nullopt;
  }
}

JsonObjectReader::JsonObjectReader(const Json& aObject,
                                   std::string aJsonPointer,
                                   Findings& aFindings)
  : m_object(aObject)
  , m_json_pointer(std::move(aJsonPointer))
  , m_findings(aFindings)
{
  if (!m_object.is_object()) {
    m_findings.Add(m_json_pointer, "must be an object");
  }
}

const Json*
JsonObjectReader::Member(const char* aKey)
{
  m_known.insert(aKey);
  if (!m_object.is_object()) {
    return nullptr;
  }
  auto found = m_object.find(aKey);
  return found == m_object.end() ? nullptr : &*found;
}

std::string
JsonObjectReader::JsonPointerOf(const std::string& aKey) const
{
  return m_json_pointer + "/" + aKey;
}

std::string
JsonObjectReader::RequiredString(const char* aKey)
{
  const Json* value = Member(aKey);
  if (value == nullptr) {
    m_findings.Add(JsonPointerOf(aKey), "is missing");
    return {};
  }
  if (!value->is_string() || value->get_ref<const std::string&>().empty()) {
    m_findings.Add(JsonPointerOf(aKey), "must be a non-empty string");
    return {};
  }
  if (value->get_ref<const std::string&>().size() > kMaxStringBytes) {
    m_findings.Add(JsonPointerOf(aKey),
                   "is longer than " + std::to_string(kMaxStringBytes) + " bytes");
    return {};
  }
  return value->get<std::string>();
}

std::string
JsonObjectReader::OptionalString(const char* aKey, std::string aDefault)
{
  return Member(aKey) == nullptr ? std::move(aDefault) : RequiredString(aKey);
}

std::int64_t
JsonObjectReader::CheckInteger(const char* aKey,
                               const Json& aValue,
                               std::int64_t aDefault,
                               std::int64_t aMin,
                               std::int64_t aMax)
{
  if (!aValue.is_number_integer()) {
    m_findings.Add(JsonPointerOf(aKey), "must be an integer");
    return aDefault;
  }
  const bool huge = aValue.is_number_unsigned() &&
                    aValue.get<std::uint64_t>() > static_cast<std::uint64_t>(INT64_MAX);
  const auto number = huge ? INT64_MAX : aValue.get<std::int64_t>();
  if (number < aMin || number > aMax) {
    m_findings.Add(JsonPointerOf(aKey),
                   "must be from " + std::to_string(aMin) + " to " + std::to_string(aMax));
    return aDefault;
  }
  return number;
}

std::int64_t
JsonObjectReader::RequiredInteger(const char* aKey, std::int64_t aMin, std::int64_t aMax)
{
  const Json* value = Member(aKey);
  if (value == nullptr) {
    m_findings.Add(JsonPointerOf(aKey), "is missing");
    return aMin;
  }
  return CheckInteger(aKey, *value, aMin, aMin, aMax);
}

std::int64_t
JsonObjectReader::OptionalInteger(const char* aKey,
                                  std::int64_t aDefault,
                                  std::int64_t aMin,
                                  std::int64_t aMax)
{
  const Json* value = Member(aKey);
  return value == nullptr ? aDefault : CheckInteger(aKey, *value, aDefault, aMin, aMax);
}

Milliseconds
JsonObjectReader::OptionalMilliseconds(const char* aKey,
                                       Milliseconds aDefault,
                                       Milliseconds aMin,
                                       Milliseconds aMax)
{
  return Milliseconds(OptionalInteger(aKey, aDefault.count(), aMin.count(), aMax.count()));
}

bool
JsonObjectReader::OptionalBool(const char* aKey, bool aDefault)
{
  const Json* value = Member(aKey);
  if (value == nullptr) {
    return aDefault;
  }
  if (!value->is_boolean()) {
    m_findings.Add(JsonPointerOf(aKey), "must be true or false");
    return aDefault;
  }
  return value->get<bool>();
}

void
JsonObjectReader::ForEach(const char* aKey, std::size_t aMinElements, const ElementReader& aReader)
{
  const Json* value = Member(aKey);
  if (value == nullptr) {
    if (aMinElements > 0) {
      m_findings.Add(JsonPointerOf(aKey), "is missing");
    }
    return;
  }
  if (!value->is_array()) {
    m_findings.Add(JsonPointerOf(aKey), "must be an array");
    return;
  }
  if (value->size() < aMinElements) {
    m_findings.Add(JsonPointerOf(aKey),
                   "needs at least " + std::to_string(aMinElements) + " element");
  }
  for (std::size_t index = 0; index < value->size(); ++index) {
    aReader((*value)[index], JsonPointerOf(aKey) + "/" + std::to_string(index));
  }
}

void
JsonObjectReader::RejectUnknownMembers()
{
  if (!m_object.is_object()) {
    return;
  }
  for (const auto& member : m_object.items()) {
    if (!m_known.contains(member.key())) {
      m_findings.Add(JsonPointerOf(member.key()), "is not a known key");
    }
  }
}

}
