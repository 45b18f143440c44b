#include <LibCore/JsonObjectReader.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace auburnhitch {

namespace {

/// Counts the levels of arrays and objects while a document is parsed, and stops the parser where
/// there are too many. Everything else is ignored.
class LevelCounter : public nlohmann::json_sax<Json>
{
public:
  bool HasTooMany() const { return m_has_too_many; }

  bool start_object(std::size_t) override { return Enter(); }
  bool end_object() override { return Leave(); }
  bool start_array(std::size_t) override { return Enter(); }
  bool end_array() override { return Leave(); }
  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t&) override { return true; }
  bool string(string_t&) override { return true; }
  bool binary(binary_t&) override { return true; }
  bool key(string_t&) override { return true; }
  bool parse_error(std::size_t, const std::string&, const Json::exception&) override
  {
    return false;
  }

private:
  bool Enter()
  {
    m_has_too_many = ++m_levels > kMaxJsonLevels;
    return !m_has_too_many;
  }

  bool Leave()
  {
    --m_levels;
    return true;
  }

  std::size_t m_levels = 0;
  bool m_has_too_many = false;
};

/// Whether arrays and objects of MessagePack are nested too deeply. Malformed input is not.
bool
HasTooManyLevels(absl::string_view aBytes)
{
  // Each level takes a byte at least, and so many fit on the stack. Spares the second pass over the
  // frequent messages of daemons.
  constexpr std::size_t kMaxUncheckedBytes = 2'048;
  if (aBytes.size() <= kMaxUncheckedBytes) {
    return false;
  }
  LevelCounter counter;
  Json::sax_parse(aBytes.begin(), aBytes.end(), &counter, Json::input_format_t::msgpack);
  return counter.HasTooMany();
}

/// The same for JSON text, without parsing it: counts brackets outside of strings.
bool
HasTooManyBrackets(absl::string_view aText)
{
  std::size_t levels = 0;
  bool is_in_string = false;
  for (std::size_t at = 0; at < aText.size(); ++at) {
    const char byte = aText[at];
    if (is_in_string) {
      at += byte == '\\' ? 1 : 0;
      is_in_string = byte != '"';
    } else if (byte == '"') {
      is_in_string = true;
    } else if (byte == '[' || byte == '{') {
      if (++levels > kMaxJsonLevels) {
        return true;
      }
    } else if (byte == ']' || byte == '}') {
      levels -= levels > 0 ? 1 : 0;
    }
  }
  return false;
}

/// The length of the UTF-8 sequence at the beginning of a text, or 0 if there is none.
std::size_t
Utf8Length(absl::string_view aText)
{
  // Lengths by the first byte, and the least code point of each: shorter forms are malformed.
  constexpr std::array<std::uint32_t, 5> kMinCodePoint{ 0, 0, 0x80, 0x800, 0x10000 };
  constexpr std::uint32_t kMaxCodePoint = 0x10FFFF;
  const auto first = static_cast<unsigned char>(aText.front());
  std::size_t length = 0;
  if (first < 0x80) {
    return 1;
  }
  if (first >= 0xC0 && first < 0xF8) {
    length = first < 0xE0 ? 2 : first < 0xF0 ? 3 : 4;
  }
  if (length == 0 || aText.size() < length) {
    return 0;
  }
  std::uint32_t code_point = first & (0x7FU >> length);
  for (const char byte : aText.substr(1, length - 1)) {
    if ((static_cast<unsigned char>(byte) & 0xC0U) != 0x80U) {
      return 0;
    }
    code_point = (code_point << 6U) | (static_cast<unsigned char>(byte) & 0x3FU);
  }
  const bool is_surrogate = code_point >= 0xD800 && code_point <= 0xDFFF;
  return code_point < kMinCodePoint[length] || code_point > kMaxCodePoint || is_surrogate ? 0
                                                                                          : length;
}

/// The code unit of the escape \uXXXX at the beginning of a text, or nothing if there is none.
std::optional<unsigned>
EscapedUnit(absl::string_view aText)
{
  constexpr std::size_t kEscapeBytes = 6;
  constexpr int kHexadecimal = 16;
  unsigned unit = 0;
  if (aText.size() < kEscapeBytes || aText[0] != '\\' || aText[1] != 'u') {
    return std::nullopt;
  }
  const char* end = aText.data() + kEscapeBytes;
  const auto parsed = std::from_chars(aText.data() + 2, end, unit, kHexadecimal);
  return parsed.ptr == end ? std::optional(unit) : std::nullopt;
}

bool
IsHighSurrogate(std::optional<unsigned> aUnit)
{
  return aUnit && *aUnit >= 0xD800 && *aUnit <= 0xDBFF;
}

bool
IsLowSurrogate(std::optional<unsigned> aUnit)
{
  return aUnit && *aUnit >= 0xDC00 && *aUnit <= 0xDFFF;
}

}

std::string
ReplaceMalformedText(absl::string_view aText)
{
  constexpr absl::string_view kReplacement = "\xEF\xBF\xBD";
  constexpr std::size_t kEscapeBytes = 6;
  std::string text;
  while (!aText.empty()) {
    std::size_t length = Utf8Length(aText);
    bool is_kept = length > 0;
    if (aText.front() == '\\') {
      const auto unit = EscapedUnit(aText);
      const bool is_pair =
        IsHighSurrogate(unit) && IsLowSurrogate(EscapedUnit(aText.substr(kEscapeBytes)));
      length = is_pair ? 2 * kEscapeBytes
               : unit  ? kEscapeBytes
                       : std::min<std::size_t>(2, aText.size());
      is_kept = is_pair || !(IsHighSurrogate(unit) || IsLowSurrogate(unit));
    }
    const absl::string_view part = aText.substr(0, std::max<std::size_t>(1, length));
    const absl::string_view kept = is_kept ? part : kReplacement;
    text.append(kept.data(), kept.size());
    aText.remove_prefix(part.size());
  }
  return text;
}

std::optional<Json>
ParseMessagePack(absl::string_view aBytes)
{
  if (HasTooManyLevels(aBytes)) {
    return std::nullopt;
  }
  Json json = Json::from_msgpack(aBytes.begin(), aBytes.end(), true, false);
  return json.is_discarded() ? std::nullopt : std::optional(std::move(json));
}

std::optional<Json>
ParseJson(absl::string_view aText, Findings& aFindings)
{
  if (HasTooManyBrackets(aText)) {
    aFindings.Add("",
                  "has arrays or objects nested more than " + std::to_string(kMaxJsonLevels) +
                    " levels deep");
    return std::nullopt;
  }
  // A parse error has only a byte offset, since no JSON pointer exists for malformed text.
  try {
    return Json::parse(aText);
  } catch (const Json::parse_error& error) {
    aFindings.Add("", "malformed JSON at byte " + std::to_string(error.byte));
    return std::nullopt;
  } catch (const Json::exception&) {
    // A number that does not fit a double throws another exception type than syntax errors.
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
