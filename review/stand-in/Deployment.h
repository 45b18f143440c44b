#pragma once

#include "Net.h"

#include <condition_variable>
#include <memory>
#include <set>
#include <sys/types.h>

namespace review {

/// The platform's store: a log with keyed topics of one partition each, as PROTOCOL.md tells it.
/// Thread-safe.
class Store
{
public:
  /// What the topics held at one moment.
  struct Topic
  {
    std::vector<std::string> m_records;
    std::map<std::string, std::string> m_newest;
  };
  using Copy = std::map<std::string, Topic>;

  explicit Store(const std::string& aIp);

  /// Opens one more address of the store, whose readers see the values with the replacements.
  std::string AddView(const std::string& aIp, std::map<std::string, std::string> aReplacements);
  const std::string& Address() const { return m_server.Address(); }
  /// Closes one view, as the store does that turns one machine away.
  void SetViewClosed(std::size_t aView, bool aIsClosed) { m_views.at(aView)->SetClosed(aIsClosed); }

  /// Writes a record; without a value it drops the key. Returns its offset.
  std::size_t Put(const std::string& aTopic, const std::string& aKey, const std::string& aValue);
  std::size_t End(const std::string& aTopic) const;
  Copy TakeCopy() const;
  /// Is away for a moment, and comes back from the copy with the next era.
  void RestoreFrom(const Copy& aCopy, int aAwayMs);
  /// Is away for a moment, and comes back as it was.
  void GoAway(int aAwayMs);

private:
  void Serve(Socket& aSocket, const std::map<std::string, std::string>& aReplacements);
  std::string Reply(const Message& aRequest,
                    const std::map<std::string, std::string>& aReplacements);
  std::string ReplyToRead(const Message& aRequest,
                          const std::map<std::string, std::string>& aReplacements);
  std::string ReplyToNewest(const Message& aRequest,
                            const std::map<std::string, std::string>& aReplacements);
  std::string ReplyToAppend(const Message& aRequest);

  mutable std::mutex m_mutex;
  std::condition_variable m_changed;
  Copy m_topics;
  int m_era = 1;
  std::vector<std::unique_ptr<Server>> m_views;
  Server m_server;
};

/// One request that a server has run.
struct Run
{
  std::int64_t m_at_ms;
  std::string m_request_id;
  std::string m_path;
  std::string m_tenant;
  std::string m_body;
};

/// A server of a plain service. It turns away requests for another instance with 421. Thread-safe.
class AppServer
{
public:
  /// Runs one request: returns the body of the response.
  using Work = std::function<std::string(const Message& aRequest)>;

  AppServer(const std::string& aIp, std::string aId, std::string aService);

  const std::string& Id() const { return m_id; }
  const std::string& Service() const { return m_service; }
  const std::string& Address() const { return m_server->Address(); }
  /// Opens one more address of this server, as the path of one machine. Returns it.
  std::string AddPath();
  /// Cuts the path of that machine: connections are reset, new ones are refused.
  void CutPath() { m_path->Refuse(); }
  void SetWork(Work aWork);
  /// The entry of this server in the store, with its state.
  std::string Entry(const std::string& aState) const;
  std::vector<Run> Runs() const;
  /// How often a request has run.
  int RunsOf(const std::string& aRequestId) const;
  /// Ends the server: open connections are reset, new ones too.
  void End() { m_server->SetClosed(true); }

private:
  void Serve(Socket& aSocket);

  std::string m_ip;
  std::string m_id;
  std::string m_service;
  std::int64_t m_born_ms;
  mutable std::mutex m_mutex;
  Work m_work;
  std::vector<Run> m_runs;
  std::unique_ptr<Server> m_path;
  std::unique_ptr<Server> m_server;
};

struct DaemonOptions
{
  std::string m_host;
  std::string m_zone;
  std::string m_ip;
  std::string m_store_address;
  /// Share of a core.
  std::string m_processor_share = "0.25";
};

/// One process of the system, started with the command of the deploy file.
class DaemonProcess
{
public:
  /// aDirectory: where its settings file and its log are written.
  DaemonProcess(std::string aProgram, const std::string& aDirectory, const DaemonOptions& aOptions);
  ~DaemonProcess();
  DaemonProcess(const DaemonProcess&) = delete;
  DaemonProcess& operator=(const DaemonProcess&) = delete;

  void Start();
  void Signal(int aSignal) const;
  /// Whether the process has ended; reaps it.
  bool HasEnded();
  const std::string& Host() const { return m_host; }
  const std::string& CallerAddress() const { return m_caller_address; }
  bool IsReady() const;
  std::string Log() const;

private:
  std::string m_program;
  std::string m_host;
  std::string m_caller_address;
  std::string m_readiness_address;
  std::string m_settings_path;
  std::string m_log_path;
  pid_t m_process = -1;
};

struct Answer
{
  /// 0 without a head.
  int m_status = 0;
  bool m_is_complete = false;
  std::string m_seal;
  std::string m_request_id;
  std::string m_body;
};

struct Call
{
  std::string m_method = "POST";
  std::string m_path;
  std::string m_request_id;
  std::string m_key;
  std::string m_body;
  int m_deadline_ms = 1'500;
};

/// The bytes of a request as clients send it.
std::string
BytesOf(const Call& aCall);
Answer
ToAnswer(const std::optional<Message>& aMessage);
/// Sends a request over a new connection and waits for the answer until its deadline.
Answer
Send(const std::string& aAddress, const Call& aCall);

/// Waits until all daemons are ready. Returns false if they aren't within 20 s.
bool
WaitUntilReady(const std::vector<std::unique_ptr<DaemonProcess>>& aDaemons);

/// Whether the environment asks for the disruption: TROUBLE is not 0.
bool
HasTrouble();

/// Ends the process with the exit status of a case, after its daemons have been killed.
constexpr int kRuleHeld = 0;
constexpr int kRuleBroken = 1;
constexpr int kCouldNotRun = 2;

}
