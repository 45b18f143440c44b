#include <LibCore/Digest.h>

#include <absl/strings/escaping.h>
#include <absl/strings/str_format.h>
#include <array>
#include <openssl/crypto.h>
#include <openssl/rand.h>
#include <openssl/sha.h>

namespace auburnhitch {

std::string
Sha256Hex(absl::string_view aText)
{
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(aText.data()), aText.size(), digest.data());
  return absl::BytesToHexString(
    absl::string_view(reinterpret_cast<const char*>(digest.data()), digest.size()));
}

bool
EqualsInConstantTime(absl::string_view aLeft, absl::string_view aRight)
{
  return aLeft.size() == aRight.size() &&
         CRYPTO_memcmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

std::string
RandomName()
{
  std::array<char, 8> bytes{};
  // The generator fails only when the kernel provides no entropy. A name of all zeros would
  // collide, so the process aborts.
  if (RAND_bytes(reinterpret_cast<unsigned char*>(bytes.data()), bytes.size()) != 1) {
    std::abort();
  }
  return absl::BytesToHexString(absl::string_view(bytes.data(), bytes.size()));
}

}
