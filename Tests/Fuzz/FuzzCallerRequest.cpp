#include "../Unit/TestDocuments.h"

#include <LibDispatch/EventStreamParser.h>
#include <LibIntake/CallerRequest.h>
#include <absl/strings/str_split.h>

using namespace auburnhitch;

namespace {

const DocumentFold&
Documents()
{
  static const DocumentFold s_fold = [] {
    DocumentFold fold;
    Findings findings;
    fold.Apply(0, tests::PublicationRecord("a", "desk", 0, 1), findings);
    Json model = tests::DocumentOf("model");
    model["type"] = "engine";
    fold.Apply(1, Publication{ "b", ServiceName("model"), 0, model }.ToJson().dump(), findings);
    return fold;
  }();
  return s_fold;
}

}

/// Checks a caller's request whose path and eight header fields are the first nine lines of the
/// input, and whose body is the rest. Also parses the whole input as an event stream.
extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const std::string text(reinterpret_cast<const char*>(aData), aSize);
  const std::vector<std::string> lines = absl::StrSplit(text, absl::MaxSplits('\n', 9));
  RawCallerRequest raw;
  std::string* const parts[] = { &raw.m_path,        &raw.m_authorization,   &raw.m_identity,
                                 &raw.m_kind,        &raw.m_idempotency_key, &raw.m_tier,
                                 &raw.m_deadline_ms, &raw.m_last_event_id,   &raw.m_resume_token,
                                 &raw.m_body };
  for (std::size_t index = 0; index < lines.size() && index < std::size(parts); ++index) {
    *parts[index] = lines[index];
  }
  raw.m_method = "POST";
  const auto checked = CheckCallerRequest(
    raw, [](const ServiceName& aService) { return Documents().Find(aService); }, TimePoint{});
  if (const auto* error = std::get_if<CallerError>(&checked)) {
    (void)error->ToJson();
  }
  EventStreamParser().Feed(text, [](const StreamEvent&) {});
  return 0;
}
