#include "serving/sharinghosts.h"

#include <algorithm>

namespace savoryrill::serving {

void
SharingHosts::record(std::uint32_t aCount, Instant aNow)
{
  if (aCount >= mCount || aNow - mSeen > kMemory) {
    mCount = aCount;
    mSeen = aNow;
  }
}

double
SharingHosts::shareOf(std::uint32_t aServed) const
{
  return static_cast<double>(aServed) / std::max({ 1U, aServed, mCount });
}

} // namespace savoryrill::serving
