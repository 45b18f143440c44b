#pragma once

#include "FileCheck.h"
#include "OperatorClient.h"

#include <LibDocument/ServiceDocument.h>
#include <optional>
#include <string>
#include <vector>

namespace auburnhitch {

/// Exit status of the command.
enum class ExitCode : int
{
  Success = 0,
  /// The input is wrong, or the publication was refused.
  Refused = 1,
  /// The command line is wrong.
  Usage = 2,
  /// A file that is to be checked, or that the check needs, cannot be read.
  CouldNotLook = Usage,
  /// The verdict on the publication, or whether all daemons have it in force, is not known yet.
  NotKnownYet = 3,
  /// No daemon responded.
  Unreachable = 4,
};

/// Options common to all commands.
struct CommandOptions
{
  std::vector<SocketAddress> m_operators;
  bool m_json = false;
  Milliseconds m_timeout{ 10'000 };
};

/// The operator's commands. Each prints its result and returns the exit status. Not thread-safe.
class Commands
{
public:
  explicit Commands(CommandOptions aOptions);

  /// Checks a document, a configuration or a settings file locally, without contacting a daemon.
  ExitCode Check(const FileCheckOptions& aOptions);
  /// Publishes a document on top of revision aBase, or of the revision in force if there is no
  /// aBase. With aWait, also waits until all given daemons have the new revision in force.
  ExitCode Publish(const std::string& aPath, std::optional<std::int64_t> aBase, bool aWait);
  /// Prints the verdict on a publication, if a daemon knows it.
  ExitCode Publication(const std::string& aId);
  ExitCode Show(const std::string& aService);
  ExitCode Diff(const std::string& aPath);
  ExitCode Status();
  ExitCode Explain(const std::string& aIdentity);
  ExitCode Drain();
  /// Prints the rollouts whose orders are in the platform's store.
  ExitCode Rollouts(const std::string& aStore);

private:
  struct LoadedDocument
  {
    Json m_source;
    ServiceDocumentPtr m_document;
  };

  std::optional<LoadedDocument> Load(const std::string& aPath);
  absl::StatusOr<OperatorResponse> CallFirstReachable(const std::string& aMethod,
                                                      const std::string& aPath,
                                                      const std::string& aBody = {});
  absl::StatusOr<OperatorResponse> CurrentDocument(const ServiceName& aService);
  ExitCode AwaitVerdict(const std::string& aId, const ServiceName& aService, bool aWait);
  std::optional<Json> FindVerdict(const std::string& aId);
  ExitCode ReportVerdict(const std::string& aId, const Json& aVerdict);
  bool AwaitInForce(const ServiceName& aService, std::int64_t aRevision);
  ExitCode Fail(const absl::Status& aStatus, ExitCode aCode);
  void Print(const Json& aJson, const std::string& aText) const;

  CommandOptions m_options;
  OperatorClient m_client;
};

}
