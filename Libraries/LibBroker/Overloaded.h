#pragma once

namespace auburnhitch {

/// Calls the overload that matches the alternative held by a variant.
template<typename... Ts>
struct Overloaded : Ts...
{
  using Ts::operator()...;
};
template<typename... Ts>
Overloaded(Ts...) -> Overloaded<Ts...>;

}
