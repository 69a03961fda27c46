#include "serving/reporttimes.h"

#include <iterator>

namespace savoryrill::serving {

namespace {

// Of reports that follow each other more closely only the first one is kept, so that the
// kept ones cover some seconds at any rate of reports.
constexpr Duration kMinReportDistance = 25ms;
constexpr std::size_t kMaxReportTimes = 160; // 4 s at the highest rate

} // namespace

std::uint64_t
ReportTimes::add(Instant aNow)
{
  ++mLast;
  if (mTimes.empty() || aNow - mTimes.rbegin()->second >= kMinReportDistance) {
    mTimes[mLast] = aNow;
  }
  if (mTimes.size() > kMaxReportTimes) {
    mTimes.erase(mTimes.begin());
  }
  return mLast;
}

std::optional<Instant>
ReportTimes::sentAt(std::uint64_t aNumber) const
{
  const auto later = mTimes.upper_bound(aNumber);
  if (aNumber <= mFirst || aNumber > mLast || later == mTimes.begin()) {
    return std::nullopt;
  }
  return std::prev(later)->second;
}

} // namespace savoryrill::serving
