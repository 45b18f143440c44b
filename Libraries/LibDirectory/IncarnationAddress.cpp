#include <LibDirectory/IncarnationAddress.h>
#include <absl/strings/string_view.h>

#include <LibCore/Digest.h>
#include <LibCore/Try.h>
#include <LibHttp/HttpServer.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <arpa/inet.h>
#include <array>

namespace auburnhitch {

namespace {

constexpr std::size_t kIpDigits = 8;
constexpr std::size_t kPortDigits = 4;
constexpr std::size_t kRandomDigits = 16;

}

absl::StatusOr<Incarnation>
NewIncarnation(const SocketAddress& aPeerAddress)
{
  TRY_ASSIGN(const auto address, SplitSocketAddress(aPeerAddress));
  in_addr ip{};
  inet_pton(AF_INET, address.first.c_str(), &ip);
  return Incarnation(absl::StrFormat("%08x%04x%s", ntohl(ip.s_addr), address.second, RandomName()));
}

absl::StatusOr<SocketAddress>
PeerAddressOf(const Incarnation& aIncarnation)
{
  const absl::string_view text = aIncarnation.Value();
  std::uint32_t ip = 0;
  std::uint32_t port = 0;
  if (text.size() != kIpDigits + kPortDigits + kRandomDigits ||
      !absl::SimpleHexAtoi(text.substr(0, kIpDigits), &ip) ||
      !absl::SimpleHexAtoi(text.substr(kIpDigits, kPortDigits), &port)) {
    return absl::InvalidArgumentError("the incarnation holds no peer address");
  }
  in_addr address{};
  address.s_addr = htonl(ip);
  std::array<char, INET_ADDRSTRLEN> dotted{};
  inet_ntop(AF_INET, &address, dotted.data(), dotted.size());
  return SocketAddress(absl::StrCat(dotted.data(), ":", port));
}

}
