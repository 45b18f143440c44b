#include "Commands.h"

#include <CLI/CLI.hpp>
#include <functional>
#include <string>
#include <vector>

using namespace auburnhitch;

int
main(int aArgumentCount, char** aArguments)
{
  CLI::App app("auburnhitch: checks, publishes and explains service documents");
  app.footer("Exit status: 0 done, 1 wrong input, findings or refused, "
             "2 wrong command line or unreadable file, "
             "3 not known yet, 4 no daemon responded.");
  app.require_subcommand(1);
  std::vector<std::string> operators;
  std::string argument;
  std::int64_t base = -1;
  std::int64_t timeout_ms = 10'000;
  bool json = false;
  bool wait = false;
  app.add_option("--operators", operators, "Operators' addresses of the daemons, IP:PORT")
    ->delimiter(',');
  app.add_option("--timeout-ms",
                 timeout_ms,
                 "Maximum time to wait for a verdict, and with --wait for the daemons, in ms");
  app.add_flag("--json", json, "Print JSON");

  std::function<ExitCode(Commands&)> chosen;
  const auto add = [&](const char* aName, const char* aHelp, const char* aArgument, auto aAction) {
    CLI::App* command = app.add_subcommand(aName, aHelp);
    command->fallthrough();
    if (aArgument != nullptr) {
      command->add_option(aArgument, argument, "")->required();
    }
    command->callback([&chosen, aAction] { chosen = aAction; });
    return command;
  };
  FileCheckOptions check_options;
  CLI::App* check = add("check",
                        "Check a document, a configuration or a settings file; report all findings",
                        "file",
                        [&](Commands& aCommands) {
                          check_options.m_path = argument;
                          return aCommands.Check(check_options);
                        });
  check->add_option(
    "--against", check_options.m_against, "The configuration in force, to compare with");
  check->add_option(
    "--settings", check_options.m_settings, "The settings of a gateway that serves by it");
  CLI::App* publish =
    add("publish", "Publish the first document of a service", "file", [&](Commands& aCommands) {
      return aCommands.Publish(argument, base < 0 ? 0 : base, wait);
    });
  CLI::App* revise =
    add("revise", "Publish on top of the revision in force", "file", [&](Commands& aCommands) {
      return aCommands.Publish(argument, base < 0 ? std::nullopt : std::optional(base), wait);
    });
  for (CLI::App* command : { publish, revise }) {
    command->add_option("--base", base, "The revision on which the document builds");
    command->add_flag(
      "--wait", wait, "Wait until every given daemon has the new revision in force");
  }
  add("publication", "Show the verdict on a publication", "id", [&](Commands& aCommands) {
    return aCommands.Publication(argument);
  });
  add("show", "Show the document in force", "service", [&](Commands& aCommands) {
    return aCommands.Show(argument);
  });
  add("diff", "Compare a document with the one in force", "file", [&](Commands& aCommands) {
    return aCommands.Diff(argument);
  });
  add("status",
      "Show the state, documents and peers of each daemon",
      nullptr,
      [](Commands& aCommands) { return aCommands.Status(); });
  add("explain", "Show the decisions about a request", "identity", [&](Commands& aCommands) {
    return aCommands.Explain(argument);
  });
  add("drain", "Let one daemon finish its work and stop", nullptr, [](Commands& aCommands) {
    return aCommands.Drain();
  });
  add("rollouts",
      "Show the rollouts that operators have ordered, from the platform's store, IP:PORT",
      "store",
      [&](Commands& aCommands) { return aCommands.Rollouts(argument); });
  try {
    app.parse(aArgumentCount, aArguments);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : static_cast<int>(ExitCode::Usage);
  }

  CommandOptions options;
  options.m_json = json;
  options.m_timeout = Milliseconds(timeout_ms);
  for (const std::string& address : operators) {
    options.m_operators.emplace_back(address);
  }
  Commands commands(std::move(options));
  return static_cast<int>(chosen(commands));
}
