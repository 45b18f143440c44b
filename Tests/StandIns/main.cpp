#include "EngineStandIn.h"
#include "FaultProxy.h"
#include "HostListStandIn.h"
#include "LogStandIn.h"
#include "PlainStandIn.h"

#include <CLI/CLI.hpp>
#include <csignal>
#include <memory>

namespace {

using namespace auburnhitch;
using namespace auburnhitch::standins;

/// The values of the command line's options.
struct Options
{
  std::string m_address;
  std::string m_target;
  std::string m_control;
  std::int64_t m_decode_ms = 5;
  double m_prefill_bytes_per_ms = 200;
  std::int64_t m_delay_ms = 0;
};

}

int
main(int aArgumentCount, char** aArguments)
{
  CLI::App app(
    "Stand-ins for the services and endpoints around the daemons; for demos and tests only");
  Options options;
  app.require_subcommand(1);
  const auto add = [&](const char* aName, const char* aHelp) {
    CLI::App* command = app.add_subcommand(aName, aHelp);
    command->add_option("--address", options.m_address, "IP:PORT to serve")->required();
    return command;
  };
  CLI::App* log = add("log", "The platform's log service");
  CLI::App* hosts = add("hosts", "The platform's host list");
  CLI::App* plain = add("plain", "A plain service");
  plain->add_option("--delay-ms", options.m_delay_ms, "Delay of each response, in ms");
  CLI::App* engine = add("engine", "A model engine");
  engine->add_option(
    "--decode-ms", options.m_decode_ms, "Time of a decode step of one token per request, in ms");
  engine->add_option(
    "--prefill-bytes-per-ms", options.m_prefill_bytes_per_ms, "Prompt bytes processed per ms");
  CLI::App* proxy = add("proxy", "A fault-injecting proxy");
  proxy->add_option("--target", options.m_target, "IP:PORT to forward connections to")->required();
  proxy->add_option("--control", options.m_control, "IP:PORT for commands")->required();
  CLI11_PARSE(app, aArgumentCount, aArguments);

  EventLoop loop;
  const SocketAddress address(options.m_address);
  std::shared_ptr<void> running;
  if (log->parsed()) {
    running = std::make_shared<LogStandIn>(loop, address);
  } else if (hosts->parsed()) {
    running = std::make_shared<HostListStandIn>(loop, address);
  } else if (plain->parsed()) {
    running = std::make_shared<PlainStandIn>(loop, address, Milliseconds(options.m_delay_ms));
  } else if (engine->parsed()) {
    EngineSpeed speed;
    speed.m_decode = Milliseconds(options.m_decode_ms);
    speed.m_prefill_bytes_per_ms = options.m_prefill_bytes_per_ms;
    running = std::make_shared<EngineStandIn>(loop, address, speed);
  } else {
    running = std::make_shared<FaultProxy>(
      loop, address, SocketAddress(options.m_target), SocketAddress(options.m_control));
  }
  const SignalWatcher terminate(loop, SIGTERM, [&] { loop.Stop(); });
  loop.Run();
  return 0;
}
