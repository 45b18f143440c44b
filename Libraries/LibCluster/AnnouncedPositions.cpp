#include <LibCluster/AnnouncedPositions.h>

#include <array>

namespace auburnhitch {

namespace {

constexpr std::array kOffsets{ &TopicPositions::m_configuration,
                               &TopicPositions::m_registrations,
                               &TopicPositions::m_members };

}

AnnouncedPositions::Meaning
AnnouncedPositions::Record(const Member& aSender,
                           const TopicPositions& aPositions,
                           std::optional<StoreEra> aOwnEra)
{
  if (!aPositions.m_era) {
    if (!aSender.m_is_reader) {
      // A daemon that does not tell the era may not know that the store has gone back, unless it
      // reads the store all the time.
      return aOwnEra ? Meaning::Ignored : Meaning::Comparable;
    }
    return HasGoneBack(aSender, aPositions) ? Meaning::StoreMayHaveGoneBack : Meaning::Comparable;
  }
  if (aPositions.m_era == aOwnEra) {
    return Meaning::Comparable;
  }
  const bool is_news = aPositions.m_era > aOwnEra && aPositions.m_era > m_highest_era;
  if (!is_news) {
    return Meaning::Ignored;
  }
  m_highest_era = aPositions.m_era;
  return Meaning::StoreMayHaveGoneBack;
}

bool
AnnouncedPositions::HasGoneBack(const Member& aSender, const TopicPositions& aPositions)
{
  Announcement& last = m_without_era[aSender.m_host];
  if (last.m_incarnation != aSender.m_incarnation) {
    last = Announcement{ aSender.m_incarnation, aPositions };
    return false;
  }
  bool has_gone_back = false;
  for (const auto offset : kOffsets) {
    // 0 says that the daemon is reading the topic anew.
    if (aPositions.*offset != 0) {
      has_gone_back = has_gone_back || aPositions.*offset < last.m_positions.*offset;
      last.m_positions.*offset = aPositions.*offset;
    }
  }
  return has_gone_back;
}

}
