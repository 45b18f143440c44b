#pragma once

#include <LibRegistry/EndpointRegistry.h>
#include <deque>

namespace auburnhitch {

/// Which endpoint sent the first event of a resumable stream, and its software version. A stream is
/// identified by the request in whose response its first event arrived.
struct StreamOrigin
{
  std::string m_stream;
  EndpointId m_endpoint;
  /// Empty if it is ambiguous.
  SoftwareVersion m_version;

  auto operator<=>(const StreamOrigin&) const = default;
};

/// An origin and its age, which is the same on all daemons although they share no clock.
struct AgedStreamOrigin
{
  StreamOrigin m_origin;
  /// How long ago it became known.
  Milliseconds m_age{ 0 };

  auto operator<=>(const AgedStreamOrigin&) const = default;
};

/// The origins of recent streams. Its size is bounded: the oldest origins are dropped first. Owns
/// no clock. Not thread-safe.
class StreamVersions
{
public:
  struct Limits
  {
    /// Callers resume no stream that is older than this.
    Milliseconds m_retention{ 20'000 };
    std::size_t m_max_streams = 50'000;
    /// Streams with longer ids are not recorded.
    std::size_t m_max_id_bytes = 128;
    /// How long after an endpoint has started the daemons may still have its previous registration.
    Milliseconds m_registration_lag{ 3'000 };
  };

  /// What is known of a stream.
  struct Knowledge
  {
    bool m_is_known = false;
    /// Nothing if the stream is known, but its version is ambiguous or it belongs to another
    /// service.
    std::optional<SoftwareVersion> m_version;

    auto operator<=>(const Knowledge&) const = default;
  };

  explicit StreamVersions(Limits aLimits)
    : m_limits(aLimits)
  {
  }

  /// Records an origin. A stream with origins of two versions is ambiguous. Returns whether the
  /// stream is new.
  bool Record(const ServiceName& aService, const AgedStreamOrigin& aOrigin, TimePoint aNow);
  Knowledge Find(const ServiceName& aService, const std::string& aStream, TimePoint aNow) const;
  /// The origins of a service's streams.
  std::vector<AgedStreamOrigin> OriginsOf(const ServiceName& aService, TimePoint aNow) const;
  /// Called when an endpoint has registered another version under its id. The streams whose origin
  /// it became within the registration lag are ambiguous: either version may have served them.
  void OnVersionChanged(const EndpointId& aEndpoint, TimePoint aNow);

  std::size_t Size() const { return m_streams.size(); }

private:
  struct Entry
  {
    ServiceName m_service;
    EndpointId m_endpoint;
    std::optional<SoftwareVersion> m_version;
    TimePoint m_recorded_at;
  };

  void DropExpired(TimePoint aNow);

  Limits m_limits;
  absl::flat_hash_map<std::string, Entry> m_streams;
  /// Streams in the order in which they were recorded.
  std::deque<std::string> m_order;
};

}
