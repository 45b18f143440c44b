#pragma once

#include <chrono>
#include <string>
#include <vector>

namespace auburnhitch::tests {

struct SoakOptions
{
  unsigned m_seed = 1;
  std::chrono::milliseconds m_length{ 10'000 };
  std::size_t m_daemons = 4;
  std::size_t m_endpoints = 5;
  std::size_t m_callers = 12;
  /// Whether the paths between daemons are cut.
  bool m_cuts_paths = true;
  /// Whether endpoints ask for rest.
  bool m_has_rests = true;
  /// Whether a request that crashes endpoints comes again and again, with two seeds of three.
  bool m_repeats_crashes = true;
  /// Whether another writer leaves odd entries among the registrations, and endpoints write earlier
  /// refusals once more on connections that they keep.
  bool m_has_odd_bytes = true;
  /// Whether all daemons are killed at once.
  bool m_kills_all = true;
  /// Whether daemons are cut off from all endpoints, with every second seed. Endpoints then have an
  /// address for each daemon, so that they see which one has sent a request.
  bool m_cuts_endpoints = true;
  /// Whether connections of such a daemon are established all the same at times.
  bool m_has_accepting_cuts = true;
  /// Whether endpoints write spurious responses to some of the requests that they have run.
  bool m_has_spurious_responses = false;
  /// Whether endpoints keep quiet at times before a response and between the events of a stream.
  bool m_has_quiet_endpoints = false;
  /// Whether endpoints and the paths to them have no faults, and no daemon is killed or stopped.
  /// Responses that end incomplete before the deadline of their requests are violations then.
  bool m_has_sound_endpoints = false;
  /// Directory to which the daemons' logs are written when there are violations. Empty: no logs are
  /// written.
  std::string m_log_directory;
};

struct SoakResult
{
  std::vector<std::string> m_violations;
  /// The faults in the order in which they were injected, with their time since the start in
  /// milliseconds.
  std::vector<std::string> m_faults;
  /// Number of complete responses with status 200.
  int m_served = 0;
  /// The number of faults, and of responses by status, as text.
  std::string m_summary;
};

/// Runs real daemons as processes, with endpoints and a store that misbehave and callers that send
/// requests all the time, and injects overlapping faults from outside. Checks during the run and at
/// its end that:
/// - no request that is not idempotent was executed twice;
/// - no request was executed whose response says that it was not;
/// - responses are correct, and belong to the caller's own request;
/// - no endpoint received further requests after it had said that it leaves;
/// - no endpoint that asked a daemon for rest received more than two requests from it meanwhile;
/// - few requests with a part that crashes endpoints reach them after the fifth crash, and few
///   repeats of one that crashes them after the third;
/// - no daemon exited by itself, and each daemon that was stopped exited with status 0 in time;
/// - each daemon serves all kinds of requests again once the faults are over.
/// The seed determines which faults are injected and when; the timing of the processes differs from
/// run to run.
SoakResult
RunSoak(const SoakOptions& aOptions);

}
