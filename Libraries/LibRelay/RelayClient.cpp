#include <LibRelay/RelayClient.h>

#include "ClientSocket.h"

#include <LibHttp/HttpServer.h>
#include <absl/container/flat_hash_set.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>
#include <sys/socket.h>

namespace auburnhitch {

namespace {

// Share of the Keep-Alive timeout announced by the peer for which an idle connection is kept. A
// peer may close the connection a little before that timeout.
constexpr double kShareOfPeerLifetime = 0.7;
// A peer sends a few informational (1xx) responses at most.
constexpr int kMaxInformationalResponses = 8;
// Time for a response that crosses the cancellation of its call; a peer that does not notice the
// half-closed connection stops after this time.
constexpr Milliseconds kLateHeadTimeout{ 250 };
// Bounds the descriptors in use by cancelled calls.
constexpr std::size_t kMaxCancelledCalls = 512;

Milliseconds
AdvertisedIdleLifetime(const MessageHead& aHead, Milliseconds aDefault)
{
  const absl::string_view text = FindHeader(aHead.m_headers, "Keep-Alive");
  const auto at = text.find("timeout=");
  if (at == absl::string_view::npos) {
    return aDefault;
  }
  const auto digits = text.substr(at + absl::string_view("timeout=").size());
  int seconds = 0;
  if (!absl::SimpleAtoi(digits.substr(0, digits.find_first_not_of("0123456789")), &seconds)) {
    return aDefault;
  }
  constexpr double kMillisecondsPerSecond = 1'000;
  return Milliseconds(
    static_cast<std::int64_t>(seconds * kMillisecondsPerSecond * kShareOfPeerLifetime));
}

std::string
Serialize(const RelayRequest& aRequest)
{
  std::string text = absl::StrCat(aRequest.m_method, " ", aRequest.m_target, " HTTP/1.1\r\n");
  for (const auto& [name, value] : aRequest.m_headers) {
    absl::StrAppend(&text, name, ": ", value, "\r\n");
  }
  if (!aRequest.m_body.empty() || (aRequest.m_method != "GET" && aRequest.m_method != "HEAD")) {
    absl::StrAppend(&text, "Content-Length: ", aRequest.m_body.size(), "\r\n");
  }
  absl::StrAppend(&text, "\r\n", aRequest.m_body);
  return text;
}

}

const char*
NameOf(RelayCallEnd aEnd)
{
  switch (aEnd) {
    case RelayCallEnd::Complete:
      return "complete";
    case RelayCallEnd::Closed:
      return "closed";
    case RelayCallEnd::NotSent:
      return "not-sent";
    case RelayCallEnd::Broken:
      return "broken";
    case RelayCallEnd::Malformed:
      return "malformed";
  }
  return "unknown";
}

/// Idle connections and the counters; shared by the client and its calls.
struct RelayClient::Pool
{
  struct Idle
  {
    Pool* m_pool = nullptr;
    std::string m_peer;
    bufferevent* m_events = nullptr;
    TimePoint m_until;
  };

  Pool(EventLoop& aLoop, Milliseconds aIdleLifetime, std::size_t aMaxIdlePerPeer)
    : m_loop(aLoop)
    , m_idle_lifetime(aIdleLifetime)
    , m_max_idle_per_peer(aMaxIdlePerPeer)
    , m_sweep(aLoop, kSweepInterval, Timer::Repeat::Always, [this] { CloseExpired(); })
  {
  }

  ~Pool()
  {
    for (auto& [peer, connections] : m_idle) {
      for (auto& idle : connections) {
        bufferevent_free(idle->m_events);
      }
    }
  }

  Pool(const Pool&) = delete;
  Pool& operator=(const Pool&) = delete;

  bufferevent* Take(const std::string& aPeer)
  {
    auto found = m_idle.find(aPeer);
    if (found == m_idle.end()) {
      return nullptr;
    }
    bufferevent* events = nullptr;
    if (!found->second.empty()) {
      // The most recently used connection is the one that the peer will close last.
      Idle& newest = *found->second.back();
      if (newest.m_until > m_loop.Now()) {
        events = newest.m_events;
        found->second.pop_back();
      }
    }
    if (found->second.empty()) {
      m_idle.erase(found);
    }
    return events;
  }

