#pragma once

#include <LibHttp/HttpMessage.h>
#include <absl/strings/string_view.h>
#include <cstddef>
#include <http_parser.h>
#include <string>

namespace auburnhitch {

/// How the end of a message's body is told.
enum class BodyFraming
{
  None,
  Length,
  Chunked,
  /// A response without a length: it ends with its connection.
  UntilClose,
};

/// Start line and header fields of one message.
struct MessageHead
{
  std::string m_method;
  std::string m_target;
  int m_status = 0;
  HttpHeaders m_headers;
  BodyFraming m_framing = BodyFraming::None;
  /// Whether the connection may carry a further message.
  bool m_keeps_alive = false;
};

/// Reads one HTTP/1.1 message at a time, strictly: a message whose framing is ambiguous is
/// malformed. It keeps what it has read until it is taken and calls nobody. Not thread-safe.
class MessageParser
{
public:
  enum class Kind
  {
    Request,
    Response,
  };
  enum class Progress
  {
    NeedMore,
    Complete,
    Malformed,
    HeadTooLarge,
  };

  MessageParser(Kind aKind, std::size_t aMaxHeadBytes);
  MessageParser(const MessageParser&) = delete;
  MessageParser& operator=(const MessageParser&) = delete;

  /// Reads at most one message. Returns how many bytes belong to it; the rest is not looked at.
  std::size_t Feed(absl::string_view aBytes);
  /// Tells that the connection has ended.
  void FeedEnd();
  /// Prepares for the next message. Precondition: the present one is complete.
  void Restart();

  Progress State() const { return m_progress; }
  /// Whether any byte of a message has been read.
  bool HasBegun() const { return m_has_begun; }
  bool HasHead() const { return m_has_head; }
  /// Precondition: HasHead().
  const MessageHead& Head() const { return m_head; }
  /// Body bytes read since the last call.
  std::string TakeBody();
  std::size_t PendingBodyBytes() const { return m_body.size(); }
  /// Why the message is malformed.
  std::string ErrorDescription() const;

private:
  struct Callbacks;

  void AddHeaderBytes(std::size_t aCount);

  Kind m_kind;
  std::size_t m_max_head_bytes;
  http_parser m_parser{};
  MessageHead m_head;
  std::string m_body;
  std::size_t m_head_bytes = 0;
  bool m_was_value_last = true;
  bool m_has_begun = false;
  bool m_has_head = false;
  Progress m_progress = Progress::NeedMore;
};

}
