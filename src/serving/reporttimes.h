#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "base/types/time.h"

namespace savoryrill::serving {

/// When this host sent its numbered reports. Another host that names the latest report it
/// had received shows by this that it knew something at that time or later, without a
/// common clock. Load pattern: hundreds of reports a second while many requests wait, and
/// replies that arrive seconds later. Not thread safe; no I/O.
class ReportTimes
{
public:
  /// `aFirst`: number before that of the first report. A random one keeps a late message
  /// for an earlier process of this host from naming a report of this one.
  explicit ReportTimes(std::uint64_t aFirst = 0)
    : mLast(aFirst)
    , mFirst(aFirst)
  {
  }

  /// Number for a report that is sent now.
  std::uint64_t add(Instant aNow);

  /// A time at which the report had not been sent yet or was just being sent: the time of
  /// the report or of one shortly before it. Nullopt if no such report was sent, or too
  /// long ago.
  std::optional<Instant> sentAt(std::uint64_t aNumber) const;

private:
  std::uint64_t mLast;
  std::uint64_t mFirst;
  std::map<std::uint64_t, Instant> mTimes;
};

} // namespace savoryrill::serving
