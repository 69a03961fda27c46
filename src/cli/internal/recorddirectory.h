#pragma once

#include <string>
#include <vector>

#include "base/result.h"
#include "cli/program.h"

namespace savoryrill::cli {

/// What `readRecords` found.
struct KeptRecords
{
  std::vector<ProcessReport> reports; // named by file and line
  std::vector<std::string> findings;  // lines that cannot be read
};

/// Appends records to the folder `aDirectory`, which is created if missing. Each run of a
/// process has one file, named by a hash of process, host and incarnation, with one
/// record in each line; a record that the file already has is not added again. Records
/// without an incarnation are not kept: their runs could not be told apart. Fails with
/// InvalidArgument if a file cannot be written; what the files had before stays.
Result<void>
keepRecords(const std::string& aDirectory, const std::vector<ProcessReport>& aReports);

/// Reads all records of a folder. Fails with InvalidArgument if the folder or a file
/// cannot be read.
Result<KeptRecords>
readRecords(const std::string& aDirectory);

} // namespace savoryrill::cli
