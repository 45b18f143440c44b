#include <LibCore/Log.h>

#include <algorithm>
#include <cerrno>
#include <climits>
#include <memory>
#include <poll.h>
#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>
#include <string>
#include <unistd.h>

namespace auburnhitch {

namespace {

// While the reader of standard output is stopped, at most this much is buffered; further lines are
// dropped.
constexpr std::size_t kMaxBufferedBytes = 256 << 10;
// Warnings have this much more room.
constexpr std::size_t kWarningBytes = 64 << 10;
// Lines are written in batches of about this size, or when they are flushed.
constexpr std::size_t kWriteBytes = 16 << 10;

/// Writes lines to standard output without ever blocking on its reader. Lines that do not fit into
/// the buffer are counted and dropped. Not thread-safe.
class StandardOutputSink : public spdlog::sinks::base_sink<spdlog::details::null_mutex>
{
public:
  std::uint64_t DroppedLines() const { return m_dropped; }

protected:
  void sink_it_(const spdlog::details::log_msg& aMessage) override
  {
    spdlog::memory_buf_t line;
    formatter_->format(aMessage, line);
    const bool is_warning = aMessage.level >= spdlog::level::warn;
    const std::size_t room = kMaxBufferedBytes + (is_warning ? kWarningBytes : 0);
    if (m_buffer.size() + line.size() > room) {
      ++m_dropped;
      return;
    }
    m_buffer.append(line.data(), line.size());
    if (m_buffer.size() >= kWriteBytes) {
      flush_();
    }
  }

  void flush_() override
  {
    std::size_t written = 0;
    while (written < m_buffer.size()) {
      // A pipe that polls as writable accepts PIPE_BUF bytes without blocking.
      const std::size_t chunk_size = std::min<std::size_t>(m_buffer.size() - written, PIPE_BUF);
      pollfd output{ STDOUT_FILENO, POLLOUT, 0 };
      if (poll(&output, 1, 0) != 1 || (output.revents & POLLOUT) == 0) {
        break;
      }
      const ssize_t size = write(STDOUT_FILENO, m_buffer.data() + written, chunk_size);
      if (size < 0 && errno != EINTR) {
        break;
      }
      written += size < 0 ? 0 : static_cast<std::size_t>(size);
    }
    m_buffer.erase(0, written);
  }

private:
  std::string m_buffer;
  std::uint64_t m_dropped = 0;
};

std::shared_ptr<StandardOutputSink>
SharedSink()
{
  static auto s_sink = std::make_shared<StandardOutputSink>();
  return s_sink;
}

}

spdlog::logger&
LogOf(const char* aComponent)
{
  if (auto logger = spdlog::get(aComponent)) {
    return *logger;
  }
  auto logger = std::make_shared<spdlog::logger>(aComponent, SharedSink());
  logger->set_level(spdlog::get_level());
  logger->flush_on(spdlog::level::warn);
  logger->set_pattern("%Y-%m-%dT%H:%M:%S.%eZ %l %n: %v", spdlog::pattern_time_type::utc);
  spdlog::register_logger(logger);
  return *logger;
}

void
InitializeLogs(const std::string& aLevel)
{
  spdlog::set_level(spdlog::level::from_str(aLevel));
}

std::uint64_t
DroppedLogLines()
{
  return SharedSink()->DroppedLines();
}

void
FlushLogs()
{
  SharedSink()->flush();
}

}
