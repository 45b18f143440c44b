#pragma once

#include "RawServer.h"

#include <condition_variable>
#include <map>

namespace auburnhitch::tests {

/// The platform's store as its page describes it: keyed topics, read by long calls. Misbehaves when
/// told to. Thread-safe.
class StoreStandIn
{
public:
  enum class Mode
  {
    Normal,
    Busy,
    TooManyCalls,
    Reset,
    Silent,
    /// Answers that cannot be understood.
    Garbage,
  };

  StoreStandIn();
  ~StoreStandIn();

  SocketAddress Address() const { return m_server.Address(); }
  void SetMode(Mode aMode);
  /// Calls for a topic get no answer, until they are closed.
  void SetSilent(const std::string& aTopic, bool aIsSilent);
  /// How many calls for a silent topic are open.
  int HeldCalls(const std::string& aTopic) const;
  /// Writes a record; without a value its key is dropped.
  void Put(const std::string& aTopic,
           const std::string& aKey,
           const std::optional<std::string>& aValue);
  /// Forgets all records, of which the newest of each key are still told.
  void Compact(const std::string& aTopic);
  std::optional<std::string> Newest(const std::string& aTopic, const std::string& aKey) const;

private:
  struct Topic
  {
    std::uint64_t m_first = 0;
    std::vector<std::string> m_records;
    std::map<std::string, std::string> m_newest;

    std::uint64_t End() const { return m_first + m_records.size(); }
  };

  void Serve(RawConnection& aConnection);
  /// Whether the topic of a call is silent; then it has been closed.
  bool Hold(RawConnection& aConnection, const RawRequest& aRequest);
  std::string ReplyToRead(const RawRequest& aRequest);
  std::string ReplyToNewest(const RawRequest& aRequest);
  std::string ReplyToAppend(const RawRequest& aRequest);
  void PutLocked(const std::string& aTopic,
                 const std::string& aKey,
                 const std::optional<std::string>& aValue);

  mutable std::mutex m_mutex;
  std::condition_variable m_changed;
  bool m_is_stopping = false;
  Mode m_mode = Mode::Normal;
  std::set<std::string> m_silent_topics;
  std::map<std::string, int> m_held_calls;
  std::map<std::string, Topic> m_topics;
  RawServer m_server;
};

}
