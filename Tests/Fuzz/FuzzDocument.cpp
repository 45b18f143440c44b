#include <LibClaims/ClaimTable.h>
#include <LibDocument/DocumentFold.h>
#include <cstdlib>

using namespace auburnhitch;

/// Parses the input as a service document, as a record of the document stream and as a record of
/// the claim stream. Aborts if a document is rejected without a finding or accepted with one.
extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const absl::string_view text(reinterpret_cast<const char*>(aData), aSize);
  Findings findings;
  if (const auto json = ParseJson(text, findings)) {
    const auto document = CheckServiceDocument(*json, findings);
    if ((document == nullptr) != !findings.IsEmpty()) {
      std::abort();
    }
  }
  DocumentFold fold;
  fold.Apply(0, text, findings);
  ClaimTable claims;
  claims.Apply(0, text, findings);
  return 0;
}
