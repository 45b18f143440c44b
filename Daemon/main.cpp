#include "Daemon.h"
#include "GatewayDaemon.h"
#include "SettingsFile.h"

#include <CLI/CLI.hpp>
#include <LibCore/Log.h>
#include <LibCore/Try.h>
#include <LibHttp/BlockedSignals.h>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <iostream>
#include <malloc.h>
#include <memory>
#include <sstream>
#include <sys/resource.h>
#include <typeinfo>

namespace auburnhitch {

namespace {

// Environment variable with the path of the settings file, for when --settings is absent.
constexpr const char* kSettingsVariable = "AUBURNHITCH_BOOT";

absl::StatusOr<AnySettings>
LoadSettings(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    return absl::NotFoundError(aPath + ": the settings file cannot be opened");
  }
  std::stringstream text;
  text << file.rdbuf();
  Findings findings;
  const auto json = ParseJson(text.str(), findings);
  if (!json) {
    return findings.ToStatus(aPath);
  }
  auto settings = DecodeSettings(*json, findings);
  if (!settings) {
    return findings.ToStatus(aPath);
  }
  return *std::move(settings);
}

// Callers keep their connections open, so the process needs as many descriptors as it is allowed.
void
RaiseDescriptorLimit()
{
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
  }
}

// Large buffers get mappings of their own, which return to the system when they are freed. By
// default the threshold rises to the largest buffer ever freed, up to 32 MiB.
void
ReturnFreedMemory()
{
#ifdef __GLIBC__
  constexpr int kThresholdBytes = 128 << 10;
  mallopt(M_MMAP_THRESHOLD, kThresholdBytes);
  mallopt(M_TRIM_THRESHOLD, kThresholdBytes);
#endif
}

absl::Status
Run(const Settings& aSettings, const std::string&, std::unique_ptr<BlockedSignals> aBlocked)
{
  InitializeLogs(aSettings.m_log_level);
  EventLoop loop;
  TRY_ASSIGN(const auto daemon, Daemon::Create(loop, aSettings));
  const SignalWatcher terminate(loop, SIGTERM, [&] { daemon->BeginDrain(); });
  const SignalWatcher interrupt(loop, SIGINT, [&] { daemon->BeginDrain(); });
  aBlocked = nullptr;
  FlushLogs();
  loop.Run();
  return absl::OkStatus();
}

void
ReloadGateway(GatewayDaemon& aDaemon, const std::string& aPath)
{
  const auto settings = LoadSettings(aPath);
  if (!settings.ok() || !std::holds_alternative<GatewaySettings>(*settings)) {
    LogOf("daemon").warn("event=reload-refused why=\"{}\"",
                         settings.ok() ? "the settings file has no gateway object"
                                       : std::string(settings.status().message()));
    return;
  }
  aDaemon.Reload(std::get<GatewaySettings>(*settings));
}

/// Logs an exception that nothing caught before the process ends.
[[noreturn]] void
OnUncaughtException()
{
  try {
    if (const std::exception_ptr uncaught = std::current_exception()) {
      std::rethrow_exception(uncaught);
    }
    LogOf("daemon").critical("event=terminated why=\"no exception\"");
  } catch (const std::exception& exception) {
    LogOf("daemon").critical(
      "event=terminated type={} why=\"{}\"", typeid(exception).name(), exception.what());
  } catch (...) {
    LogOf("daemon").critical("event=terminated why=\"an exception of an unknown type\"");
  }
  FlushLogs();
  std::abort();
}

absl::Status
Run(const GatewaySettings& aSettings,
    const std::string& aPath,
    std::unique_ptr<BlockedSignals> aBlocked)
{
  InitializeLogs(aSettings.m_log_level);
  EventLoop loop;
  TRY_ASSIGN(const auto daemon, GatewayDaemon::Create(loop, aSettings));
  const SignalWatcher terminate(loop, SIGTERM, [&] { daemon->BeginStop(); });
  const SignalWatcher interrupt(loop, SIGINT, [&] { daemon->BeginStop(); });
  const SignalWatcher reload(loop, SIGHUP, [&] { ReloadGateway(*daemon, aPath); });
  aBlocked = nullptr;
  FlushLogs();
  loop.Run();
  return absl::OkStatus();
}

}

}

int
main(int aArgumentCount, char** aArguments)
{
  auto blocked = std::make_unique<auburnhitch::BlockedSignals>(
    std::initializer_list<int>{ SIGHUP, SIGTERM, SIGINT });
  CLI::App app("auburnhitchd: schedules requests of callers onto engines and services");
  std::string settings_path;
  bool only_check = false;
  app.add_option("--settings", settings_path, "The settings file, JSON")
    ->envname(auburnhitch::kSettingsVariable)
    ->required();
  app.add_flag("--check-settings", only_check, "Check the settings, report all findings and exit");
  CLI11_PARSE(app, aArgumentCount, aArguments);

  const auto settings = auburnhitch::LoadSettings(settings_path);
  if (!settings.ok()) {
    std::cerr << settings.status().message() << "\n";
    return 1;
  }
  if (only_check) {
    std::cout << settings_path << ": correct\n";
    return 0;
  }
  std::set_terminate(auburnhitch::OnUncaughtException);
  auburnhitch::RaiseDescriptorLimit();
  auburnhitch::ReturnFreedMemory();
  const absl::Status status = std::visit(
    [&](const auto& aKind) { return auburnhitch::Run(aKind, settings_path, std::move(blocked)); },
    *settings);
  auburnhitch::FlushLogs();
  if (!status.ok()) {
    std::cerr << status.message() << "\n";
    return 1;
  }
  return 0;
}
