#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace savoryrill::testing {

// The text that the engine stand-in generates is a function of the prompt, so that
// a checker can tell whose answer it has got.

/// 64-bit FNV-1a. Thread safe.
std::uint64_t
fnv1a(std::string_view aText);

/// The value of the first `marker=<letters, digits, '-', '_', '.'>` in the prompt, or an
/// empty view. Thread safe.
std::string_view
markerOf(std::string_view aPrompt);

/// Token `aIndex` of the answer: the marker for index 0, then eight hexadecimal digits
/// from the hash of prompt and index; each ends with a space. Thread safe.
std::string
tokenAt(std::string_view aPrompt, std::uint32_t aIndex);

/// The whole answer of `aCount` tokens. Thread safe.
std::string
answerText(std::string_view aPrompt, std::uint32_t aCount);

/// Hash of the first 64 bytes of a text, as in the engine's cache events. Thread safe.
std::uint64_t
prefixHash(std::string_view aText);

} // namespace savoryrill::testing
