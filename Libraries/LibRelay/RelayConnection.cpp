#include "RelayConnection.h"

#include "ClientSocket.h"

#include <LibRelay/RelayServer.h>
#include <algorithm>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sys/socket.h>

namespace auburnhitch {

namespace {

// Maximum time to wait for the peer to close the connection after its last response has been sent.
// A round trip takes a few milliseconds.
constexpr Milliseconds kLingerTime{ 1'000 };
// Maximum number of bytes that are read from one connection ahead of the request in progress; as
// many as libevent reads at once.
constexpr std::size_t kReadAheadBytes = 16 << 10;
// The next request of a connection is not parsed while more than this of earlier responses has not
// been accepted by the socket.
constexpr std::size_t kMaxUnsentBeforeNextRequest = 256 << 10;
// A response may be given up for memory once its caller has taken no byte for this long. A caller
// that reads takes some within a few round trips.
constexpr Milliseconds kMinUnreadTime{ 1'000 };

constexpr int kBadRequest = 400;
constexpr int kPayloadTooLarge = 413;
constexpr int kHeadTooLarge = 431;
constexpr int kServiceUnavailable = 503;
// In seconds; bodies are received and answered within a few.
constexpr const char* kRetryAfterFull = "1";

}

RelayConnection::RelayConnection(RelayServer& aServer, bufferevent* aEvents, std::uint32_t aPeer)
  : m_server(aServer)
  , m_events(aEvents)
  , m_peer(aPeer)
  , m_parser(MessageParser::Kind::Request, aServer.m_limits.m_max_head_bytes)
  , m_phase_since(aServer.m_loop.Now())
  , m_memory(aServer.m_memory, [this] { GiveMemoryBack(); })
{
  bufferevent_setcb(m_events, OnReadable, OnWritable, OnEvent, this);
  bufferevent_setwatermark(m_events, EV_READ, 0, kReadAheadBytes);
  bufferevent_enable(m_events, EV_READ | EV_WRITE);
}

RelayConnection::~RelayConnection()
{
  m_server.RemoveConnection(this);
  bufferevent_free(m_events);
}

void
RelayConnection::OnReadable(bufferevent*, void* aConnection)
{
  static_cast<RelayConnection*>(aConnection)->Read();
}

void
RelayConnection::OnWritable(bufferevent*, void* aConnection)
{
  auto* self = static_cast<RelayConnection*>(aConnection);
  self->CountUnsent();
  if (self->m_phase == Phase::Lingering) {
    shutdown(bufferevent_getfd(self->m_events), SHUT_WR);
  } else if (self->m_phase == Phase::Idle) {
    // Requests that have waited until the responses before them were sent.
    self->Read();
  } else if (self->m_exchange != nullptr && self->m_exchange->m_on_drained) {
    const RelayExchangePtr exchange = self->m_exchange;
    exchange->m_on_drained();
  }
}

void
RelayConnection::OnEvent(bufferevent*, short aWhat, void* aConnection)
{
  if ((aWhat & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
    static_cast<RelayConnection*>(aConnection)->Close();
  }
}

void
RelayConnection::EnterPhase(Phase aPhase)
{
  m_phase = aPhase;
  m_phase_since = m_server.m_loop.Now();
}

void
RelayConnection::Read()
{
  if (m_phase == Phase::Lingering) {
    DiscardInput();
    return;
  }
  CountReadAhead();
  // Bytes of a pipelined request stay in the buffer until the current one has its response.
  while (MayParse() && ParseInput()) {
  }
}

bool
RelayConnection::MayParse() const
{
  return m_phase == Phase::Reading ||
         (m_phase == Phase::Idle && UnsentBytes() <= kMaxUnsentBeforeNextRequest);
}

bool
RelayConnection::ParseInput()
{
  evbuffer* input = bufferevent_get_input(m_events);
  const auto size = static_cast<std::ptrdiff_t>(evbuffer_get_contiguous_space(input));
  if (size == 0) {
    return false;
  }
  if (m_phase == Phase::Idle) {
    EnterPhase(Phase::Reading);
    m_is_head_checked = false;
    m_memory.SetReclaimableSince(m_phase_since);
  }
  const auto* bytes = reinterpret_cast<const char*>(evbuffer_pullup(input, size));
  const std::size_t used = m_parser.Feed({ bytes, static_cast<std::size_t>(size) });
  evbuffer_drain(input, used);
  CountReadAhead();
  CollectBody();
  if (IsBodyTooLarge()) {
    RejectRequest(kPayloadTooLarge, "the body is larger than the limit");
    return false;
  }
  switch (m_parser.State()) {
    case MessageParser::Progress::NeedMore:
      RefuseByHead();
      m_server.m_memory.Reclaim(m_server.m_loop.Now());
      return m_phase == Phase::Reading;
    case MessageParser::Progress::Malformed:
      RejectRequest(kBadRequest, "the request is malformed");
      return false;
    case MessageParser::Progress::HeadTooLarge:
      RejectRequest(kHeadTooLarge, "the header fields are larger than the limit");
      return false;
    case MessageParser::Progress::Complete:
      if (MakeRoomForRequest()) {
        DispatchRequest();
      } else {
        ++m_server.m_refused_for_memory;
        RefuseForMemory();
      }
      return false;
  }
  return false;
}

bool
RelayConnection::MakeRoomForRequest()
{
  m_memory.SetReclaimableSince(std::nullopt);
  MemoryBudget& budget = m_server.m_memory;
  budget.Reclaim(m_server.m_loop.Now());
  // Small requests are served in any case: together they cannot exceed the budget by much.
  return budget.Total() <= budget.Limit() ||
         m_memory.Total() <= budget.Limit() / m_server.m_limits.m_max_connections;
}

void
RelayConnection::RefuseByHead()
{
  if (!m_parser.HasHead() || std::exchange(m_is_head_checked, true) || !m_server.m_head_check) {
    return;
  }
  const RelayServer::Handler refuse = m_server.m_head_check(m_parser.Head());
  if (!refuse) {
    return;
  }
  // A caller that writes its whole request before it reads still gets the refusal.
  m_is_refused_by_head = true;
  m_max_discarded_bytes = std::max(kMaxDiscardedBytes, m_server.m_limits.m_max_body_bytes);
  MessageHead head = m_parser.Head();
  DropRequest();
  refuse(BeginLastExchange(std::move(head)));
}

void
RelayConnection::GiveMemoryBack()
{
  if (m_phase == Phase::Reading) {
    ++m_server.m_refused_for_memory;
    RefuseForMemory();
    return;
  }
  ++m_server.m_closed_for_memory;
  Close("the caller read nothing while memory was short");
}

void
RelayConnection::RefuseForMemory()
{
  RejectRequest(kServiceUnavailable,
                "the memory for all requests is in use",
                { { "Retry-After", kRetryAfterFull } });
}

void
RelayConnection::DiscardInput()
{
  evbuffer* input = bufferevent_get_input(m_events);
  const std::size_t size = evbuffer_get_length(input);
  evbuffer_drain(input, size);
  m_discarded_bytes += size;
  const TimePoint now = m_server.m_loop.Now();
  if (m_is_refused_by_head && size > 0 && now - m_linger_since < m_server.m_limits.m_idle_timeout) {
    // The caller still sends the body; it reads the refusal after that.
    m_phase_since = now;
  }
  if (m_discarded_bytes > m_max_discarded_bytes) {
    // The socket buffers fill up and hold the peer back until the linger time is over.
    bufferevent_disable(m_events, EV_READ);
  }
}

void
RelayConnection::CollectBody()
{
  const std::string bytes = m_parser.TakeBody();
  const std::size_t needed = m_body.size() + bytes.size();
  const auto declared = m_parser.DeclaredBodyBytes();
  if (declared && needed > m_body.capacity() && needed <= *declared) {
    // Doubles the capacity as a string does, but not beyond the declared length.
    m_body.reserve(std::max<std::size_t>(
      needed, std::min<std::uint64_t>(*declared, std::uint64_t(m_body.capacity()) * 2)));
  }
  m_body += bytes;
  m_memory.Set(MemoryAccount::Heads, m_parser.HeadMemoryBytes());
  m_memory.Set(MemoryAccount::Bodies, m_body.empty() ? 0 : m_body.capacity());
}

bool
RelayConnection::IsBodyTooLarge() const
{
  const std::size_t limit = m_server.m_limits.m_max_body_bytes;
  return m_body.size() > limit || m_parser.DeclaredBodyBytes().value_or(0) > limit;
}

void
RelayConnection::DispatchRequest()
{
  EnterPhase(Phase::Responding);
  m_memory.SetReclaimableSince(std::nullopt);
  // HTTP/1.0 callers expect a persistent connection only if the response announces one.
  m_must_close = !m_parser.Head().m_keeps_alive || m_parser.Head().m_minor_version == 0;
  m_exchange = std::make_shared<RelayExchange>(
    this, m_parser.Head(), std::move(m_body), m_server.m_loop.Now());
  m_body.clear();
  m_parser.Restart();
  // The handler may respond at once, which may close and delete this connection; the exchange is
  // kept alive until it returns.
  const RelayExchangePtr exchange = m_exchange;
  m_server.m_handler(exchange);
}

void
RelayConnection::RejectRequest(int aStatus, const char* aReason, HttpHeaders aHeaders)
{
  DropRequest();
  const RelayExchangePtr exchange = BeginLastExchange(MessageHead());
  aHeaders.emplace_back("Content-Type", "text/plain");
  exchange->Reply(aStatus, std::move(aHeaders), aReason);
}

void
RelayConnection::DropRequest()
{
  // clear() and the assignment of an empty string would keep the memory for as long as the
  // connection lingers.
  std::string().swap(m_body);
  m_parser.Abandon();
  CountNoRequest();
}

void
RelayConnection::CountNoRequest()
{
  m_memory.Set(MemoryAccount::Heads, 0);
  m_memory.Set(MemoryAccount::Bodies, 0);
  m_memory.Set(MemoryAccount::PendingResponses, 0);
  m_memory.SetReclaimableSince(std::nullopt);
}

void
RelayConnection::CountReadAhead()
{
  m_memory.Set(MemoryAccount::ReadAhead, evbuffer_get_length(bufferevent_get_input(m_events)));
}

void
RelayConnection::CountUnsent()
{
  m_memory.Set(MemoryAccount::UnsentResponses, UnsentBytes());
}

RelayExchangePtr
RelayConnection::BeginLastExchange(MessageHead aHead)
{
  EnterPhase(Phase::Responding);
  m_memory.SetReclaimableSince(std::nullopt);
  m_must_close = true;
  m_exchange =
    std::make_shared<RelayExchange>(this, std::move(aHead), std::string(), m_server.m_loop.Now());
  return m_exchange;
}

void
RelayConnection::EndReceiving(const std::function<void(const RelayExchangePtr&)>& aRespond)
{
  if (m_phase != Phase::Reading || !m_parser.HasBegun()) {
    return;
  }
  MessageHead head = m_parser.HasHead() ? m_parser.Head() : MessageHead();
  DropRequest();
  aRespond(BeginLastExchange(std::move(head)));
}

void
RelayConnection::Send(absl::string_view aBytes)
{
  if (UnsentBytes() == 0) {
    m_taken_at = m_server.m_loop.Now();
  }
  bufferevent_write(m_events, aBytes.data(), aBytes.size());
  m_written_bytes += aBytes.size();
  CountUnsent();
}

std::size_t
RelayConnection::UnsentBytes() const
{
  return evbuffer_get_length(bufferevent_get_output(m_events));
}

std::uint64_t
RelayConnection::BytesTaken() const
{
  // The kernel accepts no more bytes before a third of its buffer, which may have megabytes, is
  // free. What it still holds shows slower progress of the peer too.
  const std::uint64_t queued =
    m_taken_bytes == m_written_bytes ? 0 : UnacknowledgedBytes(bufferevent_getfd(m_events));
  const std::uint64_t left = UnsentBytes() + queued;
  return m_written_bytes - std::min(m_written_bytes, left);
}

bool
RelayConnection::MustCloseAfterResponse() const
{
  return m_must_close || m_server.m_close_after_responses;
}

bool
RelayConnection::IsBusy() const
{
  return m_phase == Phase::Responding || m_phase == Phase::Lingering ||
         (m_phase == Phase::Reading && m_parser.HasBegun()) || UnsentBytes() > 0;
}

void
RelayConnection::OnResponseComplete()
{
  const bool closes = MustCloseAfterResponse();
  m_exchange = nullptr;
  CountNoRequest();
  if (closes) {
    BeginLinger();
    return;
  }
  EnterPhase(Phase::Idle);
  if (evbuffer_get_length(bufferevent_get_input(m_events)) > 0) {
    // Deferred, so that the next request is not parsed from inside the handler of this one.
    bufferevent_trigger(m_events, EV_READ, BEV_TRIG_DEFER_CALLBACKS);
  }
}

void
RelayConnection::OnResponseAborted()
{
  m_must_close = true;
  OnResponseComplete();
}

void
RelayConnection::BeginLinger()
{
  EnterPhase(Phase::Lingering);
  m_linger_since = m_phase_since;
  if (UnsentBytes() == 0) {
    shutdown(bufferevent_getfd(m_events), SHUT_WR);
  }
  DiscardInput();
}

void
RelayConnection::Close(const char* aWhy)
{
  const RelayExchangePtr exchange = std::move(m_exchange);
  if (exchange != nullptr) {
    exchange->m_connection = nullptr;
    exchange->m_closed_why = aWhy;
  }
  delete this;
  if (exchange != nullptr && exchange->m_on_closed) {
    const auto callback = std::move(exchange->m_on_closed);
    callback();
  }
}

void
RelayConnection::Reset()
{
  const linger discard_unsent{ 1, 0 };
  setsockopt(
    bufferevent_getfd(m_events), SOL_SOCKET, SO_LINGER, &discard_unsent, sizeof(discard_unsent));
  m_exchange = nullptr;
  Close();
}

void
RelayConnection::CloseIfExpired(TimePoint aNow)
{
  const std::size_t unsent = UnsentBytes();
  // Unsent bytes may grow while the peer reads.
  const std::uint64_t taken = BytesTaken();
  const bool is_peer_reading = taken > std::exchange(m_taken_bytes, taken);
  if (is_peer_reading) {
    m_taken_at = aNow;
  }
  const bool was_unsent = std::exchange(m_last_unsent_bytes, unsent) > 0;
  if ((m_phase == Phase::Lingering || m_phase == Phase::Idle) && is_peer_reading &&
      (unsent > 0 || was_unsent)) {
    m_phase_since = aNow;
  }
  CountUnsent();
  if (m_phase != Phase::Reading) {
    const bool is_stalled = unsent > 0 && aNow - m_taken_at >= kMinUnreadTime;
    m_memory.SetReclaimableSince(is_stalled ? std::optional(m_taken_at) : std::nullopt);
  }
  const Duration age = aNow - m_phase_since;
  const RelayServerLimits& limits = m_server.m_limits;
  const bool is_slow =
    m_phase == Phase::Reading && !m_parser.HasHead() && age > limits.m_head_timeout;
  const bool is_unused = m_phase == Phase::Idle && age > limits.m_idle_timeout;
  // A slow peer gets its whole response; one that reads nothing does not hold the connection.
  const Duration linger_time =
    unsent > 0 ? std::max(kLingerTime, limits.m_idle_timeout) : kLingerTime;
  const bool is_over = m_phase == Phase::Lingering && age > linger_time;
  const bool is_unread = m_phase == Phase::Responding && unsent > 0 &&
                         !m_exchange->m_may_stay_unread &&
                         aNow - m_taken_at > limits.m_max_unread_time;
  m_server.m_closed_unread += is_unread ? 1 : 0;
  if (is_slow || is_unused || is_over || is_unread) {
    Close(is_unread ? "the caller read nothing for too long" : nullptr);
  }
}

}
