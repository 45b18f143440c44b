#include <LibRelay/RelayExchange.h>

#include "RelayConnection.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <cstdlib>
#include <event2/http.h>

namespace auburnhitch {

const char*
ReasonPhrase(int aStatus)
{
  switch (aStatus) {
#define XX(number, name, text)                                                                     \
  case number:                                                                                     \
    return #text;
    HTTP_STATUS_MAP(XX)
#undef XX
    default:
      return "Unknown";
  }
}

RelayExchange::RelayExchange(RelayConnection* aConnection,
                             MessageHead aHead,
                             std::string aBody,
                             TimePoint aReceivedAt)
  : m_connection(aConnection)
  , m_head(std::move(aHead))
  , m_body(std::move(aBody))
  , m_received_at(aReceivedAt)
{
}

absl::string_view
RelayExchange::Path() const
{
  const absl::string_view target = m_head.m_target;
  return target.substr(0, target.find('?'));
}

std::string
RelayExchange::Query(absl::string_view aName) const
{
  absl::string_view target = m_head.m_target;
  const auto question = target.find('?');
  if (question == absl::string_view::npos) {
    return "";
  }
  target.remove_prefix(question + 1);
  while (!target.empty()) {
    const auto part = target.substr(0, target.find('&'));
    target.remove_prefix(std::min(target.size(), part.size() + 1));
    const auto equals = part.find('=');
    if (part.substr(0, equals) == aName && equals != absl::string_view::npos) {
      const std::string raw(part.substr(equals + 1));
      std::unique_ptr<char, decltype(&std::free)> decoded(evhttp_uridecode(raw.c_str(), 1, nullptr),
                                                          &std::free);
      return decoded ? decoded.get() : "";
    }
  }
  return "";
}

void
RelayExchange::Reply(int aStatus, HttpHeaders aHeaders, absl::string_view aBody)
{
  aHeaders.emplace_back("Content-Length", std::to_string(aBody.size()));
  Start(aStatus, aHeaders, BodyFraming::Length);
  Write(aBody);
  Finish();
}

void
RelayExchange::Start(int aStatus, const HttpHeaders& aHeaders, BodyFraming aFraming)
{
  if (m_connection == nullptr || m_has_started) {
    return;
  }
  m_has_started = true;
  const bool has_chunks = m_head.m_minor_version > 0;
  m_framing = aFraming == BodyFraming::Chunked && !has_chunks ? BodyFraming::UntilClose : aFraming;
  if (m_framing == BodyFraming::UntilClose) {
    m_connection->CloseAfterResponse();
  }
  std::string head = absl::StrCat("HTTP/1.1 ", aStatus, " ", ReasonPhrase(aStatus), "\r\n");
  for (const auto& [name, value] : aHeaders) {
    absl::StrAppend(&head, name, ": ", value, "\r\n");
  }
  if (m_framing == BodyFraming::Chunked) {
    absl::StrAppend(&head, "Transfer-Encoding: chunked\r\n");
  }
  if (m_connection->MustCloseAfterResponse()) {
    absl::StrAppend(&head, "Connection: close\r\n");
  }
  absl::StrAppend(&head, "\r\n");
  m_connection->Send(head);
}

void
RelayExchange::Write(absl::string_view aBytes)
{
  if (m_connection == nullptr || aBytes.empty()) {
    return;
  }
  m_connection->CountPending(0);
  if (m_framing != BodyFraming::Chunked) {
    m_connection->Send(aBytes);
    return;
  }
  m_connection->Send(
    absl::StrCat(absl::StrFormat("%x\r\n", aBytes.size()), aBytes, absl::string_view("\r\n")));
}

void
RelayExchange::Finish()
{
  if (m_connection == nullptr) {
    return;
  }
  if (m_framing == BodyFraming::Chunked) {
    m_connection->Send("0\r\n\r\n");
  }
  RelayConnection* connection = std::exchange(m_connection, nullptr);
  connection->OnResponseComplete();
}

void
RelayExchange::Abort()
{
  if (m_connection == nullptr) {
    return;
  }
  RelayConnection* connection = std::exchange(m_connection, nullptr);
  if (m_framing == BodyFraming::UntilClose) {
    connection->Reset();
    return;
  }
  connection->OnResponseAborted();
}

std::size_t
RelayExchange::UnsentBytes() const
{
  return m_connection == nullptr ? 0 : m_connection->UnsentBytes();
}

void
RelayExchange::CountPending(std::size_t aBytes) const
{
  if (m_connection != nullptr) {
    m_connection->CountPending(aBytes);
  }
}

}
