#include "Soak.h"

#include <doctest.h>

using namespace auburnhitch::tests;

namespace {

/// A seed of the soak that runs in CI.
struct SoakCase
{
  unsigned m_seed;
  /// What it once found; null for one that is only there to run.
  const char* m_cause;
};

constexpr SoakCase kCases[]{ { 1, nullptr } };

}

TEST_CASE("Soak: faults in series that overlap break none of the promises")
{
  for (const SoakCase& entry : kCases) {
    SoakOptions options;
    options.m_seed = entry.m_seed;
    options.m_length = std::chrono::milliseconds(6'000);
    const SoakResult result = RunSoak(options);
    std::string text = result.m_summary;
    for (const auto* lines : { &result.m_violations, &result.m_faults }) {
      for (const std::string& line : *lines) {
        text += "\n  " + line;
      }
    }
    INFO("seed ", entry.m_seed, ": ", text);
    CHECK(result.m_violations.empty());
    CHECK(result.m_served > 0);
  }
}
