#pragma once

#include <cstdint>
#include <spdlog/spdlog.h>
#include <string>

namespace auburnhitch {

/// The logger of one part; its prefix stands at the start of each of its lines.
/// Creates it on first use, on standard output.
spdlog::logger&
LogOf(const char* aComponent);

/// Sets level and line format of all parts. Call once, before the first line is written.
/// aLevel is one of spdlog's level names.
void
InitializeLogs(const std::string& aLevel);

/// Lines that were dropped because the reader of standard output did not keep up.
std::uint64_t
DroppedLogLines();

/// Writes out buffered lines. Lines of level warning and above are written at once.
void
FlushLogs();

}
