#pragma once

#include <absl/hash/hash.h>
#include <compare>
#include <string>
#include <string_view>
#include <utility>

namespace auburnhitch {

/// A string type for names of one kind; names of different kinds do not convert to each other.
/// Immutable after construction; safe to read from any thread.
template<typename Tag>
class StrongString
{
public:
  StrongString() = default;
  explicit StrongString(std::string aValue)
    : m_value(std::move(aValue))
  {
  }

  const std::string& Value() const { return m_value; }
  bool IsEmpty() const { return m_value.empty(); }

  auto operator<=>(const StrongString&) const = default;

  template<typename Hasher>
  friend Hasher AbslHashValue(Hasher aHasher, const StrongString& aName)
  {
    return Hasher::combine(std::move(aHasher), aName.m_value);
  }

private:
  std::string m_value;
};

using ServiceName = StrongString<struct ServiceNameTag>;
using WorkspaceName = StrongString<struct WorkspaceNameTag>;
using HostName = StrongString<struct HostNameTag>;
using TierName = StrongString<struct TierNameTag>;
using KindName = StrongString<struct KindNameTag>;
using DataCenterName = StrongString<struct DataCenterNameTag>;
/// An IP address and port, "127.0.0.1:8080".
using SocketAddress = StrongString<struct SocketAddressTag>;
/// Identifies one run of a daemon process; random and never reused.
using Incarnation = StrongString<struct IncarnationTag>;

}
