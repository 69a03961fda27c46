#pragma once

#include <functional>
#include <string>
#include <vector>

#include "matrix/types/row.h"

namespace savoryrill::matrix {

struct RunOptions
{
  std::string programs; // folder
  std::string folder;   // for settings, logs and records; kept for failed rows
  std::uint64_t seed = 1;
  unsigned parallel = 3;
  unsigned firstBlock = 0; // of the loopback blocks that the rows use
  bool keep = false;       // also the records of passed rows
};

/// Runs one row in the loopback block 127.40.<block>.*. Never fails; what went wrong is
/// in the result. Thread safe, with a block of its own for each call.
RowResult
runRow(const Row& aRow, unsigned aBlock, const RunOptions& aOptions);

/// Runs rows, up to `parallel` at once, and calls `aDone` after each, one call at a time.
void
runRows(const std::vector<Row>& aRows,
        const RunOptions& aOptions,
        const std::function<void(const RowResult&)>& aDone);

} // namespace savoryrill::matrix
