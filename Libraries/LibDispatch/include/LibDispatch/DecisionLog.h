#pragma once

#include <LibCore/StrongString.h>
#include <LibCore/Time.h>
#include <deque>
#include <string>
#include <vector>

namespace auburnhitch {

/// Logs each decision about a request, and keeps the latest ones in memory so that an operator can
/// query why a request was handled as it was. Not thread-safe.
class DecisionLog
{
public:
  /// One decision: the request's id and a one-sentence description.
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
  /// The decisions in memory whose request id contains the text, oldest first.
  std::vector<Decision> Find(const std::string& aText) const;

private:
  std::size_t m_capacity;
  std::deque<Decision> m_decisions;
};

}
