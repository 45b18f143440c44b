#pragma once

#include <LibHttp/HttpMessage.h>
#include <absl/strings/string_view.h>
#include <cstddef>
#include <cstdint>
#include <http_parser.h>
#include <optional>
#include <string>

namespace auburnhitch {

/// How the end of a message's body is marked.
enum class BodyFraming
{
  /// The message has no body. A length in its head is that of another message.
  None,
  Length,
  Chunked,
  /// A response without a length: its body ends when the connection closes.
  UntilClose,
};

/// The name of a framing, for logs and metrics.
const char*
NameOf(BodyFraming aFraming);

/// Start line and header fields of one message.
struct MessageHead
{
  std::string m_method;
  std::string m_target;
  int m_status = 0;
  /// The minor version of the sender: 0 if it speaks HTTP/1.0, which has no chunks.
  int m_minor_version = 1;
  HttpHeaders m_headers;
  BodyFraming m_framing = BodyFraming::None;
  /// Whether the connection can be used for a further message.
  bool m_keeps_alive = false;
};

/// Parses one HTTP/1.1 message at a time, strictly: a message whose framing is ambiguous is
/// malformed. It buffers the body until TakeBody() is called and runs no callbacks. Not
/// thread-safe.
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

  /// Tells the parser that the response is to a HEAD request and has no body, whatever its head
  /// states. Precondition: no byte has been fed.
  void ExpectNoBody() { m_expects_no_body = true; }
  /// Parses at most one message. Returns how many of the bytes belong to it; the remaining bytes
  /// are not examined.
  std::size_t Feed(absl::string_view aBytes);
  /// Tells the parser that the connection has closed, which completes a body without a length.
  void FeedEnd();
  /// Prepares for the next message. Precondition: the current one is complete.
  void Restart();
  /// Frees what has been parsed of the current message. The parser accepts no more bytes: its state
  /// is Malformed from then on.
  void Abandon();

  Progress State() const { return m_progress; }
  /// Whether any byte of the current message has been parsed.
  bool HasBegun() const { return m_has_begun; }
  bool HasHead() const { return m_has_head; }
  /// Precondition: HasHead().
  const MessageHead& Head() const { return m_head; }
  /// Memory that the start line and the fields take. Short names and values lie inside the strings.
  std::size_t HeadMemoryBytes() const
  {
    return m_head.m_headers.capacity() * sizeof(HttpHeaders::value_type) + m_head_bytes;
  }
  /// The length of the body as the head states it; nothing with another framing or before the end
  /// of the head.
  std::optional<std::uint64_t> DeclaredBodyBytes() const { return m_declared_body_bytes; }
  /// Returns the body bytes that have been parsed since the last call.
  std::string TakeBody();
  std::size_t PendingBodyBytes() const { return m_body.size(); }
  /// Why the message is malformed or its head too large, for logs.
  std::string ErrorDescription() const;

private:
  struct Callbacks;

  void AddHeaderBytes(std::size_t aCount);

  Kind m_kind;
  std::size_t m_max_head_bytes;
  http_parser m_parser{};
  MessageHead m_head;
  std::string m_body;
  const char* m_head_error = nullptr;
  std::size_t m_head_bytes = 0;
  std::optional<std::uint64_t> m_declared_body_bytes;
  bool m_expects_no_body = false;
  bool m_was_value_last = true;
  bool m_has_begun = false;
  bool m_has_head = false;
  Progress m_progress = Progress::NeedMore;
};

}
