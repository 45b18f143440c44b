#include "Soak.h"

#include <CLI/CLI.hpp>
#include <iostream>

/// Runs the soak with many seeds; ends with 1 when any of them found something.
int
main(int aArgumentCount, char** aArguments)
{
  CLI::App app("Injects faults into real daemons and checks what callers and endpoints see");
  auburnhitch::tests::SoakOptions options;
  unsigned seeds = 1;
  int seconds = 10;
  bool shows_faults = false;
  app.add_option("--seed", options.m_seed, "The first seed");
  app.add_option("--seeds", seeds, "How many seeds, one after the other");
  app.add_option("--seconds", seconds, "How long faults come with each seed");
  app.add_option("--daemons", options.m_daemons, "Daemons");
  app.add_option("--endpoints", options.m_endpoints, "Endpoints");
  app.add_option("--callers", options.m_callers, "Callers");
  app.add_option(
    "--keep-logs", options.m_log_directory, "Folder for the logs of seeds that failed");
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
