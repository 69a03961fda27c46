#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

namespace savoryrill {

template<typename E, std::size_t N>
using EnumTable = std::array<std::pair<E, std::string_view>, N>;

/// Names of the values of an enumeration. Specialise it with a static `kTable` (an
/// `EnumTable`) to use `nameOf` and `fromName` with `E`.
template<typename E>
struct EnumNames;

/// Returns the name of `aValue`, or an empty view if the table has no entry for it.
/// Thread safe.
template<typename E>
constexpr std::string_view
nameOf(E aValue)
{
  for (const auto& [value, name] : EnumNames<E>::kTable) {
    if (value == aValue) {
      return name;
    }
  }
  return {};
}

/// Returns the value named `aName`, or std::nullopt if there is none. Thread safe.
template<typename E>
constexpr std::optional<E>
fromName(std::string_view aName)
{
  for (const auto& [value, name] : EnumNames<E>::kTable) {
    if (name == aName) {
      return value;
    }
  }
  return std::nullopt;
}

} // namespace savoryrill
