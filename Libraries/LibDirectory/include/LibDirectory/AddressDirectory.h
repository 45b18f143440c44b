#pragma once

#include <LibCore/JsonObjectReader.h>
#include <LibCore/StrongString.h>
#include <LibCore/Time.h>
#include <LibDocument/DocumentFold.h>
#include <LibLedger/RequestIdentity.h>
#include <absl/random/bit_gen_ref.h>
#include <absl/random/random.h>
#include <functional>
#include <vector>

namespace auburnhitch {

/// An entry host that callers may be sent to.
struct EntryHost
{
  HostName m_host;
  SocketAddress m_address;
  Permit m_permit;

  auto operator<=>(const EntryHost&) const = default;
};

/// The answer to a caller that asks which entry host to use.
struct AddressResponse
{
  EntryHost m_entry_host;
  /// How long the caller may keep the answer.
  Milliseconds m_lifetime{ 0 };
  /// Where the claim stream ends, for idempotency keys that the caller makes now.
  LogOffset m_claim_offset = 0;

  auto operator<=>(const AddressResponse&) const = default;

  Json ToJson() const;
};

/// Spreads callers evenly over the entry hosts. Not thread-safe.
class AddressDirectory
{
public:
  /// aLifetime bounds how long a leaving host still gets callers that asked before.
  explicit AddressDirectory(Milliseconds aLifetime)
    : m_lifetime(aLifetime)
  {
  }

  /// Picks one of the hosts at random. Precondition: aHosts is not empty.
  AddressResponse Choose(const std::vector<EntryHost>& aHosts,
                         LogOffset aClaimOffset,
                         absl::BitGenRef aRandom) const;

private:
  Milliseconds m_lifetime;
};

}
