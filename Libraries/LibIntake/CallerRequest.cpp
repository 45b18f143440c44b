#include <LibIntake/CallerRequest.h>

#include <LibCore/Digest.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/strip.h>
#include <algorithm>
#include <array>
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace auburnhitch {

namespace {

constexpr absl::string_view kServicesPrefix = "/v1/services/";
constexpr absl::string_view kBearerPrefix = "Bearer ";
constexpr Milliseconds kLongestDeadline{ 24 * 60 * 60 * 1'000 };

// Model work in milliseconds of an ordinary engine. Scales differ from engine to engine; each
// engine's own factor is learned from its answers.
constexpr WorkUnits kWorkPerCall = 1.0;
constexpr WorkUnits kWorkPerPromptByte = 0.0025;
constexpr WorkUnits kWorkPerOutputToken = 1.0;
constexpr std::int64_t kDefaultOutputTokens = 256;
constexpr std::int64_t kMostOutputTokens = 1 << 20;
/// Prompts shorter than this are not worth a cache entry.
constexpr std::size_t kLeastPrefixBytes = 512;

/// Checks one request, step by step; the first error ends it.
class RequestChecker
{
public:
  RequestChecker(const RawCallerRequest& aRaw, const DocumentLookup& aDocuments, TimePoint aNow)
    : m_raw(aRaw)
    , m_documents(aDocuments)
    , m_now(aNow)
  {
  }

  std::variant<CheckedCallerRequest, CallerError> Check()
  {
    using Step = bool (RequestChecker::*)();
    constexpr std::array<Step, 7> kSteps{
      &RequestChecker::ReadPath,     &RequestChecker::FindDocument, &RequestChecker::Authenticate,
      &RequestChecker::ReadTier,     &RequestChecker::ReadDeadline, &RequestChecker::ReadIdentity,
      &RequestChecker::BuildRequest,
    };
    for (const Step step : kSteps) {
      if (!(this->*step)()) {
        return m_error;
      }
    }
    return std::move(m_checked);
  }

private:
  bool Fail(ErrorCode aCode, std::string aDetail = {})
  {
    m_error.m_code = aCode;
    m_error.m_detail = std::move(aDetail);
    const bool names_earlier = !m_raw.m_identity.empty() || !m_raw.m_idempotency_key.empty();
    m_error.m_outcome = names_earlier ? Outcome::Unknown : Outcome::NotRun;
    return false;
  }

  bool ReadPath()
  {
    if (m_raw.m_path == "/v1/chat/completions" || m_raw.m_path == "/v1/completions") {
      return m_raw.m_method == "POST" ? ReadModelRequest() : Fail(ErrorCode::UnknownPath);
    }
    absl::string_view rest = m_raw.m_path;
    if (!absl::ConsumePrefix(&rest, kServicesPrefix)) {
      return Fail(ErrorCode::UnknownPath);
    }
    const auto slash = rest.find('/');
    m_service = ServiceName(std::string(rest.substr(0, slash)));
    m_endpoint_path = slash == absl::string_view::npos ? "/" : std::string(rest.substr(slash));
    m_type = ServiceType::Plain;
    return true;
  }

  bool ReadModelRequest()
  {
    Findings findings;
    const auto body = ParseJson(m_raw.m_body, findings);
    if (!body) {
      return Fail(ErrorCode::BadRequest, findings.Describe("body"));
    }
    JsonObjectReader reader(*body, "", findings);
    m_service = ServiceName(reader.RequiredString("model"));
    m_checked.m_dispatch_request.m_wants_stream = reader.OptionalBool("stream", false);
    m_output_tokens =
      reader.OptionalInteger("max_tokens", kDefaultOutputTokens, 1, kMostOutputTokens);
    if (!findings.IsEmpty()) {
      return Fail(ErrorCode::BadRequest, findings.Describe("body"));
    }
    m_prefix = PrefixOf(*body);
    m_endpoint_path = m_raw.m_path;
    m_type = ServiceType::Engine;
    return true;
  }

  // The beginning of the first message: what requests of one kind have in common, such as a system
  // prompt or a catalogue.
  static std::uint64_t PrefixOf(const Json& aBody)
  {
    const Json* text = nullptr;
    if (const auto prompt = aBody.find("prompt"); prompt != aBody.end()) {
      text = &*prompt;
    } else if (const auto messages = aBody.find("messages");
               messages != aBody.end() && messages->is_array() && !messages->empty() &&
               messages->front().is_object() && messages->front().contains("content")) {
      text = &messages->front()["content"];
    }
    if (text == nullptr || !text->is_string()) {
      return 0;
    }
    const auto& content = text->get_ref<const std::string&>();
    if (content.size() < kLeastPrefixBytes) {
      return 0;
    }
    return std::max<std::uint64_t>(1, XXH3_64bits(content.data(), kLeastPrefixBytes));
  }

  bool FindDocument()
  {
    const HeldDocument* held = m_documents(m_service);
    if (held == nullptr || held->m_document->m_type != m_type) {
      return Fail(ErrorCode::UnknownService, m_service.Value());
    }
    m_document = held->m_document;
    return true;
  }

  bool Authenticate()
  {
    absl::string_view key = m_raw.m_authorization;
    if (!absl::ConsumePrefix(&key, kBearerPrefix)) {
      return Fail(ErrorCode::WrongKey, "no bearer key was sent");
    }
    m_workspace = m_document->FindWorkspaceByKey(key);
    return m_workspace != nullptr || Fail(ErrorCode::WrongKey);
  }

  bool ReadTier()
  {
    const Kind* kind = m_raw.m_kind.empty() ? &m_document->m_kinds.front()
                                            : m_document->FindKind(KindName(m_raw.m_kind));
    if (kind == nullptr) {
      return Fail(ErrorCode::UnknownKind, m_raw.m_kind);
    }
    const TierName tier = m_raw.m_tier.empty() ? kind->m_tier : TierName(m_raw.m_tier);
    const auto& allowed = m_workspace->m_tiers;
    if (std::find(allowed.begin(), allowed.end(), tier) == allowed.end()) {
      return Fail(ErrorCode::TierNotAllowed, tier.Value());
    }
    m_checked.m_dispatch_request.m_tier = *m_document->TierIndexOf(tier);
    m_checked.m_dispatch_request.m_tier_name = tier;
    return true;
  }

  bool ReadDeadline()
  {
    std::int64_t deadline =
      m_document->m_tiers[m_checked.m_dispatch_request.m_tier].m_deadline.count();
    if (!m_raw.m_deadline_ms.empty() && (!absl::SimpleAtoi(m_raw.m_deadline_ms, &deadline) ||
                                         deadline < 1 || deadline > kLongestDeadline.count())) {
      return Fail(ErrorCode::BadRequest, "the deadline is not a number of milliseconds");
    }
    m_checked.m_dispatch_request.m_deadline = m_now + Milliseconds(deadline);
    return true;
  }

  bool ReadIdentity()
  {
    if (!m_raw.m_identity.empty()) {
      m_checked.m_identity = RequestIdentity::Parse(m_raw.m_identity);
      if (!m_checked.m_identity) {
        return Fail(ErrorCode::BadIdentity);
      }
    } else if (!m_raw.m_idempotency_key.empty()) {
      m_checked.m_key = IdempotencyKey::Parse(m_raw.m_idempotency_key);
      if (!m_checked.m_key) {
        return Fail(ErrorCode::BadIdempotencyKey);
      }
    }
    if (!m_raw.m_last_event_id.empty() &&
        (!absl::SimpleAtoi(m_raw.m_last_event_id, &m_checked.m_after_event) ||
         m_checked.m_after_event < 0)) {
      return Fail(ErrorCode::BadRequest, "Last-Event-ID is not an event number");
    }
    m_checked.m_resume_host = HostName(m_raw.m_resume_token);
    return true;
  }

  bool BuildRequest()
  {
    DispatchRequest& call = m_checked.m_dispatch_request;
    const Tier& tier = m_document->m_tiers[call.m_tier];
    call.m_key.m_workspace = m_workspace->m_name;
    call.m_service = m_service;
    call.m_type = m_type;
    call.m_is_sheddable = tier.m_is_sheddable;
    call.m_share = m_workspace->m_share;
    call.m_work = kWorkPerCall;
    call.m_prefix = m_prefix;
    if (m_type == ServiceType::Engine) {
      call.m_work += kWorkPerPromptByte * static_cast<double>(m_raw.m_body.size()) +
                     kWorkPerOutputToken * static_cast<double>(m_output_tokens);
    }
    call.m_http.m_method = m_raw.m_method;
    call.m_http.m_path = m_endpoint_path;
    call.m_http.m_body = m_raw.m_body;
    if (!m_raw.m_content_type.empty()) {
      call.m_http.m_headers.emplace_back("Content-Type", m_raw.m_content_type);
    }
    call.m_digest = Sha256Hex(m_raw.m_method + "\n" + m_raw.m_path + "\n" + m_raw.m_body);
    return true;
  }

  const RawCallerRequest& m_raw;
  const DocumentLookup& m_documents;
  TimePoint m_now;
  CheckedCallerRequest m_checked;
  CallerError m_error;
  ServiceName m_service;
  ServiceType m_type = ServiceType::Plain;
  std::string m_endpoint_path;
  std::int64_t m_output_tokens = kDefaultOutputTokens;
  std::uint64_t m_prefix = 0;
  ServiceDocumentPtr m_document;
  const Workspace* m_workspace = nullptr;
};

}

RawCallerRequest
RawCallerRequest::From(const HttpExchange& aExchange)
{
  RawCallerRequest raw;
  raw.m_method = aExchange.Method();
  raw.m_path = aExchange.Path();
  raw.m_authorization = aExchange.Header("Authorization");
  raw.m_identity = aExchange.Header(headers::kIdentity);
  raw.m_idempotency_key = aExchange.Header(headers::kIdempotencyKey);
  raw.m_kind = aExchange.Header(headers::kKind);
  raw.m_tier = aExchange.Header(headers::kTier);
  raw.m_deadline_ms = aExchange.Header(headers::kDeadline);
  raw.m_last_event_id = aExchange.Header(headers::kLastEventId);
  raw.m_resume_token = aExchange.Header(headers::kResumeToken);
  raw.m_content_type = aExchange.Header("Content-Type");
  raw.m_body = aExchange.Body();
  return raw;
}

std::variant<CheckedCallerRequest, CallerError>
CheckCallerRequest(const RawCallerRequest& aRaw, const DocumentLookup& aDocuments, TimePoint aNow)
{
  return RequestChecker(aRaw, aDocuments, aNow).Check();
}

}
