#pragma once

#include <deque>
#include <utility>
#include <vector>

#include "base/types/time.h"
#include "platform/types/table.h"

namespace savoryrill::testing {

/// A host list whose changes become visible after a lag. Free of I/O; not thread safe.
class HostList
{
public:
  /// `aHosts` is visible at once.
  HostList(std::vector<platform::HostEntry> aHosts, Duration aLag)
    : mVisible(std::move(aHosts))
    , mLag(aLag)
  {
  }

  /// Replaces the list; readers see it after the lag.
  void set(std::vector<platform::HostEntry> aHosts, Instant aNow)
  {
    mPending.emplace_back(aNow + mLag, std::move(aHosts));
  }

  /// The list as readers see it now.
  const std::vector<platform::HostEntry>& visible(Instant aNow)
  {
    while (!mPending.empty() && aNow >= mPending.front().first) {
      mVisible = std::move(mPending.front().second);
      mPending.pop_front();
    }
    return mVisible;
  }

private:
  std::vector<platform::HostEntry> mVisible;
  Duration mLag;
  std::deque<std::pair<Instant, std::vector<platform::HostEntry>>> mPending;
};

} // namespace savoryrill::testing
