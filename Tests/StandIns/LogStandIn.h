#pragma once

#include <LibHttp/EventLoop.h>
#include <LibHttp/HttpServer.h>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace auburnhitch::standins {

/// An append-only log with offsets, limited retention and outages on command.
class LogStandIn
{
public:
  LogStandIn(EventLoop& aLoop, const SocketAddress& aAddress);

private:
  struct Record
  {
    std::int64_t m_offset;
    TimePoint m_appended_at;
    std::string m_data;
  };

  struct Stream
  {
    std::deque<Record> m_records;
    std::int64_t m_end = 0;
  };

  struct Reader
  {
    HttpExchangePtr m_exchange;
    std::string m_stream;
    std::int64_t m_from;
    TimePoint m_waits_until;
  };

  void OnRequest(const HttpExchangePtr& aExchange);
  void OnControl(HttpExchange& aExchange);
  void OnAppend(const HttpExchangePtr& aExchange, const std::string& aStream);
  void ReplyToRead(const Reader& aReader);
  void ReplyToDueReaders();
  void DropExpired();

  EventLoop& m_loop;
  std::map<std::string, Stream> m_streams;
  std::vector<Reader> m_readers;
  bool m_is_down = false;
  bool m_drops_append_responses = false;
  Milliseconds m_delay{ 0 };
  Milliseconds m_retention{ 0 };
  std::vector<std::unique_ptr<Timer>> m_delayed;
  std::unique_ptr<HttpServer> m_server;
  Timer m_tick;
};

}
