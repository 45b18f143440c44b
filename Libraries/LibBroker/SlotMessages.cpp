#include <LibBroker/SlotMessages.h>

#include <LibCore/JsonObjectReader.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>
#include <array>
#include <utility>

namespace auburnhitch {

namespace {

/// Appends the fields of a message in order.
class Writer
{
public:
  explicit Writer(std::size_t aKind)
    : m_json(Json::array({ aKind }))
  {
  }

  template<typename Tag>
  void operator()(const StrongString<Tag>& aValue)
  {
    m_json.push_back(aValue.Value());
  }
  void operator()(const std::string& aValue) { m_json.push_back(aValue); }
  void operator()(std::uint64_t aValue) { m_json.push_back(aValue); }
  void operator()(int aValue) { m_json.push_back(aValue); }
  void operator()(double aValue) { m_json.push_back(aValue); }
  void operator()(Milliseconds aValue) { m_json.push_back(aValue.count()); }
  void operator()(SlotOutcome aValue) { m_json.push_back(static_cast<int>(aValue)); }
  void operator()(SlotRefusalReason aValue) { m_json.push_back(static_cast<int>(aValue)); }
  void operator()(const std::optional<RequestRate>& aValue)
  {
    m_json.push_back(aValue ? Json::array({ aValue->m_per_second }) : Json::array());
  }
  void operator()(const std::optional<SoftwareVersion>& aValue)
  {
    m_json.push_back(aValue ? Json::array({ aValue->Value() }) : Json::array());
  }
  void operator()(const std::vector<AgedStreamOrigin>& aValues)
  {
    Json origins = Json::array();
    for (const AgedStreamOrigin& aged : aValues) {
      const StreamOrigin& origin = aged.m_origin;
      origins.push_back(Json::array({ origin.m_stream,
                                      origin.m_endpoint.Value(),
                                      origin.m_version.Value(),
                                      aged.m_age.count() }));
    }
    m_json.push_back(std::move(origins));
  }
  void operator()(const std::vector<TraitSuspicion>& aValues)
  {
    Json suspicions = Json::array();
    for (const TraitSuspicion& suspicion : aValues) {
      suspicions.push_back(Json::array({ suspicion.m_trait.Value(),
                                         suspicion.m_probability,
                                         suspicion.m_crashes,
                                         suspicion.m_refused_for.count() }));
    }
    m_json.push_back(std::move(suspicions));
  }
  void operator()(const TraitCrashes& aValue)
  {
    (*this)(aValue.m_trait);
    Json crashes = Json::array();
    for (const CrashHistory::Requests& requests : aValue.m_crashes) {
      Json prompts = Json::array();
      for (const PromptParts& parts : requests) {
        prompts.push_back(
          absl::StrJoin(parts, ",", [](std::string* aText, const CrashTrait& aPart) {
            aText->append(aPart.Value());
          }));
      }
      crashes.push_back(std::move(prompts));
    }
    m_json.push_back(std::move(crashes));
    (*this)(aValue.m_trials);
  }
  template<typename Tag>
  void operator()(const std::vector<StrongString<Tag>>& aValues)
  {
    Json names = Json::array();
    for (const StrongString<Tag>& name : aValues) {
      names.push_back(name.Value());
    }
    m_json.push_back(std::move(names));
  }

  /// Appends a flag that comes last and may be missing.
  void LastFlag(bool aValue)
  {
    if (aValue) {
      m_json.push_back(true);
    }
  }

  /// Appends a duration that comes last and may be missing.
  void LastDuration(const std::optional<Milliseconds>& aValue)
  {
    if (aValue) {
      m_json.push_back(Json::array({ aValue->count() }));
    }
  }

  Json Take() { return std::move(m_json); }

private:
  Json m_json;
};

PromptParts
PartsIn(const std::string& aText)
{
  PromptParts parts;
  for (const absl::string_view part : absl::StrSplit(aText, ',', absl::SkipEmpty())) {
    parts.emplace(std::string(part));
  }
  return parts;
}

/// Reads the fields of a message in order. The first field that is missing, of another type or out
/// of range makes the whole message invalid.
class Reader
{
public:
  /// aFirst: the index of the first field.
  explicit Reader(const Json& aJson, std::size_t aFirst = 1)
    : m_json(aJson)
    , m_next(aFirst)
  {
  }

