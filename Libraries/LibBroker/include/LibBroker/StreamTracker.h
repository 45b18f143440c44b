#pragma once

#include <LibBroker/SlotMessages.h>
#include <LibCluster/Membership.h>
#include <LibHttp/EventLoop.h>
#include <functional>
#include <map>

namespace auburnhitch {

/// Tracks which software version sent the first event of each recent stream, so that a stream which
/// its caller resumes, at this daemon or another one, continues at that version only. An origin is
/// held by the daemon that served the stream, by the coordinator of its service, and by the daemon
/// that succeeds the coordinator: the loss of any two of them loses no origin. Not thread-safe.
class StreamTracker
{
public:
  using VersionHandler = std::function<void(const std::optional<SoftwareVersion>& aVersion)>;

  struct Dependencies
  {
    EventLoop* m_loop = nullptr;
    /// Whether this daemon coordinates a service.
    std::function<bool(const ServiceName& aService)> m_is_coordinator;
    /// The daemon that holds a replica of this one's origins of a service: the coordinator, or its
    /// successor if this daemon is the coordinator. Nothing if there is no other daemon.
    std::function<std::optional<Member>(const ServiceName& aService)> m_replica;
    std::function<void(const Member& aDaemon, const SlotMessage& aMessage)> m_send;
    /// The version that sent the first event of all streams of a service that callers may resume;
    /// nothing if there may be several.
    std::function<std::optional<SoftwareVersion>(const ServiceName& aService)> m_only_version;
  };

  StreamTracker(StreamVersions::Limits aLimits, Dependencies aDependencies);
  StreamTracker(const StreamTracker&) = delete;
  StreamTracker& operator=(const StreamTracker&) = delete;

  /// Records the origin of a stream. To be called before its first event is forwarded.
  void RecordOrigin(const ServiceName& aService, const StreamOrigin& aOrigin);
  /// Whether a stream may be of a version as far as this daemon knows. It may not if a later
  /// registration has made its origin ambiguous.
  bool MayBeOfVersion(const ServiceName& aService,
                      const std::string& aStream,
                      const SoftwareVersion& aVersion) const;
  /// Finds the version that sent the first event of a stream; nothing if it is unknown or
  /// ambiguous. The handler is called from the event loop, never from inside Find(). Returns a
  /// number for Cancel().
  std::uint64_t Find(const ServiceName& aService,
                     const std::string& aStream,
                     VersionHandler aHandler);
  void Cancel(std::uint64_t aNumber) { m_lookups.erase(aNumber); }

  void OnOrigins(const StreamOriginsMessage& aMessage);
  /// Answers another daemon's lookup.
  StreamVersionMessage OnLookup(const StreamLookupMessage& aMessage) const;
  void OnVersion(const StreamVersionMessage& aMessage);
  /// Reports all origins of a service if another daemon holds the replica than before. Returns the
  /// daemon that holds it.
  std::optional<Member> UpdateReplica(const ServiceName& aService);
  /// An endpoint has registered another software version under its id.
  void OnVersionChanged(const EndpointId& aEndpoint);
  /// Calls UpdateReplica() for each service.
  void UpdateReplicas();
  /// Ends the lookups that the coordinator does not answer. Call every few tens of milliseconds.
  void Tick();

private:
  struct Lookup
  {
    ServiceName m_service;
    std::string m_stream;
    VersionHandler m_handler;
    TimePoint m_started_at;
    /// The coordinator that was asked last.
    Incarnation m_asked;
  };

  /// Sends a lookup to the coordinator, or resolves it if this daemon is the coordinator or knows
  /// the stream.
  void Ask(std::uint64_t aNumber, Lookup& aLookup);
  void Report(const ServiceName& aService,
              const std::optional<Member>& aReplica,
              const std::vector<AgedStreamOrigin>& aOrigins);
  /// The version of a stream as far as this daemon knows without a lookup.
  std::optional<SoftwareVersion> KnownVersion(const ServiceName& aService,
                                              const std::string& aStream) const;
  void Resolve(std::uint64_t aNumber, const std::optional<SoftwareVersion>& aVersion);

  Dependencies m_dependencies;
  StreamVersions m_streams;
  /// The incarnation that holds the replica of each service.
  std::map<ServiceName, Incarnation> m_replicas;
  std::uint64_t m_last_number = 0;
  std::map<std::uint64_t, Lookup> m_lookups;
};

}
