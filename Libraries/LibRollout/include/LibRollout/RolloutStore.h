#pragma once

#include <LibRollout/RolloutState.h>
#include <absl/status/statusor.h>
#include <functional>

namespace auburnhitch {

/// Keeps the states of rollouts where they survive the loss of all daemons. Handlers are called
/// from the event loop, never from inside the call. Not thread-safe.
class RolloutStore
{
public:
  using LoadHandler = std::function<void(absl::StatusOr<std::optional<RolloutState>>)>;
  using StatusHandler = std::function<void(absl::Status)>;

  RolloutStore() = default;
  virtual ~RolloutStore() = default;
  RolloutStore(const RolloutStore&) = delete;
  RolloutStore& operator=(const RolloutStore&) = delete;

  /// Reads the newest state of a service; nothing if there is none.
  virtual void Load(const ServiceName& aService, LoadHandler aHandler) = 0;
  /// Writes a state unless another decider has written since the last Load() or Save() of the
  /// service: that fails with Aborted, and Load() must be called before the next Save(). After
  /// another error the state may have been written, and the same call may be made again.
  /// Precondition: no other call for the service is in progress.
  virtual void Save(const RolloutState& aState, StatusHandler aHandler) = 0;
  /// Writes the status that operators read. Fails with Aborted as Save() does. May be repeated.
  virtual void Publish(const RolloutState& aState, StatusHandler aHandler) = 0;
};

}
