#pragma once

#include <vector>

#include "matrix/types/row.h"

namespace savoryrill::matrix {

/// All cells that can be run: each fault at each step. Thread safe.
std::vector<Row>
allRows();

/// The fixed selection for CI. Thread safe.
std::vector<Row>
shortRows();

/// What the rows do not cover, with the reasons. Thread safe.
std::vector<Uncovered>
uncovered();

} // namespace savoryrill::matrix