  void Keep(const std::string& aPeer, bufferevent* aEvents, Milliseconds aLifetime)
  {
    auto& connections = m_idle[aPeer];
    if (connections.size() >= m_max_idle_per_peer || aLifetime <= Milliseconds(0)) {
      bufferevent_free(aEvents);
      return;
    }
    connections.push_back(
      std::make_unique<Idle>(Idle{ this, aPeer, aEvents, m_loop.Now() + aLifetime }));
    // Bytes or events on an idle connection belong to no request: the connection is dropped.
    bufferevent_setcb(aEvents, OnIdleReadable, nullptr, OnIdleEvent, connections.back().get());
    bufferevent_enable(aEvents, EV_READ);
  }

  void Drop(Idle* aIdle)
  {
    auto found = m_idle.find(aIdle->m_peer);
    bufferevent_free(aIdle->m_events);
    std::erase_if(found->second, [aIdle](const auto& aEntry) { return aEntry.get() == aIdle; });
    if (found->second.empty()) {
      m_idle.erase(found);
    }
  }

  void CloseExpired()
  {
    const TimePoint now = m_loop.Now();
    std::vector<Idle*> expired;
    for (const auto& [peer, connections] : m_idle) {
      for (const auto& idle : connections) {
        if (idle->m_until <= now) {
          expired.push_back(idle.get());
        }
      }
    }
    for (Idle* idle : expired) {
      Drop(idle);
    }
  }

  void ClosePeerConnections(const std::string& aPeer)
  {
    auto found = m_idle.find(aPeer);
    while (found != m_idle.end()) {
      Drop(found->second.back().get());
      found = m_idle.find(aPeer);
    }
  }

  static void OnIdleReadable(bufferevent*, void* aIdle)
  {
    auto* idle = static_cast<Idle*>(aIdle);
    idle->m_pool->Drop(idle);
  }

  static void OnIdleEvent(bufferevent* aEvents, short, void* aIdle)
  {
    OnIdleReadable(aEvents, aIdle);
  }

  // Take() never returns an expired connection; the sweep only limits how long it stays open.
  static constexpr Milliseconds kSweepInterval{ 500 };

  EventLoop& m_loop;
  Milliseconds m_idle_lifetime;
  std::size_t m_max_idle_per_peer;
  absl::flat_hash_map<std::string, std::vector<std::unique_ptr<Idle>>> m_idle;
  /// Calls that nobody waits for, which still read the heads of their responses.
  absl::flat_hash_set<std::shared_ptr<RelayCall::State>> m_cancelled;
  RelayClientCounts m_counts;
  Timer m_sweep;
};

struct RelayCall::State : std::enable_shared_from_this<RelayCall::State>
{
  State(std::shared_ptr<RelayClient::Pool> aPool,
        std::string aPeer,
        RelayRequest aRequest,
        const RelayCallLimits& aLimits,
        RelayCallHandlers aHandlers)
    : m_pool(std::move(aPool))
    , m_peer(std::move(aPeer))
    , m_request(std::move(aRequest))
    , m_limits(aLimits)
    , m_handlers(std::move(aHandlers))
    , m_parser(MessageParser::Kind::Response, aLimits.m_max_head_bytes)
  {
    if (m_request.m_method == "HEAD") {
      m_parser.ExpectNoBody();
    }
  }

  ~State() { FreeConnection(); }
  State(const State&) = delete;
  State& operator=(const State&) = delete;

  void Begin(const SocketAddress& aAddress)
  {
    m_total_timer =
      std::make_unique<Timer>(Loop(), m_limits.m_total_timeout, Timer::Repeat::Once, [this] {
        FinishFromTimer(m_is_written ? RelayCallEnd::Broken : RelayCallEnd::NotSent,
                        "total timeout passed before the response was complete");
      });
    ++m_pool->m_counts.m_active;
    m_is_counted = true;
    m_events = m_limits.m_may_reuse ? m_pool->Take(m_peer) : nullptr;
    if (m_events != nullptr) {
      m_is_reused = true;
      m_is_established = true;
      ++m_pool->m_counts.m_reused;
      Attach();
      // Deferred, so that callbacks run from the loop, after the caller has received the call.
      Loop().Defer([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
          self->WriteRequest();
        }
      });
      return;
    }
    Connect(aAddress);
  }

