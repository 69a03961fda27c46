#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace savoryrill::report {

/// `aValue` with `aDigits` digits after the point. Thread safe.
std::string
fixed(double aValue, int aDigits);

/// Milliseconds as seconds, such as `3.62 s`; `-` for nothing. Thread safe.
std::string
secondsText(std::optional<std::uint64_t> aMilliseconds);

/// UTC, such as `2026-12-04 04:15`. Thread safe.
std::string
timeText(std::int64_t aMilliseconds);

/// `aText` with control characters replaced by `?`. Thread safe.
std::string
printable(std::string_view aText);

/// `aText` for HTML text and attribute values; control characters are replaced. Thread
/// safe.
std::string
escaped(std::string_view aText);

} // namespace savoryrill::report
