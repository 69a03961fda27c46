#pragma once

#include <optional>
#include <string>

#include "report/recordstore.h"
#include "report/types/report.h"

namespace savoryrill::report {

/// Computes the report at `aTimeMs` since 1970. Thread safe; no I/O.
Report
compute(const RecordStore& aStore, std::int64_t aTimeMs);

/// Share of the allowed bad requests that a window with these counts uses up, relative to
/// its length: 1 spends exactly the budget. Thread safe.
double
burnRate(const Count& aCount, double aTarget);

/// Alert state of the rules in docs/report.md. Thread safe.
Alert
alertOf(const std::array<double, kWindows.size()>& aBurns);

/// Smallest value that at least `aPercent` of 100 values do not exceed; nothing for no
/// values. `aSorted` is in ascending order. Thread safe.
std::optional<std::uint64_t>
percentile(const std::vector<std::uint64_t>& aSorted, unsigned aPercent);

/// Tables for a terminal. Control characters from other processes are replaced.
std::string
toText(const Report& aReport);

/// The JSON form of docs/report.md, in one line.
std::string
toJson(const Report& aReport);

/// One page without external resources. All texts are escaped.
std::string
toHtml(const Report& aReport);

} // namespace savoryrill::report
