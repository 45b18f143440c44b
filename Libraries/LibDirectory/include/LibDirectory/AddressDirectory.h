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

/// An entry host to which callers may be directed.
struct EntryHost
{
  HostName m_host;
  SocketAddress m_address;
  Permit m_permit;

  auto operator<=>(const EntryHost&) const = default;
};

/// The response to a caller that asks which entry host to use.
struct AddressResponse
{
  EntryHost m_entry_host;
  /// How long the caller may use the response.
  Milliseconds m_lifetime{ 0 };
  /// The end of the claim stream, for idempotency keys that the caller creates now.
  LogOffset m_claim_offset = 0;

  auto operator<=>(const AddressResponse&) const = default;

  Json ToJson() const;
};

/// Distributes callers evenly over the entry hosts. Not thread-safe.
class AddressDirectory
{
public:
  /// aLifetime limits how long a host that is leaving still receives callers with an earlier
  /// response.
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
