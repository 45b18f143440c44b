#pragma once

#include <LibClaims/Claimer.h>
#include <LibDispatch/Dispatcher.h>
#include <LibIntake/CallerRequest.h>
#include <LibLedger/Ledger.h>
#include <functional>
#include <map>
#include <memory>

namespace auburnhitch {

/// Takes requests of callers, settles their identity, and hands them to the dispatcher if this
/// daemon issued the identity, else to the daemon that did. Not thread-safe.
class Intake
{
public:
  struct Dependencies
  {
    EventLoop& m_loop;
    HttpClient& m_client;
    Ledger& m_ledger;
    Dispatcher& m_dispatcher;
    Claimer& m_claimer;
    DecisionLog& m_decisions;
    DocumentLookup m_documents;
    /// Whether any document is held at all.
    std::function<bool()> m_has_documents;
    /// Whether an entry host has this peer address.
    std::function<bool(const SocketAddress&)> m_is_entry_host;
  };

  enum class Sender
  {
    Caller,
    /// A peer passed the request on; it is not passed on again.
    Peer,
  };

  explicit Intake(Dependencies aDependencies);
  ~Intake();

  /// Answers the exchange, now or later.
  void Handle(const HttpExchangePtr& aExchange, Sender aSender);

  /// Whether no request is being passed on or waits for a claim.
  bool IsIdle() const { return m_forwards.empty() && m_relays.empty() && m_claims == 0; }

private:
  struct IncomingRequest
  {
    HttpExchangePtr m_exchange;
    RawCallerRequest m_raw;
    CheckedCallerRequest m_checked;
    Sender m_sender = Sender::Caller;
    /// Whether the engine that the resume token names was asked already.
    bool m_has_tried_engine = false;
  };
  using IncomingRequestPtr = std::shared_ptr<IncomingRequest>;

  void BindKey(const IncomingRequestPtr& aRequest);
  void OnKeyBound(const IncomingRequestPtr& aRequest, const ClaimResult& aResult);
  void Route(const IncomingRequestPtr& aRequest);
  void Forward(const IncomingRequestPtr& aRequest);
  void ForwardBuffered(const IncomingRequestPtr& aRequest, const SocketAddress& aIssuer);
  void ForwardStream(const IncomingRequestPtr& aRequest, const SocketAddress& aIssuer);
  void ResumeAtEngine(const IncomingRequestPtr& aRequest);
  void FetchFromEngine(const IncomingRequestPtr& aRequest, const Endpoint& aEndpoint);
  void StreamFromEngine(const IncomingRequestPtr& aRequest, const Endpoint& aEndpoint);
  void Relay(const IncomingRequestPtr& aRequest,
             StreamRelay::Source aSource,
             HttpHeaders aHeaders,
             StreamRelay::EndHandler aOnEnd);
  void ForwardResponse(const IncomingRequestPtr& aRequest, const HttpOutcome& aOutcome);
  void RespondWithError(const IncomingRequestPtr& aRequest, ErrorCode aCode, Outcome aOutcome);

  HttpRequest ForwardRequest(const IncomingRequest& aRequest) const;
  const Endpoint* FindResumableEndpoint(const IncomingRequest& aRequest,
                                        const HostName& aHost) const;

  Dependencies m_dependencies;
  std::map<std::int64_t, std::unique_ptr<HttpCall>> m_forwards;
  std::map<std::int64_t, std::shared_ptr<StreamRelay>> m_relays;
  std::int64_t m_next_id = 0;
  std::size_t m_claims = 0;
};

}
