#include "Soak.h"

#include <CLI/CLI.hpp>
#include <iostream>

/// Runs the soak test with one or more seeds. Exits with status 1 if there were violations.
int
main(int aArgumentCount, char** aArguments)
{
  CLI::App app("Injects faults into real daemons and checks what callers and endpoints see");
  auburnhitch::tests::SoakOptions options;
  unsigned seeds = 1;
  int seconds = 10;
  bool shows_faults = false;
  app.add_option("--seed", options.m_seed, "First seed");
  app.add_option("--seeds", seeds, "Number of seeds, run one after the other");
  app.add_option("--seconds", seconds, "Seconds for which faults are injected with each seed");
  app.add_option("--daemons", options.m_daemons, "Number of daemons");
  app.add_option("--endpoints", options.m_endpoints, "Number of endpoints");
  app.add_option("--callers", options.m_callers, "Number of callers");
  app.add_option(
    "--keep-logs", options.m_log_directory, "Directory for the daemons' logs of seeds that failed");
  app.add_flag("--cut-paths,!--no-cut-paths",
               options.m_cuts_paths,
               "Cut paths between daemons (default: yes)");
  app.add_flag("--rests,!--no-rests",
               options.m_has_rests,
               "Let endpoints ask daemons for rest (default: yes)");
  app.add_flag("--repeated-crashes,!--no-repeated-crashes",
               options.m_repeats_crashes,
               "Send a request that crashes endpoints again and again (default: yes)");
  app.add_flag("--odd-bytes,!--no-odd-bytes",
               options.m_has_odd_bytes,
               "Leave odd entries among the registrations, and repeat refusals (default: yes)");
  app.add_flag(
    "--kill-all,!--no-kill-all", options.m_kills_all, "Kill all daemons at once (default: yes)");
  app.add_flag("--cut-endpoints,!--no-cut-endpoints",
               options.m_cuts_endpoints,
               "Cut daemons off from all endpoints (default: yes)");
  app.add_flag("--accepting-cuts,!--no-accepting-cuts",
               options.m_has_accepting_cuts,
               "Let connections of such daemons be accepted at times (default: yes)");
  app.add_flag("--spurious-responses",
               options.m_has_spurious_responses,
               "Let endpoints write spurious responses (default: no)");
  app.add_flag("--quiet-endpoints",
               options.m_has_quiet_endpoints,
               "Let endpoints keep quiet before and within responses (default: no)");
  app.add_flag("--sound-endpoints",
               options.m_has_sound_endpoints,
               "Inject no faults of endpoints, and none that end daemons (default: no)");
  app.add_flag("--faults", shows_faults, "Print the faults of each seed");
  CLI11_PARSE(app, aArgumentCount, aArguments);
  options.m_length = std::chrono::seconds(seconds);
  unsigned failed = 0;
  for (unsigned i = 0; i < seeds; ++i, ++options.m_seed) {
    const auto result = auburnhitch::tests::RunSoak(options);
    std::cout << "seed " << options.m_seed << ": " << result.m_summary << "; "
              << result.m_violations.size() << " violations" << std::endl;
    for (const std::string& violation : result.m_violations) {
      std::cout << "  " << violation << "\n";
    }
    for (const std::string& fault : result.m_faults) {
      if (shows_faults || !result.m_violations.empty()) {
        std::cout << "    " << fault << "\n";
      }
    }
    failed += result.m_violations.empty() ? 0 : 1;
  }
  std::cout << seeds - failed << " seeds passed, " << failed << " failed" << std::endl;
  return failed == 0 ? 0 : 1;
}
