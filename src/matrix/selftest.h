#pragma once

#include <string>
#include <vector>

#include "matrix/rowrunner.h"
#include "matrix/types/promise.h"

namespace savoryrill::matrix {

struct SelfTestResult
{
  Promise promise = Promise::ReplicaLimit;
  std::string how;
  bool turnedRed = false;
  std::vector<std::string> seen; // the first violation, or why none was found
};

/// Shows for each promise that the records of a run turn the checker red when the
/// mechanism behind the promise is missing. The product has no switches for that, so the
/// stand-ins are driven directly, as a system without the mechanism would drive them.
std::vector<SelfTestResult>
selfTest(const RunOptions& aOptions);

} // namespace savoryrill::matrix
