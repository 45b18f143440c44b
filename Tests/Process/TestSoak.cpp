#include "Soak.h"

#include <doctest.h>

using namespace auburnhitch::tests;

namespace {

/// A seed that CI runs.
struct SoakCase
{
  unsigned m_seed;
  /// The violation that this seed once found; null if it has found none.
  const char* m_violation_found;
  /// See SoakOptions. Seeds from before paths were cut run without.
  bool m_cuts_paths = false;
  /// See SoakOptions. Seeds from before endpoints asked for rest run without.
  bool m_has_rests = false;
  /// The same for requests that crash endpoints.
  bool m_repeats_crashes = false;
  /// The same for odd entries and repeated refusals.
  bool m_has_odd_bytes = false;
  /// The same for kills of all daemons.
  bool m_kills_all = false;
  /// The same for daemons that are cut off from all endpoints.
  bool m_cuts_endpoints = false;
};

constexpr SoakCase kCases[]{
  { 1, nullptr },
  { 6001, nullptr },
  { 6002, nullptr },
  { 8013,
    "28 requests in 4 s to an endpoint that states 3.7 a second: the soak "
    "registered an endpoint under an incarnation that had ended" },
  { 31002,
    "6 requests after the fifth crash under one prompt part: a connection that broke at the same "
    "endpoint up to 2 s before hid the crash" },
  { 31108, "7 requests after the fifth crash, as seed 31002" },
  { 34001, nullptr, true },
  { 34002, nullptr, true },
  { 41001, nullptr, true, true },
  { 42001, nullptr, true, true, true },
  { 42002, nullptr, true, true, true },
  { 51001, nullptr, true, true, true, true, true },
  { 61001, nullptr, true, true, true, true, true, true },
  { 43006,
    "two daemons serve no unsafe requests after the faults: a popular request was refused after "
    "three crashes in a row, though it had been served before",
    true,
    true,
    true },
  { 44008,
    "two daemons serve no stream requests after the faults: a new coordinator did not know that a "
    "popular request had been served, and refused it",
    true,
    true,
    true }
};

/// Runs a seed for 8 s.
void
CheckSoak(SoakOptions aOptions)
{
  aOptions.m_length = std::chrono::milliseconds(8'000);
  const SoakResult result = RunSoak(aOptions);
  std::string text = result.m_summary;
  for (const auto* lines : { &result.m_violations, &result.m_faults }) {
    for (const std::string& line : *lines) {
      text += "\n  " + line;
    }
  }
  INFO("seed ", aOptions.m_seed, ": ", text);
  CHECK(result.m_violations.empty());
  CHECK(result.m_served > 0);
}

}

TEST_CASE("Soak: spurious responses beside other faults violate no guarantee")
{
  SoakOptions options;
  options.m_seed = 63'001;
  options.m_repeats_crashes = false;
  options.m_has_spurious_responses = true;
  CheckSoak(options);
}

TEST_CASE("Soak: streams of sound endpoints that are quiet at times arrive whole")
{
  SoakOptions options;
  options.m_seed = 68'002;
  options.m_has_quiet_endpoints = true;
  options.m_has_sound_endpoints = true;
  CheckSoak(options);
}

TEST_CASE("Soak: overlapping faults in series violate no guarantee")
{
  for (const SoakCase& entry : kCases) {
    SoakOptions options;
    options.m_seed = entry.m_seed;
    options.m_cuts_paths = entry.m_cuts_paths;
    options.m_has_rests = entry.m_has_rests;
    options.m_repeats_crashes = entry.m_repeats_crashes;
    options.m_has_odd_bytes = entry.m_has_odd_bytes;
    options.m_kills_all = entry.m_kills_all;
    options.m_cuts_endpoints = entry.m_cuts_endpoints;
    CheckSoak(options);
  }
}
