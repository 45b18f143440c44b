#include <LibGateway/ResponseMeaning.h>

namespace auburnhitch {

const char*
NameOf(ResponseMeaning aMeaning)
{
  switch (aMeaning) {
    case ResponseMeaning::Success:
      return "success";
    case ResponseMeaning::Failure:
      return "failure";
    case ResponseMeaning::NotRun:
      return "not-run";
    case ResponseMeaning::Mismatched:
      return "mismatched";
    case ResponseMeaning::Unnamed:
      return "unnamed";
    case ResponseMeaning::Unsigned:
      return "unsigned";
    case ResponseMeaning::Contradictory:
      return "contradictory";
    case ResponseMeaning::Encoded:
      return "encoded";
  }
  return "unknown";
}

bool
IsFromEndpoint(ResponseMeaning aMeaning)
{
  switch (aMeaning) {
    case ResponseMeaning::Success:
    case ResponseMeaning::Failure:
    case ResponseMeaning::NotRun:
    case ResponseMeaning::Mismatched:
      return true;
    case ResponseMeaning::Unnamed:
    case ResponseMeaning::Unsigned:
    case ResponseMeaning::Contradictory:
    case ResponseMeaning::Encoded:
      return false;
  }
  return false;
}

}