  template<typename Tag>
  void operator()(StrongString<Tag>& aValue)
  {
    if (const Json* field = Next(); field != nullptr && Check(field->is_string())) {
      aValue = StrongString<Tag>(field->get<std::string>());
    }
  }
  void operator()(std::string& aValue)
  {
    if (const Json* field = Next(); field != nullptr && Check(field->is_string())) {
      aValue = field->get<std::string>();
    }
  }
  void operator()(std::uint64_t& aValue)
  {
    if (const Json* field = Next(); field != nullptr && Check(field->is_number_unsigned())) {
      aValue = field->get<std::uint64_t>();
    }
  }
  void operator()(int& aValue)
  {
    constexpr std::int64_t kMax = 1'000'000;
    if (const Json* field = Next(); field != nullptr && Check(IsWithin(*field, kMax))) {
      aValue = field->get<int>();
    }
  }
  void operator()(double& aValue)
  {
    constexpr double kMax = 1e9;
    if (const Json* field = Next(); field != nullptr && Check(field->is_number())) {
      aValue = field->get<double>();
      Check(aValue >= 0 && aValue <= kMax);
    }
  }
  void operator()(Milliseconds& aValue)
  {
    constexpr std::int64_t kMaxMs = std::int64_t{ 24 } * 60 * 60 * 1'000;
    if (const Json* field = Next(); field != nullptr && Check(IsWithin(*field, kMaxMs))) {
      aValue = Milliseconds(field->get<std::int64_t>());
    }
  }
  void operator()(std::optional<RequestRate>& aValue)
  {
    const Json* field = Next();
    if (field == nullptr || !Check(field->is_array() && field->size() <= 1) || field->empty()) {
      return;
    }
    const Json& rate = field->front();
    if (Check(rate.is_number() && rate.get<double>() >= 0)) {
      aValue = RequestRate{ rate.get<double>() };
    }
  }
  void operator()(std::optional<SoftwareVersion>& aValue)
  {
    const Json* field = Next();
    if (field == nullptr || !Check(field->is_array() && field->size() <= 1) || field->empty()) {
      return;
    }
    if (Check(field->front().is_string())) {
      aValue = SoftwareVersion(field->front().get<std::string>());
    }
  }
  void operator()(std::vector<AgedStreamOrigin>& aValues)
  {
    ReadTuples(aValues, [](Reader& aReader, AgedStreamOrigin& aAged) {
      aReader(aAged.m_origin.m_stream);
      aReader(aAged.m_origin.m_endpoint);
      aReader(aAged.m_origin.m_version);
      aReader(aAged.m_age);
      return aAged.m_age >= Milliseconds(0);
    });
  }
  void operator()(SlotOutcome& aValue)
  {
    ReadEnum(aValue, static_cast<int>(SlotOutcome::Cancelled));
  }
  void operator()(SlotRefusalReason& aValue)
  {
    ReadEnum(aValue, static_cast<int>(SlotRefusalReason::Harmful));
  }
  void operator()(std::vector<TraitSuspicion>& aValues)
  {
    ReadTuples(aValues, [](Reader& aReader, TraitSuspicion& aSuspicion) {
      aReader(aSuspicion.m_trait);
      aReader(aSuspicion.m_probability);
      aReader(aSuspicion.m_crashes);
      aReader(aSuspicion.m_refused_for);
      return aSuspicion.m_probability <= 1 && aSuspicion.m_crashes >= 0 &&
             aSuspicion.m_refused_for >= Milliseconds(0);
    });
  }
  void operator()(TraitCrashes& aValue)
  {
    (*this)(aValue.m_trait);
    const Json* field = Next();
    if (field == nullptr || !Check(field->is_array())) {
      return;
    }
    for (const Json& prompts : *field) {
      if (!Check(prompts.is_array())) {
        return;
      }
      CrashHistory::Requests& requests = aValue.m_crashes.emplace_back();
      for (const Json& parts : prompts) {
        if (Check(parts.is_string())) {
          requests.push_back(PartsIn(parts.get<std::string>()));
        }
      }
    }
    (*this)(aValue.m_trials);
    Check(aValue.m_trials >= 0);
  }
  template<typename Tag>
  void operator()(std::vector<StrongString<Tag>>& aValues)
  {
    const Json* field = Next();
    if (field == nullptr || !Check(field->is_array())) {
      return;
    }
    for (const Json& name : *field) {
      if (Check(name.is_string())) {
        aValues.emplace_back(name.get<std::string>());
      }
    }
  }

