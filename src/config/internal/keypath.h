#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace savoryrill::config {

/// Path of a value in a JSON text. Elements of arrays are written `[index]`.
using KeyPath = std::vector<std::string>;

KeyPath
memberOf(const KeyPath& aPath, std::string_view aKey);

KeyPath
elementOf(const KeyPath& aPath, std::size_t aIndex);

/// Dotted form for findings, such as `deployments.drift-diagnosis.versions[0]`.
std::string
toString(const KeyPath& aPath);

/// `aText` in single quotes, shortened and with control characters escaped, so that
/// hostile text cannot disturb a terminal or a log line.
std::string
inQuotes(std::string_view aText);

} // namespace savoryrill::config
