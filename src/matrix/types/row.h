#pragma once

#include <map>
#include <string>
#include <vector>

#include "matrix/types/fault.h"
#include "matrix/types/promise.h"
#include "matrix/types/step.h"
#include "testing/types/loadoptions.h"

namespace savoryrill::matrix {

/// One cell of the matrix.
struct Row
{
  Fault fault = Fault::None;
  Step step = Step::RequestReceived;
};

/// `<fault>/<step>`, as `--row` takes it.
inline std::string
nameOfRow(const Row& aRow)
{
  return std::string(nameOf(aRow.fault)) + "/" + std::string(nameOf(aRow.step));
}

/// A cell, or a group of cells, that no row covers.
struct Uncovered
{
  std::string cell;
  std::string reason;
};

struct RowResult
{
  Row row;
  std::string error; // the row could not be run as stated; empty: it was
  std::vector<Violation> violations;
  std::map<testing::LoadOutcome, std::size_t> outcomes; // requests judged

  bool passed() const { return error.empty() && violations.empty(); }
};

} // namespace savoryrill::matrix
