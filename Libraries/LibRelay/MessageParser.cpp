#include <LibRelay/MessageParser.h>

#include <utility>

namespace auburnhitch {

const char*
NameOf(BodyFraming aFraming)
{
  switch (aFraming) {
    case BodyFraming::None:
      return "none";
    case BodyFraming::Length:
      return "length";
    case BodyFraming::Chunked:
      return "chunked";
    case BodyFraming::UntilClose:
      return "until-close";
  }
  return "unknown";
}

/// Callbacks for http_parser. The parser's data pointer is the MessageParser.
struct MessageParser::Callbacks
{
  static MessageParser& Self(http_parser* aParser)
  {
    return *static_cast<MessageParser*>(aParser->data);
  }

  static int OnUrl(http_parser* aParser, const char* aAt, std::size_t aLength)
  {
    Self(aParser).m_head.m_target.append(aAt, aLength);
    Self(aParser).AddHeaderBytes(aLength);
    return 0;
  }

  static int OnField(http_parser* aParser, const char* aAt, std::size_t aLength)
  {
    MessageParser& self = Self(aParser);
    self.AddHeaderBytes(aLength);
    if (self.m_has_head) {
      // Trailer fields are not forwarded.
      return 0;
    }
    if (self.m_was_value_last) {
      self.m_head.m_headers.emplace_back();
      self.m_was_value_last = false;
    }
    self.m_head.m_headers.back().first.append(aAt, aLength);
    return 0;
  }

  static int OnValue(http_parser* aParser, const char* aAt, std::size_t aLength)
  {
    MessageParser& self = Self(aParser);
    self.AddHeaderBytes(aLength);
    if (self.m_has_head) {
      return 0;
    }
    self.m_was_value_last = true;
    if (!self.m_head.m_headers.empty()) {
      self.m_head.m_headers.back().second.append(aAt, aLength);
    }
    return 0;
  }

  static int OnHead(http_parser* aParser)
  {
    MessageParser& self = Self(aParser);
    MessageHead& head = self.m_head;
    // The packaged library accepts any status below 1000, spaces in header names, and codings that
    // nobody decodes.
    if (aParser->http_major != 1) {
      self.m_head_error = "the protocol version is not HTTP/1";
    } else if (self.m_kind == Kind::Response &&
               !IsValidStatus(static_cast<int>(aParser->status_code))) {
      self.m_head_error = "the status is not between 100 and 599";
    } else {
      self.m_head_error = FindFramingError(head.m_headers);
    }
    if (self.m_head_error != nullptr) {
      constexpr int kError = -1;
      return kError;
    }
    self.m_has_head = true;
    head.m_status = aParser->status_code;
    head.m_minor_version = aParser->http_minor;
    head.m_keeps_alive = http_should_keep_alive(aParser) != 0;
    if (self.m_kind == Kind::Request) {
      head.m_method = http_method_str(static_cast<http_method>(aParser->method));
    }
    if (self.m_kind == Kind::Response && (self.m_expects_no_body || NeverHasBody(head.m_status))) {
      constexpr int kSkipBody = 1;
      return kSkipBody;
    }
    if ((aParser->flags & F_CHUNKED) != 0) {
      head.m_framing = BodyFraming::Chunked;
    } else if ((aParser->flags & F_CONTENTLENGTH) != 0) {
      head.m_framing = BodyFraming::Length;
      self.m_declared_body_bytes = aParser->content_length;
    } else if (self.m_kind == Kind::Response) {
      head.m_framing = BodyFraming::UntilClose;
    }
    return 0;
  }

  static bool NeverHasBody(int aStatus)
  {
    constexpr int kFirstFinalStatus = 200;
    constexpr int kNoContent = 204;
    constexpr int kNotModified = 304;
    return aStatus < kFirstFinalStatus || aStatus == kNoContent || aStatus == kNotModified;
  }

  static int OnBody(http_parser* aParser, const char* aAt, std::size_t aLength)
  {
    Self(aParser).m_body.append(aAt, aLength);
    return 0;
  }

  static int OnComplete(http_parser* aParser)
  {
    Self(aParser).m_progress = Progress::Complete;
    http_parser_pause(aParser, 1);
    return 0;
  }

  static const http_parser_settings& Settings()
  {
    static const http_parser_settings s_settings = [] {
      http_parser_settings settings;
      http_parser_settings_init(&settings);
      settings.on_url = OnUrl;
      settings.on_header_field = OnField;
      settings.on_header_value = OnValue;
      settings.on_headers_complete = OnHead;
      settings.on_body = OnBody;
      settings.on_message_complete = OnComplete;
      return settings;
    }();
    return s_settings;
  }
};

MessageParser::MessageParser(Kind aKind, std::size_t aMaxHeadBytes)
  : m_kind(aKind)
  , m_max_head_bytes(aMaxHeadBytes)
{
  http_parser_init(&m_parser, aKind == Kind::Request ? HTTP_REQUEST : HTTP_RESPONSE);
  m_parser.data = this;
}

void
MessageParser::AddHeaderBytes(std::size_t aCount)
{
  m_head_bytes += aCount;
}

std::size_t
MessageParser::Feed(absl::string_view aBytes)
{
  if (m_progress != Progress::NeedMore || aBytes.empty()) {
    return 0;
  }
  m_has_begun = true;
  const std::size_t used =
    http_parser_execute(&m_parser, &Callbacks::Settings(), aBytes.data(), aBytes.size());
  const auto error = HTTP_PARSER_ERRNO(&m_parser);
  if (m_progress == Progress::Complete) {
    http_parser_pause(&m_parser, 0);
    return used;
  }
  if (m_head_bytes > m_max_head_bytes) {
    m_progress = Progress::HeadTooLarge;
  } else if (error != HPE_OK || (m_parser.upgrade != 0 && m_has_head)) {
    m_progress = Progress::Malformed;
  }
  return used;
}

void
MessageParser::FeedEnd()
{
  if (m_progress != Progress::NeedMore) {
    return;
  }
  http_parser_execute(&m_parser, &Callbacks::Settings(), nullptr, 0);
  if (m_progress != Progress::Complete) {
    m_progress = Progress::Malformed;
  }
}

void
MessageParser::Restart()
{
  http_parser_init(&m_parser, m_kind == Kind::Request ? HTTP_REQUEST : HTTP_RESPONSE);
  m_parser.data = this;
  m_head = MessageHead();
  m_body.clear();
  m_declared_body_bytes = std::nullopt;
  m_head_error = nullptr;
  m_head_bytes = 0;
  m_was_value_last = true;
  m_has_begun = false;
  m_has_head = false;
  m_progress = Progress::NeedMore;
}

void
MessageParser::Abandon()
{
  m_head = MessageHead();
  std::string().swap(m_body);
  m_declared_body_bytes = std::nullopt;
  m_has_head = false;
  m_progress = Progress::Malformed;
}

std::string
MessageParser::TakeBody()
{
  return std::exchange(m_body, std::string());
}

std::string
MessageParser::ErrorDescription() const
{
  if (m_progress == Progress::HeadTooLarge) {
    return "the header fields are larger than the limit";
  }
  if (m_head_error != nullptr) {
    return m_head_error;
  }
  const auto error = HTTP_PARSER_ERRNO(&m_parser);
  return error == HPE_OK ? "the connection closed before the end of the message"
                         : http_errno_description(error);
}

}
