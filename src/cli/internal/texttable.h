#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace savoryrill::cli {

using TableRow = std::vector<std::string>;

/// Prints rows in aligned columns; the first row is the head. Control characters from
/// other processes are replaced.
void
printTable(const std::vector<TableRow>& aRows, std::ostream& aOut);

/// `aText` with control characters replaced by `?`.
std::string
printable(std::string aText);

} // namespace savoryrill::cli