  void LastFlag(bool& aValue)
  {
    aValue = m_next < m_json.size() && m_json[m_next].is_boolean();
    if (aValue && !Check(m_json[m_next++] == true)) {
      aValue = false;
    }
  }

  void LastDuration(std::optional<Milliseconds>& aValue)
  {
    if (m_next == m_json.size() || !Check(m_json[m_next].is_array())) {
      return;
    }
    Reader reader(m_json[m_next++], 0);
    Milliseconds value{ 0 };
    reader(value);
    if (Check(reader.IsOk() && value >= Milliseconds(0))) {
      aValue = value;
    }
  }

  bool IsOk() const { return m_is_ok && m_next == m_json.size(); }

private:
  static bool IsWithin(const Json& aField, std::int64_t aMaxMagnitude)
  {
    return aField.is_number_integer() && aField.get<std::int64_t>() >= -aMaxMagnitude &&
           aField.get<std::int64_t>() <= aMaxMagnitude;
  }

  /// Reads an array of arrays. aRead: reads the fields of an item and returns whether they are
  /// within range.
  template<typename T, typename ReadFields>
  void ReadTuples(std::vector<T>& aValues, ReadFields aRead)
  {
    const Json* field = Next();
    if (field == nullptr || !Check(field->is_array())) {
      return;
    }
    for (const Json& item : *field) {
      if (!Check(item.is_array())) {
        return;
      }
      Reader reader(item, 0);
      T value;
      const bool is_within_range = aRead(reader, value);
      if (!Check(reader.IsOk() && is_within_range)) {
        return;
      }
      aValues.push_back(std::move(value));
    }
  }

  const Json* Next()
  {
    if (!Check(m_next < m_json.size())) {
      return nullptr;
    }
    return &m_json[m_next++];
  }

  bool Check(bool aCondition)
  {
    m_is_ok = m_is_ok && aCondition;
    return aCondition;
  }

  template<typename Enum>
  void ReadEnum(Enum& aValue, int aLast)
  {
    int number = 0;
    (*this)(number);
    if (Check(number >= 0 && number <= aLast)) {
      aValue = static_cast<Enum>(number);
    }
  }

