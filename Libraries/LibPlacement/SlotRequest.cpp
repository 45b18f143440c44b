#include <LibPlacement/SlotRequest.h>

namespace auburnhitch {

const char*
NameOf(SlotOutcome aOutcome)
{
  switch (aOutcome) {
    case SlotOutcome::Complete:
      return "complete";
    case SlotOutcome::Failed:
      return "failed";
    case SlotOutcome::Refused:
      return "refused";
    case SlotOutcome::Unreachable:
      return "unreachable";
    case SlotOutcome::Broken:
      return "broken";
    case SlotOutcome::Cancelled:
      return "cancelled";
  }
  return "unknown";
}

const char*
NameOf(SlotRefusalReason aReason)
{
  switch (aReason) {
    case SlotRefusalReason::Overloaded:
      return "overloaded";
    case SlotRefusalReason::WaitedTooLong:
      return "waited-too-long";
    case SlotRefusalReason::NoEndpoint:
      return "no-endpoint";
    case SlotRefusalReason::OverQuota:
      return "over-quota";
    case SlotRefusalReason::NoEndpointOfVersion:
      return "no-endpoint-of-version";
    case SlotRefusalReason::Harmful:
      return "harmful-prompt";
  }
  return "unknown";
}

}
