#pragma once

#include <LibCluster/KeyedRecord.h>
#include <LibCluster/Membership.h>
#include <LibCluster/TopicPositions.h>
#include <absl/strings/string_view.h>
#include <vector>

namespace auburnhitch {

/// A record as a store reader forwards it; nothing in place of one that is too large for a datagram
/// and has to be read from the store.
using ForwardedRecord = std::optional<KeyedRecord>;

/// Records that a store reader has read from a topic and forwards to other daemons. Immutable.
struct RecordsMessage
{
  HostName m_sender;
  /// The sender's incarnation. It is random, so a message that states it comes from a daemon that
  /// takes part in the exchange of heartbeats.
  Incarnation m_incarnation;
  std::string m_topic;
  StoreEra m_era = 0;
  std::uint64_t m_first_offset = 0;
  /// The records from m_first_offset on, one for each offset.
  std::vector<ForwardedRecord> m_records;

  /// The offset after the last record. Does not overflow in a decoded message.
  std::uint64_t EndOffset() const { return m_first_offset + m_records.size(); }

  auto operator<=>(const RecordsMessage&) const = default;
};

/// The most datagrams that one message is encoded into. A reader that has been paused reads a long
/// backlog; the daemons that miss the rest of it read the store.
constexpr std::size_t kMaxRecordsDatagrams = 16;

/// Encodes records as datagrams of at most 1,400 bytes each, in order of their offsets. Records
/// beyond kMaxRecordsDatagrams are left out.
std::vector<std::string>
EncodeRecords(const RecordsMessage& aMessage);

/// Returns nothing when the bytes are not a valid datagram of records.
std::optional<RecordsMessage>
DecodeRecords(absl::string_view aBytes);

}
