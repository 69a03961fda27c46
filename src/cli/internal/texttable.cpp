#include "cli/internal/texttable.h"

#include <algorithm>

namespace savoryrill::cli {

std::string
printable(std::string aText)
{
  std::replace_if(
    aText.begin(),
    aText.end(),
    [](char aCharacter) {
      return static_cast<unsigned char>(aCharacter) < 0x20 || aCharacter == 0x7f;
    },
    '?');
  return aText;
}

void
printTable(const std::vector<TableRow>& aRows, std::ostream& aOut)
{
  std::vector<std::size_t> widths;
  for (const auto& row : aRows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t column = 0; column < row.size(); ++column) {
      widths[column] = std::max(widths[column], row[column].size());
    }
  }
  for (const auto& row : aRows) {
    std::string line;
    for (std::size_t column = 0; column < row.size(); ++column) {
      std::string cell = printable(row[column]);
      cell.resize(widths[column], ' ');
      line += (column == 0 ? "" : "  ") + cell;
    }
    line.erase(line.find_last_not_of(' ') + 1);
    aOut << line << "\n";
  }
}

} // namespace savoryrill::cli
