#include <LibBroker/StreamTracker.h>

#include <LibCore/Log.h>
#include <algorithm>

namespace auburnhitch {

namespace {

// A round trip within a region takes a few milliseconds, a change of a coordinator that does not
// respond a few hundred.
constexpr Milliseconds kLookupTimeout{ 500 };
// Keeps a message well below the size limit of a link.
constexpr std::size_t kMaxOriginsPerMessage = 100;

}

StreamTracker::StreamTracker(StreamVersions::Limits aLimits, Dependencies aDependencies)
  : m_dependencies(std::move(aDependencies))
  , m_streams(aLimits)
{
}

void
StreamTracker::RecordOrigin(const ServiceName& aService, const StreamOrigin& aOrigin)
{
  const auto replica = UpdateReplica(aService);
  const AgedStreamOrigin origin{ aOrigin, Milliseconds(0) };
  if (m_streams.Record(aService, origin, m_dependencies.m_loop->Now())) {
    Report(aService, replica, { origin });
  }
}

bool
StreamTracker::MayBeOfVersion(const ServiceName& aService,
                              const std::string& aStream,
                              const SoftwareVersion& aVersion) const
{
  const auto knowledge = m_streams.Find(aService, aStream, m_dependencies.m_loop->Now());
  return !knowledge.m_is_known || knowledge.m_version == aVersion;
}

std::optional<SoftwareVersion>
StreamTracker::KnownVersion(const ServiceName& aService, const std::string& aStream) const
{
  const auto knowledge = m_streams.Find(aService, aStream, m_dependencies.m_loop->Now());
  return knowledge.m_is_known ? knowledge.m_version : m_dependencies.m_only_version(aService);
}

std::uint64_t
StreamTracker::Find(const ServiceName& aService,
                    const std::string& aStream,
                    VersionHandler aHandler)
{
  const std::uint64_t number = ++m_last_number;
  Lookup& lookup = m_lookups[number];
  lookup =
    Lookup{ aService, aStream, std::move(aHandler), m_dependencies.m_loop->Now(), Incarnation() };
  Ask(number, lookup);
  return number;
}

void
StreamTracker::Ask(std::uint64_t aNumber, Lookup& aLookup)
{
  const bool is_known =
    m_streams.Find(aLookup.m_service, aLookup.m_stream, m_dependencies.m_loop->Now()).m_is_known;
  const auto coordinator = m_dependencies.m_replica(aLookup.m_service);
  if (is_known || !coordinator || m_dependencies.m_is_coordinator(aLookup.m_service)) {
    m_dependencies.m_loop->Defer(
      [this, aNumber, version = KnownVersion(aLookup.m_service, aLookup.m_stream)] {
        Resolve(aNumber, version);
      });
    return;
  }
  aLookup.m_asked = coordinator->m_incarnation;
  m_dependencies.m_send(*coordinator,
                        StreamLookupMessage{ aNumber, aLookup.m_service, aLookup.m_stream });
}

void
StreamTracker::Resolve(std::uint64_t aNumber, const std::optional<SoftwareVersion>& aVersion)
{
  const auto found = m_lookups.find(aNumber);
  if (found == m_lookups.end()) {
    return;
  }
  const VersionHandler handler = std::move(found->second.m_handler);
  m_lookups.erase(found);
  handler(aVersion);
}

void
StreamTracker::OnOrigins(const StreamOriginsMessage& aMessage)
{
  // Only new origins are relayed: two daemons that each consider the other one the successor would
  // otherwise send them to each other without end.
  std::vector<AgedStreamOrigin> added;
  for (const AgedStreamOrigin& origin : aMessage.m_origins) {
    if (m_streams.Record(aMessage.m_service, origin, m_dependencies.m_loop->Now())) {
      added.push_back(origin);
    }
  }
  if (!added.empty() && m_dependencies.m_is_coordinator(aMessage.m_service)) {
    Report(aMessage.m_service, UpdateReplica(aMessage.m_service), added);
  }
}

StreamVersionMessage
StreamTracker::OnLookup(const StreamLookupMessage& aMessage) const
{
  return { aMessage.m_number, KnownVersion(aMessage.m_service, aMessage.m_stream) };
}

void
StreamTracker::OnVersion(const StreamVersionMessage& aMessage)
{
  const auto found = m_lookups.find(aMessage.m_number);
  if (found == m_lookups.end()) {
    return;
  }
  const Lookup lookup = found->second;
  Resolve(aMessage.m_number,
          aMessage.m_version ? aMessage.m_version
                             : KnownVersion(lookup.m_service, lookup.m_stream));
}

std::optional<Member>
StreamTracker::UpdateReplica(const ServiceName& aService)
{
  auto replica = m_dependencies.m_replica(aService);
  Incarnation& known = m_replicas[aService];
  const Incarnation now = replica ? replica->m_incarnation : Incarnation();
  if (now == known) {
    return replica;
  }
  known = now;
  Report(aService, replica, m_streams.OriginsOf(aService, m_dependencies.m_loop->Now()));
  for (auto& [number, lookup] : m_lookups) {
    if (lookup.m_service == aService && lookup.m_asked != now) {
      Ask(number, lookup);
    }
  }
  return replica;
}

void
StreamTracker::UpdateReplicas()
{
  for (const auto& [service, replica] : m_replicas) {
    UpdateReplica(service);
  }
}

void
StreamTracker::Report(const ServiceName& aService,
                      const std::optional<Member>& aReplica,
                      const std::vector<AgedStreamOrigin>& aOrigins)
{
  if (!aReplica) {
    return;
  }
  for (std::size_t first = 0; first < aOrigins.size(); first += kMaxOriginsPerMessage) {
    const std::size_t end = std::min(first + kMaxOriginsPerMessage, aOrigins.size());
    m_dependencies.m_send(
      *aReplica,
      StreamOriginsMessage{ aService,
                            { aOrigins.begin() + static_cast<std::ptrdiff_t>(first),
                              aOrigins.begin() + static_cast<std::ptrdiff_t>(end) } });
  }
}

void
StreamTracker::OnVersionChanged(const EndpointId& aEndpoint)
{
  m_streams.OnVersionChanged(aEndpoint, m_dependencies.m_loop->Now());
}

void
StreamTracker::Tick()
{
  const TimePoint now = m_dependencies.m_loop->Now();
  std::vector<std::uint64_t> unanswered;
  for (const auto& [number, lookup] : m_lookups) {
    if (now - lookup.m_started_at > kLookupTimeout) {
      unanswered.push_back(number);
    }
  }
  for (const std::uint64_t number : unanswered) {
    // The handler of an earlier one may have cancelled it.
    const auto found = m_lookups.find(number);
    if (found == m_lookups.end()) {
      continue;
    }
    const Lookup lookup = found->second;
    LogOf("broker").warn(
      "event=lookup-unanswered stream={} service={}", lookup.m_stream, lookup.m_service.Value());
    Resolve(number, KnownVersion(lookup.m_service, lookup.m_stream));
  }
}

}
