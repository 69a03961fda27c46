#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "config/internal/keypath.h"

namespace savoryrill::config {

/// A fault in a JSON text that the parser does not report, or not with its key.
struct TextFault
{
  std::size_t offset = 0;
  KeyPath path;
  std::string message;
};

/// Deepest nesting of objects and arrays that is accepted.
inline constexpr std::size_t kMaxDepth = 32;

/// Finds bytes that are no UTF-8, control characters, nesting that is too deep, repeated
/// keys and malformed numbers. Stops at the first fault that makes the rest unreliable.
std::vector<TextFault>
scanText(std::string_view aText);

/// Offset of the first byte that is not part of valid UTF-8, or `npos`.
std::size_t
findInvalidUtf8(std::string_view aText);

} // namespace savoryrill::config