  void Connect(const SocketAddress& aAddress)
  {
    const auto name = ToSockaddr(aAddress);
    m_events = bufferevent_socket_new(Loop().Base(), -1, BEV_OPT_CLOSE_ON_FREE);
    ++m_pool->m_counts.m_opened;
    Attach();
    m_connect_timer =
      std::make_unique<Timer>(Loop(), m_limits.m_connect_timeout, Timer::Repeat::Once, [this] {
        FinishFromTimer(RelayCallEnd::NotSent, "connect timeout passed");
      });
    const bool is_begun =
      name.ok() && bufferevent_socket_connect(
                     m_events, reinterpret_cast<const sockaddr*>(&*name), sizeof(*name)) == 0;
    if (!is_begun) {
      Loop().Defer([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
          self->Finish(RelayCallEnd::NotSent,
                       "cannot start connecting: invalid address, or connect failed at once");
        }
      });
    }
  }

  EventLoop& Loop() const { return m_pool->m_loop; }

  void Attach()
  {
    bufferevent_setcb(m_events, OnReadable, nullptr, OnEvent, this);
    bufferevent_enable(m_events, EV_READ | EV_WRITE);
  }

  void WriteRequest()
  {
    if (m_is_over) {
      return;
    }
    m_is_written = true;
    const std::string text = Serialize(m_request);
    m_request.m_body.clear();
    bufferevent_write(m_events, text.data(), text.size());
    if (m_handlers.m_on_sent) {
      m_handlers.m_on_sent();
    }
  }

  static void OnReadable(bufferevent*, void* aState)
  {
    static_cast<State*>(aState)->shared_from_this()->Read();
  }

  static void OnEvent(bufferevent*, short aWhat, void* aState)
  {
    const auto self = static_cast<State*>(aState)->shared_from_this();
    if ((aWhat & BEV_EVENT_CONNECTED) != 0) {
      self->m_connect_timer = nullptr;
      self->m_is_established = true;
      SetClientSocketOptions(bufferevent_getfd(self->m_events));
      self->WriteRequest();
      return;
    }
    if (!self->m_is_written) {
      // The peer may have reset the connection before the loop learned that it was established.
      self->m_is_established = self->m_is_established || (aWhat & BEV_EVENT_EOF) != 0 ||
                               EVUTIL_SOCKET_ERROR() == ECONNRESET;
      self->Finish(RelayCallEnd::NotSent,
                   "connection refused or closed before the request was sent");
      return;
    }
    if ((aWhat & BEV_EVENT_ERROR) == 0) {
      self->Read();
      if (self->m_is_over) {
        return;
      }
      // A response without a length is truncated after an error, or while the peer has not taken
      // the whole request; see RelayCallEnd::Closed.
      if (self->HasPeerTakenRequest()) {
        self->m_parser.FeedEnd();
      }
      if (self->m_parser.State() == MessageParser::Progress::Complete) {
        self->Deliver();
        return;
      }
    }
    self->Finish(RelayCallEnd::Broken,
                 (aWhat & BEV_EVENT_ERROR) != 0
                   ? "connection failed before the end of the response"
                   : "connection closed before the end of the response");
  }

  // A peer may end its direction of the connection in order and reset it afterwards.
  bool HasPeerTakenRequest() const
  {
    const int socket = bufferevent_getfd(m_events);
    return evbuffer_get_length(bufferevent_get_output(m_events)) == 0 &&
           UnacknowledgedBytes(socket) == 0 && TakeError(socket) == 0;
  }

  void Read()
  {
    evbuffer* input = bufferevent_get_input(m_events);
    while (!m_is_over) {
      const auto size = static_cast<std::ptrdiff_t>(evbuffer_get_contiguous_space(input));
      if (size == 0) {
        return;
      }
      if (!m_is_written) {
        Finish(RelayCallEnd::NotSent, "unexpected bytes on an idle connection");
        return;
      }
      const auto* bytes = reinterpret_cast<const char*>(evbuffer_pullup(input, size));
      const std::size_t used = m_parser.Feed({ bytes, static_cast<std::size_t>(size) });
      evbuffer_drain(input, used);
      if (!m_parser.HasHead()) {
        StartHeadTimer();
      }
      constexpr int kFirstFinalStatus = 200;
      if (m_parser.State() == MessageParser::Progress::Complete &&
          m_parser.Head().m_status < kFirstFinalStatus) {
        if (++m_informational_responses > kMaxInformationalResponses) {
          Finish(RelayCallEnd::Malformed, "too many informational responses");
          return;
        }
        m_head_timer = nullptr;
        m_parser.Restart();
        continue;
      }
      Deliver();
    }
  }

  void StartHeadTimer()
  {
    if (m_head_timer != nullptr) {
      return;
    }
    m_head_timer =
      std::make_unique<Timer>(Loop(), m_limits.m_head_timeout, Timer::Repeat::Once, [this] {
        FinishFromTimer(RelayCallEnd::Malformed, "the head of the response did not end in time");
      });
  }

  // Reports to the handlers what the parser has read.
  void Deliver()
  {
    if (m_parser.HasHead() && !m_is_head_reported) {
      m_is_head_reported = true;
      m_head_timer = nullptr;
      if (m_handlers.m_on_head) {
        m_handlers.m_on_head(m_parser.Head());
      }
    }
    if (m_is_cancelled && m_is_head_reported) {
      Finish(RelayCallEnd::Broken, "cancelled");
      return;
    }
    m_body_bytes += m_parser.PendingBodyBytes();
    if (!m_is_over && m_body_bytes > m_limits.m_max_body_bytes) {
      Finish(RelayCallEnd::Malformed,
             absl::StrCat("the body exceeds ", m_limits.m_max_body_bytes, " bytes"));
      return;
    }
    if (!m_is_over && m_parser.PendingBodyBytes() > 0 && m_handlers.m_on_body) {
      m_handlers.m_on_body(m_parser.TakeBody());
    }
    if (m_is_over) {
      return;
    }
    switch (m_parser.State()) {
      case MessageParser::Progress::NeedMore:
        return;
      case MessageParser::Progress::Complete:
        Finish(m_parser.Head().m_framing == BodyFraming::UntilClose ? RelayCallEnd::Closed
                                                                    : RelayCallEnd::Complete,
               "");
        return;
      case MessageParser::Progress::Malformed:
      case MessageParser::Progress::HeadTooLarge:
        Finish(RelayCallEnd::Malformed, m_parser.ErrorDescription());
        return;
    }
  }

  // For timer callbacks: Finish() destroys the timer and may release the call, so this keeps the
  // state alive until it returns.
  void FinishFromTimer(RelayCallEnd aEnd, const char* aReason)
  {
    const auto self = shared_from_this();
    Finish(aEnd, aReason);
  }

  void Finish(RelayCallEnd aEnd, std::string aReason)
  {
    if (m_is_over) {
      return;
    }
    m_is_over = true;
    StopTimers();
    ReleaseConnection(aEnd);
    const RelayCallHandlers handlers = std::exchange(m_handlers, {});
    if (handlers.m_on_end) {
      handlers.m_on_end(RelayResult{ aEnd, m_is_reused, m_is_established, std::move(aReason) });
    }
  }

  void ReleaseConnection(RelayCallEnd aEnd)
  {
    Uncount();
    const bool is_clean = aEnd == RelayCallEnd::Complete && m_parser.Head().m_keeps_alive &&
                          !m_closes_after_response &&
                          evbuffer_get_length(bufferevent_get_input(m_events)) == 0 &&
                          evbuffer_get_length(bufferevent_get_output(m_events)) == 0;
    if (!is_clean) {
      FreeConnection();
      return;
    }
    m_pool->Keep(m_peer,
                 std::exchange(m_events, nullptr),
                 AdvertisedIdleLifetime(m_parser.Head(), m_pool->m_idle_lifetime));
  }

  void Abandon()
  {
    m_is_over = true;
    m_handlers = {};
    StopTimers();
    Uncount();
    FreeConnection();
  }

  void Cancel(HeadHandler aOnLateHead)
  {
    const bool may_be_answered = !m_is_over && m_is_written && !m_is_head_reported &&
                                 evbuffer_get_length(bufferevent_get_output(m_events)) == 0;
    if (!may_be_answered || m_pool->m_cancelled.size() >= kMaxCancelledCalls) {
      Abandon();
      return;
    }
    m_is_cancelled = true;
    StopTimers();
    m_handlers = {};
    m_handlers.m_on_head = std::move(aOnLateHead);
    m_handlers.m_on_end = [this](const RelayResult&) {
      m_pool->m_cancelled.erase(shared_from_this());
    };
    m_pool->m_cancelled.insert(shared_from_this());
    shutdown(bufferevent_getfd(m_events), SHUT_WR);
    m_total_timer = std::make_unique<Timer>(Loop(), kLateHeadTimeout, Timer::Repeat::Once, [this] {
      FinishFromTimer(RelayCallEnd::Broken, "cancelled");
    });
  }

  void Uncount()
  {
    if (std::exchange(m_is_counted, false)) {
      --m_pool->m_counts.m_active;
    }
  }

  void StopTimers()
  {
    m_connect_timer = nullptr;
    m_head_timer = nullptr;
    m_total_timer = nullptr;
  }

  void FreeConnection()
  {
    if (m_events != nullptr) {
      bufferevent_free(std::exchange(m_events, nullptr));
    }
  }

  std::shared_ptr<RelayClient::Pool> m_pool;
  std::string m_peer;
  RelayRequest m_request;
  RelayCallLimits m_limits;
  RelayCallHandlers m_handlers;
  MessageParser m_parser;
  bufferevent* m_events = nullptr;
  std::unique_ptr<Timer> m_connect_timer;
  std::unique_ptr<Timer> m_head_timer;
  std::unique_ptr<Timer> m_total_timer;
  bool m_is_reused = false;
  bool m_is_established = false;
  bool m_is_written = false;
  bool m_is_head_reported = false;
  int m_informational_responses = 0;
  std::size_t m_body_bytes = 0;
  bool m_is_over = false;
  bool m_is_cancelled = false;
  bool m_closes_after_response = false;
  bool m_is_counted = false;
};

