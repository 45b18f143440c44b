#include "SoakCaller.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <array>
#include <iterator>
#include <sys/socket.h>
#include <unistd.h>

namespace auburnhitch::tests {

namespace {

// Out of ten requests this many reuse the open connection, if there is one.
constexpr unsigned kReusedOfTen = 7;
constexpr unsigned kTen = 10;
// Out of forty requests this many are abandoned: the caller disconnects before the response.
constexpr unsigned kAbandonedOfForty = 1;
constexpr unsigned kForty = 40;
constexpr std::chrono::milliseconds kPause{ 5 };
constexpr int kMaxResumes = 3;
constexpr std::chrono::milliseconds kResumePause{ 30 };
constexpr int kOk = 200;
constexpr int kBadGateway = 502;
constexpr int kGatewayTimeout = 504;
constexpr std::chrono::milliseconds kDeadline{ 3'000 };
// A response that ends this long before the deadline has not ended for it.
constexpr std::chrono::milliseconds kBeforeDeadline{ 300 };
// One request in this many has a part in its prompt that crashes endpoints, and one is the request
// that crashes them.
constexpr unsigned kHarmfulOneIn = 120;
constexpr unsigned kSessions = 8;

/// The number of whole events in the body of a stream.
int
CountEvents(const std::string& aBody)
{
  int events = 0;
  for (auto at = aBody.find("\n\n"); at != std::string::npos; at = aBody.find("\n\n", at + 2)) {
    ++events;
  }
  return events;
}

}

SoakCaller::SoakCaller(const GatewayCluster& aCluster,
                       std::size_t aDaemons,
                       SoakChecker& aChecker,
                       unsigned aSeed,
                       bool aIsHarmful,
                       bool aRepeatsCrash,
                       bool aExpectsWhole)
  : m_cluster(aCluster)
  , m_daemons(aDaemons)
  , m_checker(aChecker)
  , m_seed(aSeed)
  , m_is_harmful(aIsHarmful)
  , m_repeats_crash(aRepeatsCrash)
  , m_expects_whole(aExpectsWhole)
  , m_random(aSeed)
  , m_thread([this] { Run(); })
{
}

SoakCaller::~SoakCaller()
{
  m_is_stopping = true;
  m_thread.join();
  CloseConnection();
}

void
SoakCaller::CloseConnection()
{
  if (m_socket >= 0) {
    close(m_socket);
    m_socket = -1;
  }
}

void
SoakCaller::Run()
{
  for (int number = 0; !m_is_stopping; ++number) {
    const SoakKind& kind = kSoakKinds[m_random() % std::size(kSoakKinds)];
    const std::string id = absl::StrCat("c", m_seed, "-", number);
    const bool reuses_connection = m_socket >= 0 && m_random() % kTen < kReusedOfTen;
    const std::size_t daemon = reuses_connection ? m_connected_to : m_random() % m_daemons;
    if (!reuses_connection) {
      CloseConnection();
    }
    SoakRequest request{ id, &kind, daemon, id };
    request.m_is_harmful = m_is_harmful && m_random() % kHarmfulOneIn == 0;
    request.m_is_repeated_crash = m_repeats_crash && m_random() % kHarmfulOneIn == 0;
    if (request.m_is_repeated_crash) {
      request.m_kind = &kSoakKinds[0];
    }
    const CallerResponse response = Send(request);
    if (request.m_kind->m_is_stream && request.m_kind->m_is_idempotent) {
      Resume(request, response);
    }
    std::this_thread::sleep_for(kPause);
  }
}

std::string
SoakCaller::PromptOf(const SoakRequest& aRequest)
{
  return absl::StrCat("X-Prefix-Hash: c0:60,",
                      aRequest.m_is_harmful ? absl::StrCat(kHarmfulPart, ":40,") : "",
                      "5e",
                      m_random() % kSessions,
                      ":400,",
                      absl::Hex(m_random()),
                      ":200\r\n");
}

CallerResponse
SoakCaller::Send(const SoakRequest& aRequest)
{
  m_checker.RecordSent(aRequest);
  const std::string resume_fields =
    aRequest.ResumesStream()
      ? absl::StrCat(
          "Resumes: ", aRequest.m_stream, "\r\nLast-Event-Id: ", aRequest.m_first_event - 1, "\r\n")
      : "";
  const auto sent_at = std::chrono::steady_clock::now();
  CallerResponse response =
    Exchange(aRequest.m_daemon,
             absl::StrCat("POST /",
                          aRequest.m_kind->m_name,
                          "/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: ",
                          aRequest.m_id,
                          "\r\nAuthorization: Bearer key-1\r\nX-Deadline-Ms: ",
                          kDeadline.count(),
                          "\r\n",
                          resume_fields,
                          PromptOf(aRequest),
                          "Content-Length: 4\r\n\r\n",
                          aRequest.m_is_repeated_crash ? kHarmfulBody : "body"));
  m_checker.RecordResponse(aRequest, response);
  CheckWhole(aRequest, response, std::chrono::steady_clock::now() - sent_at);
  if (!response.m_is_complete || response.Header("connection") == "close") {
    CloseConnection();
  }
  return response;
}

void
SoakCaller::CheckWhole(const SoakRequest& aRequest,
                       const CallerResponse& aResponse,
                       std::chrono::steady_clock::duration aTook)
{
  const bool is_whole = aResponse.m_is_complete && aResponse.m_status != kBadGateway &&
                        aResponse.m_status != kGatewayTimeout;
  if (!m_expects_whole || is_whole || m_has_left || aTook > kDeadline - kBeforeDeadline) {
    return;
  }
  m_checker.RecordViolation(
    absl::StrCat(aRequest.m_kind->m_name,
                 " request ",
                 aRequest.m_id,
                 " through daemon ",
                 aRequest.m_daemon,
                 " has no whole response: status ",
                 aResponse.m_status,
                 " after ",
                 std::chrono::duration_cast<std::chrono::milliseconds>(aTook).count(),
                 " ms"));
}

void
SoakCaller::Resume(SoakRequest aRequest, CallerResponse aResponse)
{
  for (int attempt = 1; attempt <= kMaxResumes; ++attempt) {
    aRequest.m_first_event += CountEvents(aResponse.m_body);
    if (aResponse.m_is_complete || aRequest.m_first_event == 1 ||
        aRequest.m_first_event > kEventsPerStream) {
      return;
    }
    std::this_thread::sleep_for(kResumePause * attempt);
    CloseConnection();
    aRequest.m_id = absl::StrCat(aRequest.m_stream, "-again-", attempt);
    aRequest.m_daemon = m_random() % m_daemons;
    aResponse = Send(aRequest);
    if (aResponse.m_status != kOk) {
      aResponse = CallerResponse();
    }
  }
}

CallerResponse
SoakCaller::Exchange(std::size_t aDaemon, const std::string& aRequest)
{
  if (m_socket < 0) {
    m_socket = ConnectTo(m_cluster.CallerAddress(aDaemon));
    m_connected_to = aDaemon;
  }
  m_has_left = m_socket < 0;
  if (m_has_left) {
    return {};
  }
  // A paused daemon delays its responses for as long as it is paused. The deadline of the request
  // is far below this timeout.
  const timeval receive_timeout{ 6, 0 };
  setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &receive_timeout, sizeof(receive_timeout));
  send(m_socket, aRequest.data(), aRequest.size(), MSG_NOSIGNAL);
  m_has_left = m_random() % kForty < kAbandonedOfForty;
  if (m_has_left) {
    CloseConnection();
    return {};
  }
  std::string bytes;
  std::array<char, 4'096> buffer{};
  while (true) {
    const ssize_t size = recv(m_socket, buffer.data(), buffer.size(), 0);
    if (size <= 0) {
      return ParseResponse(bytes);
    }
    bytes.append(buffer.data(), static_cast<std::size_t>(size));
    CallerResponse response = ParseResponse(bytes);
    if (response.m_is_complete) {
      return response;
    }
  }
}

}
