#pragma once

#include <string>
#include <string_view>

namespace savoryrill::router {

/// True if the bytes are well-formed UTF-8 without overlong forms or surrogates. Thread
/// safe.
bool
isUtf8(std::string_view aBytes);

/// True if `aText` is 1 to `aMaxLength` characters from '!' to '~'. Thread safe.
bool
isVisibleAscii(std::string_view aText, std::size_t aMaxLength);

/// Percent-encodes all but the unreserved characters and those in `aKept`. Thread
/// safe.
std::string
percentEncoded(std::string_view aText, std::string_view aKept);

/// SHA-256 in lower-case hexadecimal. Thread safe.
std::string
sha256Hex(std::string_view aBytes);

} // namespace savoryrill::router
