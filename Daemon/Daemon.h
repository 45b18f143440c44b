#pragma once

#include "DocumentReplica.h"
#include "Metrics.h"
#include "Settings.h"

#include <LibClaims/Claimer.h>
#include <LibDirectory/AddressDirectory.h>
#include <LibDispatch/DecisionLog.h>
#include <LibDispatch/Dispatcher.h>
#include <LibHosts/HostListPoller.h>
#include <LibHosts/HostTable.h>
#include <LibHttp/HttpServer.h>
#include <LibIntake/Intake.h>
#include <LibLedger/Ledger.h>
#include <LibLogService/LogService.h>
#include <LibPeers/PeerExchange.h>
#include <LibPeers/PeerRpc.h>
#include <absl/status/statusor.h>
#include <memory>

namespace auburnhitch {

/// One entry host's process: ties the slices to the loop and to the three listening ports.
/// Not thread-safe.
class Daemon
{
public:
  /// Listens and begins to read the log, the host list and the peers.
  /// Fails when a port can't be had.
  static absl::StatusOr<std::unique_ptr<Daemon>> Create(EventLoop& aLoop,
                                                        const Settings& aSettings);
  ~Daemon();

  /// Refuses new work, lets running work end, then stops the loop.
  void BeginDrain();

private:
  Daemon(EventLoop& aLoop, const Settings& aSettings, Incarnation aIncarnation);

  absl::Status Listen();
  void OnCallerRequest(const HttpExchangePtr& aExchange);
  void OnPeerRequest(const HttpExchangePtr& aExchange);
  void OnOperatorRequest(const HttpExchangePtr& aExchange);
  void HandleAddress(HttpExchange& aExchange);
  void HandleDocument(HttpExchange& aExchange);
  void HandlePublish(HttpExchange& aExchange);
  void HandlePublication(HttpExchange& aExchange);
  void HandleStatus(HttpExchange& aExchange);
  void HandleExplain(HttpExchange& aExchange);
  void HandleDrain(HttpExchange& aExchange);
  void HandleMetrics(HttpExchange& aExchange);
  void HandleHealth(HttpExchange& aExchange);

  PeerUpdate OwnPeerUpdate() const;
  std::vector<EntryHost> UsableEntryHosts() const;
  std::vector<SocketAddress> PeerAddresses() const;
  bool HasNewerDocuments(const PeerUpdate& aNews) const;
  SchedulerContext DependenciesOf(const ServiceName& aService) const;
  void UpdatePeerFreshness();
  void UpdateSharingDaemons();
  void ChooseLogReaders();
  void OnTick();
  void OnSlowTick();
  void FinishDrainWhenIdle();

  EventLoop& m_loop;
  Settings m_settings;
  HttpClient m_client;
  HttpClient m_control_client;
  LogService m_log;
  Ledger m_ledger;
  DecisionLog m_decisions;
  Metrics m_metrics;
  HostTable m_hosts;
  PeerTable m_peers;
  DocumentReplica m_documents;
  Claimer m_claimer;
  Dispatcher m_dispatcher;
  Intake m_intake;
  AddressDirectory m_directory;
  absl::BitGen m_generator;
  PeerExchange m_exchange;
  PeerRpcServer m_rpc;
  HostListPoller m_host_list;
  std::unique_ptr<HttpServer> m_caller_server;
  std::unique_ptr<HttpServer> m_peer_server;
  std::unique_ptr<HttpServer> m_operator_server;
  bool m_is_draining = false;
  Timer m_tick;
  Timer m_slow_tick;
};

}
