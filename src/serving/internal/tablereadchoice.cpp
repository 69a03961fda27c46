#include "serving/tablereadchoice.h"

namespace savoryrill::serving {

bool
TableReadChoice::allRows() const
{
  if (mRequired) {
    return true;
  }
  // While the table changes, all rows are probably the smaller response.
  const int first = mChanging ? 1 : 2;
  return mLost >= first && (mLost - first) % 2 == 0;
}

void
TableReadChoice::readSucceeded(bool aAllRows, bool aHasRows)
{
  mLost = 0;
  if (aAllRows) {
    mRequired = false;
  } else {
    mChanging = aHasRows;
  }
}

} // namespace savoryrill::serving
