#pragma once

#include <LibCore/StrongString.h>
#include <LibCore/Time.h>
#include <deque>
#include <string>
#include <vector>

namespace auburnhitch {

/// Writes each decision about a request to the log, and remembers the latest ones so that an
/// operator can ask why. Not thread-safe.
class DecisionLog
{
public:
  /// One decision: the request it is about and a short sentence.
  struct Decision
  {
    std::string m_request;
    std::string m_description;

    auto operator<=>(const Decision&) const = default;
  };

  explicit DecisionLog(std::size_t aCapacity)
    : m_capacity(aCapacity)
  {
  }

  void Add(const char* aCategory, const std::string& aRequest, std::string aDescription);
  /// The remembered decisions about requests whose name holds the text, oldest first.
  std::vector<Decision> Find(const std::string& aText) const;

private:
  std::size_t m_capacity;
  std::deque<Decision> m_decisions;
};

}
