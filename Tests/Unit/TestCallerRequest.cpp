#include "TestDocuments.h"

#include <LibIntake/CallerRequest.h>
#include <doctest.h>

using namespace auburnhitch;
using namespace auburnhitch::tests;

namespace {

/// The documents of a plain service, "desk", and of an engine service, "model".
class Documents
{
public:
  Documents()
  {
    Findings findings;
    m_fold.Apply(0, PublicationRecord("a", "desk", 0, 1), findings);
    Json model = DocumentOf("model");
    model["type"] = "engine";
    m_fold.Apply(1, Publication{ "b", ServiceName("model"), 0, model }.ToJson().dump(), findings);
  }

  DocumentLookup Lookup() const
  {
    return [this](const ServiceName& aService) { return m_fold.Find(aService); };
  }

private:
  DocumentFold m_fold;
};

RawCallerRequest
CorrectRequest()
{
  RawCallerRequest raw;
  raw.m_method = "POST";
  raw.m_path = "/v1/services/desk/lots/7";
  raw.m_authorization = "Bearer mill-key";
  raw.m_kind = "bid";
  raw.m_body = "{}";
  return raw;
}

ErrorCode
CodeOf(const RawCallerRequest& aRaw)
{
  const Documents documents;
  const auto checked = CheckCallerRequest(aRaw, documents.Lookup(), TimePoint{});
  const auto* error = std::get_if<CallerError>(&checked);
  REQUIRE(error != nullptr);
  return error->m_code;
}

}

// Guards against a workspace, tier, deadline or path that differs from what the document and the
// request state.
TEST_CASE("A correct request takes its rules from the document")
{
  const Documents documents;
  const auto checked = CheckCallerRequest(CorrectRequest(), documents.Lookup(), TimePoint{});
  const auto& request = std::get<CheckedCallerRequest>(checked).m_dispatch_request;
  CHECK(request.m_key.m_workspace.Value() == "mill");
  CHECK(request.m_tier == 0);
  CHECK(request.m_deadline == TimePoint{} + Milliseconds(2'000));
  CHECK(request.m_http.m_path == "/lots/7");
}

// Guards against malformed input that passes the checks or is reported as another error.
TEST_CASE("Each invalid part of a request has its own error")
{
  RawCallerRequest raw = CorrectRequest();
  raw.m_path = "/etc";
  CHECK(CodeOf(raw) == ErrorCode::UnknownPath);
  raw = CorrectRequest();
  raw.m_path = "/v1/services/hall/x";
  CHECK(CodeOf(raw) == ErrorCode::UnknownService);
  raw = CorrectRequest();
  raw.m_authorization = "Bearer nobody";
  CHECK(CodeOf(raw) == ErrorCode::WrongKey);
  raw = CorrectRequest();
  raw.m_kind = "dance";
  CHECK(CodeOf(raw) == ErrorCode::UnknownKind);
  raw = CorrectRequest();
  raw.m_deadline_ms = "-3";
  CHECK(CodeOf(raw) == ErrorCode::BadRequest);
  raw = CorrectRequest();
  raw.m_identity = "x";
  CHECK(CodeOf(raw) == ErrorCode::BadIdentity);
  raw = CorrectRequest();
  raw.m_idempotency_key = "order";
  CHECK(CodeOf(raw) == ErrorCode::BadIdempotencyKey);
  raw = CorrectRequest();
  raw.m_last_event_id = "first";
  CHECK(CodeOf(raw) == ErrorCode::BadRequest);
  raw = CorrectRequest();
  raw.m_path = "/v1/chat/completions";
  raw.m_body = "{\"model\":";
  CHECK(CodeOf(raw) == ErrorCode::BadRequest);
  raw.m_body = R"({"model":"desk"})";
  CHECK(CodeOf(raw) == ErrorCode::UnknownService);
}

// Guards against a workspace that gains a higher priority through its choice of kind or tier.
TEST_CASE("A caller can't use a tier that its workspace does not have")
{
  RawCallerRequest raw = CorrectRequest();
  raw.m_authorization = "Bearer guest-key";
  CHECK(CodeOf(raw) == ErrorCode::TierNotAllowed);
  raw.m_kind = "look";
  raw.m_tier = "live";
  CHECK(CodeOf(raw) == ErrorCode::TierNotAllowed);
  raw.m_tier = "none";
  CHECK(CodeOf(raw) == ErrorCode::TierNotAllowed);
}

// Guards against a caller that retries a request after a false "not-run": an earlier request with
// the same identity may have run, although this one was refused.
TEST_CASE("Only a request that names no earlier one is reported as not run")
{
  const Documents documents;
  RawCallerRequest raw = CorrectRequest();
  raw.m_kind = "dance";
  auto checked = CheckCallerRequest(raw, documents.Lookup(), TimePoint{});
  CHECK(std::get<CallerError>(checked).m_outcome == Outcome::NotRun);
  raw.m_identity = "abc-0-x";
  checked = CheckCallerRequest(raw, documents.Lookup(), TimePoint{});
  CHECK(std::get<CallerError>(checked).m_outcome == Outcome::Unknown);
}

// Guards against a request that receives the response to a different one because both use the same
// identity.
TEST_CASE("Requests with different bodies have different digests")
{
  const Documents documents;
  RawCallerRequest raw = CorrectRequest();
  const auto first = CheckCallerRequest(raw, documents.Lookup(), TimePoint{});
  raw.m_body = "{ }";
  const auto second = CheckCallerRequest(raw, documents.Lookup(), TimePoint{});
  CHECK(std::get<CheckedCallerRequest>(first).m_dispatch_request.m_digest !=
        std::get<CheckedCallerRequest>(second).m_dispatch_request.m_digest);
}
