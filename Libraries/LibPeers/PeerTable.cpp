#include <LibPeers/PeerTable.h>

#include <algorithm>

namespace auburnhitch {

namespace {

constexpr int kSilentSpans = 20;

}

Json
PeerUpdate::ToJson() const
{
  Json documents = Json::object();
  for (const auto& [service, held] : m_documents) {
    documents[service.Value()] =
      Json{ { "revision", held.m_revision }, { "offset", held.m_offset } };
  }
  Json waiting = Json::object();
  for (const auto& [service, tiers] : m_waiting) {
    waiting[service.Value()] = tiers;
  }
  return Json{ { "host", m_host.Value() },
               { "data_center", m_data_center.Value() },
               { "incarnation", m_permit.m_incarnation.Value() },
               { "period", m_permit.m_period },
               { "caller_address", m_caller_address.Value() },
               { "peer_address", m_peer_address.Value() },
               { "leaving", m_is_leaving },
               { "settled", m_is_settled },
               { "position", m_position },
               { "documents", std::move(documents) },
               { "waiting", std::move(waiting) } };
}

std::optional<PeerUpdate>
PeerUpdate::FromJson(const Json& aJson, Findings& aFindings)
{
  Findings found;
  PeerUpdate news;
  JsonObjectReader reader(aJson, "", found);
  news.m_host = HostName(reader.RequiredString("host"));
  news.m_data_center = DataCenterName(reader.RequiredString("data_center"));
  news.m_permit.m_incarnation = Incarnation(reader.RequiredString("incarnation"));
  news.m_permit.m_period = reader.RequiredInteger("period", 0, INT64_MAX);
  news.m_caller_address = SocketAddress(reader.RequiredString("caller_address"));
  news.m_peer_address = SocketAddress(reader.RequiredString("peer_address"));
  news.m_is_leaving = reader.OptionalBool("leaving", false);
  news.m_is_settled = reader.OptionalBool("settled", false);
  news.m_position = reader.RequiredInteger("position", 0, INT64_MAX);
  if (const Json* documents = reader.Member("documents"); documents && documents->is_object()) {
    for (const auto& entry : documents->items()) {
      JsonObjectReader held(entry.value(), "/documents/" + entry.key(), found);
      news.m_documents[ServiceName(entry.key())] =
        HeldRevision{ held.RequiredInteger("revision", 1, INT64_MAX),
                      held.RequiredInteger("offset", 0, INT64_MAX) };
    }
  }
  if (const Json* waiting = reader.Member("waiting"); waiting && waiting->is_object()) {
    JsonObjectReader services(*waiting, "/waiting", found);
    for (const auto& entry : waiting->items()) {
      auto& tiers = news.m_waiting[ServiceName(entry.key())];
      services.ForEach(
        entry.key().c_str(), 0, [&](const Json& aCount, const std::string& aJsonPointer) {
          if (!aCount.is_number_unsigned()) {
            found.Add(aJsonPointer, "must be a count");
            return;
          }
          tiers.push_back(aCount.get<std::size_t>());
        });
    }
  }
  aFindings.Append(found);
  if (!found.IsEmpty()) {
    return std::nullopt;
  }
  return news;
}

void
PeerTable::Update(const PeerUpdate& aUpdate, TimePoint aNow)
{
  m_peers[aUpdate.m_peer_address] = ReceivedUpdate{ aUpdate, aNow };
}

std::vector<PeerUpdate>
PeerTable::Fresh(TimePoint aNow) const
{
  std::vector<PeerUpdate> fresh;
  for (const auto& [address, heard] : m_peers) {
    if (aNow - heard.m_received_at <= m_max_age) {
      fresh.push_back(heard.m_update);
    }
  }
  return fresh;
}

std::vector<PeerUpdate>
PeerTable::All() const
{
  std::vector<PeerUpdate> all;
  for (const auto& [address, heard] : m_peers) {
    all.push_back(heard.m_update);
  }
  return all;
}

std::optional<std::size_t>
PeerTable::HighestTierWaiting(const ServiceName& aService, TimePoint aNow) const
{
  std::optional<std::size_t> highest;
  for (const auto& [address, heard] : m_peers) {
    const auto waiting = heard.m_update.m_waiting.find(aService);
    if (aNow - heard.m_received_at > m_max_age || waiting == heard.m_update.m_waiting.end()) {
      continue;
    }
    const auto& tiers = waiting->second;
    const auto first =
      std::find_if(tiers.begin(), tiers.end(), [](std::size_t aCount) { return aCount > 0; });
    const auto tier = static_cast<std::size_t>(first - tiers.begin());
    if (first != tiers.end() && (!highest || tier < *highest)) {
      highest = tier;
    }
  }
  return highest;
}

void
PeerTable::RemoveSilent(TimePoint aNow)
{
  std::erase_if(m_peers, [&](const auto& aEntry) {
    return aNow - aEntry.second.m_received_at > m_max_age * kSilentSpans;
  });
}

}