  const Json& m_json;
  std::size_t m_next;
  bool m_is_ok = true;
};

template<typename T, typename Message>
concept Is = std::is_same_v<std::remove_const_t<T>, Message>;

// List the fields of each message in their order on the wire, for encoding and for decoding.

void
Visit(auto& aVisit, Is<HelloMessage> auto& aMessage)
{
  aVisit(aMessage.m_host);
  aVisit(aMessage.m_incarnation);
}

void
Visit(auto& aVisit, Is<SlotRequestMessage> auto& aMessage)
{
  aVisit(aMessage.m_service);
  aVisit(aMessage.m_number);
  aVisit(aMessage.m_priority);
  aVisit(aMessage.m_work.m_prompt_tokens);
  aVisit(aMessage.m_work.m_output_tokens);
  aVisit(aMessage.m_age);
  aVisit(aMessage.m_time_to_objective);
  aVisit(aMessage.m_time_to_abandonment);
  aVisit(aMessage.m_data_center);
  aVisit(aMessage.m_avoided);
  aVisit(aMessage.m_workspace);
  aVisit(aMessage.m_quota_tokens);
}

void
Visit(auto& aVisit, Is<WithdrawMessage> auto& aMessage)
{
  aVisit(aMessage.m_service);
  aVisit(aMessage.m_number);
}

void
Visit(auto& aVisit, Is<HeldMessage> auto& aMessage)
{
  aVisit(aMessage.m_service);
  aVisit(aMessage.m_number);
  aVisit(aMessage.m_endpoint);
  aVisit(aMessage.m_work.m_prompt_tokens);
  aVisit(aMessage.m_work.m_output_tokens);
}

void
Visit(auto& aVisit, Is<FirstByteMessage> auto& aMessage)
{
  aVisit(aMessage.m_service);
  aVisit(aMessage.m_number);
  aVisit(aMessage.m_endpoint);
}

void
Visit(auto& aVisit, Is<ReleaseMessage> auto& aMessage)
{
  aVisit(aMessage.m_service);
  aVisit(aMessage.m_number);
  aVisit(aMessage.m_endpoint);
  aVisit(aMessage.m_outcome);
}

void
Visit(auto& aVisit, Is<LeaveMessage> auto& aMessage)
{
  aVisit(aMessage.m_service);
}

void
Visit(auto& aVisit, Is<QueuedMessage> auto& aMessage)
{
  aVisit(aMessage.m_number);
}

void
Visit(auto& aVisit, Is<GrantMessage> auto& aMessage)
{
  aVisit(aMessage.m_number);
  aVisit(aMessage.m_endpoint);
  aVisit(aMessage.m_expected);
}

void
Visit(auto& aVisit, Is<RefusalMessage> auto& aMessage)
{
  aVisit(aMessage.m_number);
  aVisit(aMessage.m_reason);
  aVisit(aMessage.m_retry_after);
}

void
Visit(auto& aVisit, Is<EndpointNoticeMessage> auto& aMessage)
{
  aVisit(aMessage.m_service);
  aVisit(aMessage.m_number);
  aVisit(aMessage.m_endpoint);
  aVisit(aMessage.m_started_at_ms);
  aVisit(aMessage.m_limit);
  aVisit.LastFlag(aMessage.m_is_leaving);
  aVisit.LastDuration(aMessage.m_rest);
}

void
Visit(auto& aVisit, Is<RequiredVersionMessage> auto& aMessage)
{
  aVisit(aMessage.m_number);
  aVisit(aMessage.m_version);
}

void
Visit(auto& aVisit, Is<StreamOriginsMessage> auto& aMessage)
{
  aVisit(aMessage.m_service);
  aVisit(aMessage.m_origins);
}

void
Visit(auto& aVisit, Is<StreamLookupMessage> auto& aMessage)
{
  aVisit(aMessage.m_number);
  aVisit(aMessage.m_service);
  aVisit(aMessage.m_stream);
}

void
Visit(auto& aVisit, Is<StreamVersionMessage> auto& aMessage)
{
  aVisit(aMessage.m_number);
  aVisit(aMessage.m_version);
}

void
Visit(auto& aVisit, Is<CrashTraitsMessage> auto& aMessage)
{
  aVisit(aMessage.m_number);
  aVisit(aMessage.m_traits);
}

void
Visit(auto& aVisit, Is<UnprovenEndMessage> auto& aMessage)
{
  aVisit(aMessage.m_service);
  aVisit(aMessage.m_number);
}

void
Visit(auto& aVisit, Is<TraitSuspicionsMessage> auto& aMessage)
{
  aVisit(aMessage.m_service);
  aVisit(aMessage.m_suspicions);
}

void
Visit(auto& aVisit, Is<UncertainGrantMessage> auto& aMessage)
{
  aVisit(aMessage.m_number);
}

void
Visit(auto& aVisit, Is<RequestRouteMessage> auto& aMessage)
{
  aVisit(aMessage.m_number);
  aVisit(aMessage.m_route);
}

void
Visit(auto& aVisit, Is<TraitCrashesMessage> auto& aMessage)
{
  aVisit(aMessage.m_service);
  aVisit(aMessage.m_crashes);
}

template<typename Message>
std::optional<SlotMessage>
Decode(const Json& aJson)
{
  Message message;
  Reader reader(aJson);
  Visit(reader, message);
  if (!reader.IsOk()) {
    return std::nullopt;
  }
  return message;
}

template<std::size_t... Kinds>
std::optional<SlotMessage>
DecodeKind(std::size_t aKind, const Json& aJson, std::index_sequence<Kinds...>)
{
  using Decoder = std::optional<SlotMessage> (*)(const Json&);
  constexpr std::array<Decoder, sizeof...(Kinds)> kDecoders{
    Decode<std::variant_alternative_t<Kinds, SlotMessage>>...
  };
  return aKind < kDecoders.size() ? kDecoders[aKind](aJson) : std::nullopt;
}

}

nlohmann::json
EncodeSlotMessage(const SlotMessage& aMessage)
{
  Writer writer(aMessage.index());
  std::visit([&](const auto& aAlternative) { Visit(writer, aAlternative); }, aMessage);
  return writer.Take();
}

std::optional<SlotMessage>
DecodeSlotMessage(const nlohmann::json& aJson)
{
  if (!aJson.is_array() || aJson.empty() || !aJson[0].is_number_unsigned()) {
    return std::nullopt;
  }
  return DecodeKind(aJson[0].get<std::size_t>(),
                    aJson,
                    std::make_index_sequence<std::variant_size_v<SlotMessage>>());
}

}