RelayCall::RelayCall(std::shared_ptr<State> aState)
  : m_state(std::move(aState))
{
}

RelayCall::~RelayCall()
{
  if (!m_state->m_is_cancelled) {
    m_state->Abandon();
  }
}

bool
RelayCall::IsReused() const
{
  return m_state->m_is_reused;
}

void
RelayCall::CloseAfterResponse()
{
  m_state->m_closes_after_response = true;
}

void
RelayCall::Cancel(HeadHandler aOnLateHead)
{
  m_state->Cancel(std::move(aOnLateHead));
}

void
RelayCall::PauseReading()
{
  if (m_state->m_events != nullptr) {
    bufferevent_disable(m_state->m_events, EV_READ);
  }
}

void
RelayCall::ResumeReading()
{
  if (m_state->m_events != nullptr) {
    bufferevent_enable(m_state->m_events, EV_READ);
  }
}

RelayClient::RelayClient(EventLoop& aLoop, Milliseconds aIdleLifetime, std::size_t aMaxIdlePerPeer)
  : m_pool(std::make_shared<Pool>(aLoop, aIdleLifetime, aMaxIdlePerPeer))
{
}

RelayClient::~RelayClient()
{
  // Cancelled calls and the pool refer to each other.
  for (const auto& call : std::exchange(m_pool->m_cancelled, {})) {
    call->Abandon();
  }
}

std::unique_ptr<RelayCall>
RelayClient::Send(const SocketAddress& aAddress,
                  const std::string& aPeer,
                  RelayRequest aRequest,
                  const RelayCallLimits& aLimits,
                  RelayCallHandlers aHandlers)
{
  auto state = std::make_shared<RelayCall::State>(
    m_pool, aPeer, std::move(aRequest), aLimits, std::move(aHandlers));
  state->Begin(aAddress);
  return std::unique_ptr<RelayCall>(new RelayCall(std::move(state)));
}

void
RelayClient::CloseIdleConnections(const std::string& aPeer)
{
  m_pool->ClosePeerConnections(aPeer);
}

RelayClientCounts
RelayClient::Counts() const
{
  RelayClientCounts counts = m_pool->m_counts;
  for (const auto& [peer, connections] : m_pool->m_idle) {
    counts.m_idle += connections.size();
  }
  return counts;
}

}
