#pragma once

#include <LibBroker/SlotMessages.h>
#include <LibCluster/Membership.h>
#include <LibHttp/EventLoop.h>
#include <functional>
#include <map>

namespace auburnhitch {

/// Knows which software version began each recent stream, so that a stream which is taken up again,
/// at this daemon or another one, goes on at that version only. Origins are kept by the daemon that
/// served the stream, by the coordinator of its service, which is told before the caller gets the
/// first event, and by the daemon that is next in line as coordinator, so that the loss of any two
/// of them is borne. Not thread-safe.
class StreamTracker
{
public:
  using VersionHandler = std::function<void(const std::optional<SoftwareVersion>& aVersion)>;

  struct Dependencies
  {
    EventLoop* m_loop = nullptr;
    /// Whether this daemon coordinates a service.
    std::function<bool(const ServiceName& aService)> m_is_coordinator;
    /// The daemon to which this one reports the streams of a service: the coordinator, or the next
    /// in line if this daemon is the coordinator. Nothing if there is no other daemon.
    std::function<std::optional<Member>(const ServiceName& aService)> m_keeper;
    std::function<void(const Member& aDaemon, const SlotMessage& aMessage)> m_send;
    /// The version that has begun all streams of a service that callers may take up again, if there
    /// is only one.
    std::function<std::optional<SoftwareVersion>(const ServiceName& aService)> m_only_version;
  };

  StreamTracker(StreamVersions::Limits aLimits, Dependencies aDependencies);
  StreamTracker(const StreamTracker&) = delete;
  StreamTracker& operator=(const StreamTracker&) = delete;

  /// Records a stream that an endpoint has begun. To be called before its first event is forwarded.
  void RecordBegun(const ServiceName& aService, const StreamOrigin& aOrigin);
  /// Whether a stream that this daemon has recorded is still known to be of one version. A later
  /// registration may have shown that another version of its endpoint may have begun it.
  bool IsOf(const ServiceName& aService,
            const std::string& aStream,
            const SoftwareVersion& aVersion) const;
  /// Finds the version that began a stream; nothing if it is unknown or ambiguous. The handler is
  /// called from the event loop, never from inside Find(). Returns a number for Cancel().
  std::uint64_t Find(const ServiceName& aService,
                     const std::string& aStream,
                     VersionHandler aHandler);
  void Cancel(std::uint64_t aNumber) { m_lookups.erase(aNumber); }

  void OnOrigins(const StreamOriginsMessage& aMessage);
  /// Answers another daemon's lookup.
  StreamVersionMessage OnLookup(const StreamLookupMessage& aMessage) const;
  void OnVersion(const StreamVersionMessage& aMessage);
  /// Reports all streams of a service if they are to be kept by another daemon than before.
  /// Returns the daemon that keeps them.
  std::optional<Member> UpdateKeeper(const ServiceName& aService);
  /// An endpoint has registered another software version under its id.
  void OnVersionChanged(const EndpointId& aEndpoint);
  /// Updates the keepers of all services.
  void UpdateKeepers();
  /// Ends the lookups that the coordinator does not answer. Call every few
  /// tens of milliseconds.
  void Tick();

private:
  struct Lookup
  {
    ServiceName m_service;
    std::string m_stream;
    VersionHandler m_handler;
    TimePoint m_begun_at;
    /// The coordinator that was asked last.
    Incarnation m_asked;
  };

  /// Sends a lookup to the coordinator, or resolves it if this daemon knows as much.
  void Ask(std::uint64_t aNumber, Lookup& aLookup);
  void Report(const ServiceName& aService,
              const std::optional<Member>& aKeeper,
              const std::vector<AgedStreamOrigin>& aOrigins);
  /// What this daemon knows by itself.
  std::optional<SoftwareVersion> KnownVersion(const ServiceName& aService,
                                              const std::string& aStream) const;
  void Resolve(std::uint64_t aNumber, const std::optional<SoftwareVersion>& aVersion);

  Dependencies m_dependencies;
  StreamVersions m_streams;
  /// The incarnation that keeps the streams of each service.
  std::map<ServiceName, Incarnation> m_keepers;
  std::uint64_t m_last_number = 0;
  std::map<std::uint64_t, Lookup> m_lookups;
};

}
