#pragma once

#include <cstddef>
#include <set>
#include <string>

#include "config/types/finding.h"

namespace savoryrill::config {

/// Collects findings, each of them once: the base is read again for each site. Bounds
/// their number, so that a hostile text cannot fill the memory.
class FindingCollector
{
public:
  void add(Finding aFinding);

  /// Errors that were added so far.
  std::size_t errors() const { return mErrors; }

  /// True if further findings are only counted.
  bool full() const;

  /// The findings in the order in which they were added. Ends the collection.
  Findings take();

private:
  Findings mFindings;
  std::set<std::string> mSeen;
  std::size_t mErrors = 0;
  bool mDropped = false;
};

} // namespace savoryrill::config
