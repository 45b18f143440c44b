#pragma once

#include <LibCheck/CheckFinding.h>

namespace auburnhitch {

/// Takes the findings of one rule. Not thread-safe; the resolver and the findings must outlive it.
class RuleReport
{
public:
  RuleReport(const char* aRule, const PlaceResolver& aResolver, CheckFindings& aFindings)
    : m_rule(aRule)
    , m_resolver(aResolver)
    , m_findings(aFindings)
  {
  }

  void Add(const ConfigurationPlace& aPlace, std::string aExpected, std::string aCame)
  {
    m_findings.push_back({ m_rule, m_resolver(aPlace), std::move(aExpected), std::move(aCame) });
  }

private:
  const char* m_rule;
  const PlaceResolver& m_resolver;
  CheckFindings& m_findings;
};

}
