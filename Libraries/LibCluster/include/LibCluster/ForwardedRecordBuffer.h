#pragma once

#include <LibCluster/RecordsMessage.h>
#include <LibCore/Time.h>
#include <deque>
#include <map>

namespace auburnhitch {

/// Decides which forwarded records of a topic may be applied, and since when records that exist in
/// the store are missing. Responds to the rate of new records and to datagrams that are lost,
/// repeated or out of order. All offsets are of one era of the store; aNext is the offset of the
/// next record to apply. Pure: owns no clock. Not thread-safe.
class ForwardedRecordBuffer
{
public:
  struct Limits
  {
    /// Records kept while an earlier one is missing: a few datagrams of registrations.
    std::size_t m_max_records = 128;
    /// Bytes of their keys and values.
    std::size_t m_max_bytes = 128 << 10;
    /// Announced ends whose times are told apart.
    std::size_t m_max_announcements = 64;
  };

  explicit ForwardedRecordBuffer(Limits aLimits)
    : m_limits(aLimits)
  {
  }

  /// What became of the records of a message, in numbers of records.
  struct Added
  {
    std::size_t m_kept = 0;
    /// Applied already, or kept already.
    std::size_t m_repeated = 0;
    /// Beyond the limits.
    std::size_t m_dropped = 0;

    auto operator<=>(const Added&) const = default;
  };

  /// Keeps the records from aFirstOffset on.
  Added Add(std::uint64_t aFirstOffset,
            const std::vector<ForwardedRecord>& aRecords,
            std::uint64_t aNext);
  /// Removes and returns the records that follow directly on what has been applied, and forgets
  /// earlier ones.
  std::vector<KeyedRecord> Take(std::uint64_t aNext);
  /// Records that the store has records up to aEndOffset.
  void Announce(std::uint64_t aEndOffset, std::uint64_t aNext, TimePoint aNow);
  /// Since when the next record has been known to exist without having been forwarded; nothing if
  /// it is not known to exist.
  std::optional<TimePoint> MissingSince(std::uint64_t aNext);
  /// Whether the next record is known not to be forwarded, since it is too large for a datagram.
  bool IsNextTooLarge(std::uint64_t aNext) const;
  /// Forgets all records and announcements: the store has gone back, or has no records after the
  /// present end.
  void Clear();

private:
  struct Announcement
  {
    std::uint64_t m_end_offset = 0;
    TimePoint m_at;
  };

  static std::size_t BytesOf(const ForwardedRecord& aRecord);
  void EraseBefore(std::uint64_t aNext);

  Limits m_limits;
  std::map<std::uint64_t, ForwardedRecord> m_records;
  std::size_t m_bytes = 0;
  /// Ends beyond what has been applied, in rising order, and when each was first announced.
  std::deque<Announcement> m_announcements;
};

/// The records of a read from aFrom on that have not been applied yet. aNext: the offset of the
/// next record to apply, at least aFrom.
std::vector<KeyedRecord>
WithoutApplied(std::vector<KeyedRecord> aRecords, std::uint64_t aFrom, std::uint64_t aNext);

}
