#pragma once

#include <cstdint>
#include <spdlog/spdlog.h>
#include <string>

namespace auburnhitch {

/// The logger of a component, whose name is part of each of its lines. Created on first use; writes
/// to standard output.
spdlog::logger&
LogOf(const char* aComponent);

/// Sets the level of all loggers. Call once, before the first line is written. aLevel is one of
/// spdlog's level names.
void
InitializeLogs(const std::string& aLevel);

/// Number of lines dropped because the reader of standard output did not keep up. Lines of level
/// warning and above are dropped last.
std::uint64_t
DroppedLogLines();

/// Writes out buffered lines. Lines of level warning and above are flushed at once.
void
FlushLogs();

}
