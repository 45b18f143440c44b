#pragma once

#include "RawServer.h"

#include <condition_variable>
#include <map>
#include <memory>

namespace auburnhitch::tests {

/// A stand-in of the platform's store: keyed topics that are read by long-polling. Tests set
/// faults. Thread-safe.
class StoreStandIn
{
private:
  struct Item
  {
    std::string m_value;
    std::uint64_t m_offset = 0;
  };

  struct Topic
  {
    std::uint64_t m_first = 0;
    std::vector<std::string> m_records;
    std::map<std::string, Item> m_newest;
    std::string m_odd_item;

    std::uint64_t End() const { return m_first + m_records.size(); }
  };

public:
  /// What the store holds at a moment.
  using Copy = std::map<std::string, Topic>;

  enum class Mode
  {
    Normal,
    /// Responds with status 503.
    Busy,
    /// Responds with status 429.
    TooManyCalls,
    /// Resets the connection.
    Reset,
    /// Does not respond.
    Silent,
    /// Responds with status 200 and a malformed body.
    Garbage,
    /// Responds with status 200 and a body that goes on until the caller closes.
    Endless,
  };

  StoreStandIn();
  ~StoreStandIn();

  SocketAddress Address() const { return m_server.Address(); }
  /// Texts to replace in the records of the registrations, by what stands there.
  using Replacements = std::map<std::string, std::string>;
  /// Opens another address at which the same store is served with texts replaced, so that a daemon
  /// reads other addresses of the endpoints than others do.
  SocketAddress AddView(Replacements aReplacements);
  void SetMode(Mode aMode);
  /// Sets whether calls for a topic are left without a response until the caller closes them.
  void SetSilent(const std::string& aTopic, bool aIsSilent);
  /// Number of open calls for a silent topic.
  int HeldCalls(const std::string& aTopic) const;
  /// Number of reads of a topic that did not wait for records, as followers make them.
  int ReadsWithoutWait(const std::string& aTopic) const;
  /// Executes the next appends of callers to a topic without responding to them.
  void LoseAnswers(const std::string& aTopic, int aCount);
  /// Number of calls for a topic that have been received.
  int Calls(const std::string& aTopic) const;
  /// All values of a key that were appended and not lost, in order.
  std::vector<std::string> Values(const std::string& aTopic, const std::string& aKey) const;
  /// Appends a record. Without a value it deletes the key.
  void Put(const std::string& aTopic,
           const std::string& aKey,
           const std::optional<std::string>& aValue);
  /// Appends a record with any content.
  void PutRecord(const std::string& aTopic, const std::string& aContent);
  /// Sets the text of an item that each list of the newest records contains, whatever it is.
  void SetOddItem(const std::string& aTopic, const std::string& aText);
  /// Sets whether each list of the newest records has a further page, with another key.
  void SetEndlessPages(const std::string& aTopic, bool aIsEndless);
  /// Drops all records, so that reads of their offsets fail with status 410. The newest value of
  /// each key is kept.
  void Compact(const std::string& aTopic);
  Copy TakeCopy() const;
  /// Replaces what the store holds by a copy, as if it had come back from it: later records are
  /// lost, their offsets are given out again, and the next era begins.
  void GoBackTo(const Copy& aCopy);
  /// The newest value of a key, or nothing if it was deleted or never written.
  std::optional<std::string> Newest(const std::string& aTopic, const std::string& aKey) const;

private:
  void Serve(RawConnection& aConnection, const Replacements& aReplacements);
  std::string MakeResponse(int aStatus, const std::string& aBody) const;
  /// If the topic of a call is silent, waits until the caller closes and returns true.
  bool Hold(RawConnection& aConnection, const RawRequest& aRequest);
  std::string ReplyToRead(const RawRequest& aRequest, const Replacements& aReplacements);
  std::string ReplyToNewest(const RawRequest& aRequest, const Replacements& aReplacements);
  /// A page with one large record whose key follows the one after which the call continues.
  std::string ReplyWithPage(const RawRequest& aRequest) const;
  std::string ReplyToAppend(const RawRequest& aRequest);
  bool LosesAnswer(const RawRequest& aRequest);
  void PutLocked(const std::string& aTopic,
                 const std::string& aKey,
                 const std::optional<std::string>& aValue);

  mutable std::mutex m_mutex;
  std::condition_variable m_changed;
  bool m_is_stopping = false;
  Mode m_mode = Mode::Normal;
  std::set<std::string> m_silent_topics;
  std::set<std::string> m_endless_topics;
  std::map<std::string, int> m_held_calls;
  std::map<std::string, int> m_calls;
  std::map<std::string, int> m_answers_to_lose;
  std::map<std::string, int> m_reads_without_wait;
  std::map<std::string, Topic> m_topics;
  std::uint64_t m_era = 1;
  RawServer m_server;
  std::vector<std::unique_ptr<RawServer>> m_views;
};

}
