#include "serving/tablereadcheck.h"

#include <algorithm>

namespace savoryrill::serving {

void
TableReadCheck::readStarted(Instant aNow, std::uint64_t aNewest)
{
  mStarted = aNow;
  mNewest = aNewest;
}

std::optional<Instant>
TableReadCheck::changesRead(std::uint64_t aKnown, std::uint64_t aVersion, bool aNoRows)
{
  // Without a change, a higher version comes from other tables. As long as this was not
  // seen, responses may state the version of the table alone, to which versions of other
  // tables do not compare.
  if (aNoRows && aVersion > aKnown) {
    mVersionsCoverStore = true;
  }
  // A response that belongs to an earlier request states an older version, too.
  const auto newest = mVersionsCoverStore ? std::max(aKnown, mNewest) : aKnown;
  return aVersion >= newest ? std::optional(mStarted) : std::nullopt;
}

} // namespace savoryrill::serving
