#include <LibDirectory/AddressDirectory.h>

namespace auburnhitch {

Json
AddressResponse::ToJson() const
{
  return Json{ { "host", m_entry_host.m_host.Value() },
               { "address", m_entry_host.m_address.Value() },
               { "permit", m_entry_host.m_permit.ToString() },
               { "lifetime_ms", m_lifetime.count() },
               { "claim_offset", m_claim_offset } };
}

AddressResponse
AddressDirectory::Choose(const std::vector<EntryHost>& aHosts,
                         LogOffset aClaimOffset,
                         absl::BitGenRef aRandom) const
{
  const auto index = absl::Uniform<std::size_t>(aRandom, 0, aHosts.size());
  return AddressResponse{ aHosts[index], m_lifetime, aClaimOffset };
}

}
