#include <LibCluster/ForwardedRecordBuffer.h>

#include <algorithm>

namespace auburnhitch {

std::size_t
ForwardedRecordBuffer::BytesOf(const ForwardedRecord& aRecord)
{
  return aRecord ? aRecord->m_key.size() + aRecord->m_value.value_or("").size() : 0;
}

ForwardedRecordBuffer::Added
ForwardedRecordBuffer::Add(std::uint64_t aFirstOffset,
                           const std::vector<ForwardedRecord>& aRecords,
                           std::uint64_t aNext)
{
  EraseBefore(aNext);
  Added added;
  std::uint64_t offset = aFirstOffset;
  for (const ForwardedRecord& record : aRecords) {
    const std::uint64_t record_offset = offset++;
    const std::size_t bytes = BytesOf(record);
    if (record_offset < aNext || m_records.contains(record_offset)) {
      ++added.m_repeated;
    } else if (m_records.size() >= m_limits.m_max_records ||
               m_bytes + bytes > m_limits.m_max_bytes) {
      ++added.m_dropped;
    } else {
      m_records.emplace(record_offset, record);
      m_bytes += bytes;
      ++added.m_kept;
    }
  }
  return added;
}

std::vector<KeyedRecord>
ForwardedRecordBuffer::Take(std::uint64_t aNext)
{
  EraseBefore(aNext);
  std::vector<KeyedRecord> taken;
  for (auto at = m_records.begin();
       at != m_records.end() && at->first == aNext + taken.size() && at->second;
       at = m_records.erase(at)) {
    m_bytes -= BytesOf(at->second);
    taken.push_back(*std::move(at->second));
  }
  return taken;
}

void
ForwardedRecordBuffer::EraseBefore(std::uint64_t aNext)
{
  while (!m_records.empty() && m_records.begin()->first < aNext) {
    m_bytes -= BytesOf(m_records.begin()->second);
    m_records.erase(m_records.begin());
  }
}

void
ForwardedRecordBuffer::Announce(std::uint64_t aEndOffset, std::uint64_t aNext, TimePoint aNow)
{
  if (aEndOffset <= aNext ||
      (!m_announcements.empty() && aEndOffset <= m_announcements.back().m_end_offset)) {
    return;
  }
  if (m_announcements.size() >= m_limits.m_max_announcements) {
    // The earlier time makes the store be read sooner, never later.
    m_announcements.back().m_end_offset = aEndOffset;
    return;
  }
  m_announcements.push_back({ aEndOffset, aNow });
}

std::optional<TimePoint>
ForwardedRecordBuffer::MissingSince(std::uint64_t aNext)
{
  while (!m_announcements.empty() && m_announcements.front().m_end_offset <= aNext) {
    m_announcements.pop_front();
  }
  return m_announcements.empty() ? std::nullopt : std::optional(m_announcements.front().m_at);
}

bool
ForwardedRecordBuffer::IsNextTooLarge(std::uint64_t aNext) const
{
  const auto found = m_records.find(aNext);
  return found != m_records.end() && !found->second;
}

void
ForwardedRecordBuffer::Clear()
{
  m_records.clear();
  m_bytes = 0;
  m_announcements.clear();
}

std::vector<KeyedRecord>
WithoutApplied(std::vector<KeyedRecord> aRecords, std::uint64_t aFrom, std::uint64_t aNext)
{
  const auto applied = std::min<std::uint64_t>(aNext - aFrom, aRecords.size());
  aRecords.erase(aRecords.begin(), aRecords.begin() + static_cast<std::ptrdiff_t>(applied));
  return aRecords;
}

}
