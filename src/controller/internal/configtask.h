#pragma once

#include <string>

#include "controller/internal/taskcontext.h"

namespace savoryrill::controller {

/// Receives committed configurations from the platform and from peers, and adopts those
/// with a higher version than the one in force. Not thread safe.
class ConfigTask
{
public:
  explicit ConfigTask(TaskContext aContext);

  void start();
  void handle(ConfigMessage&& aMessage);

  /// The version in force, 0 before the first one is adopted.
  std::uint64_t version() const { return mVersion; }

private:
  void poll();
  void headRead(const Result<std::optional<platform::Row>>& aRow);
  void fetch(const placement::HeadRow& aHead);
  void adoptIfNewer(const peer::ConfigContent& aContent, const char* aSource);
  void setPlatformReachable(bool aReachable);

  TaskContext mContext;
  CallbackGuard mGuard;
  event::Watch mTimer;
  bool mReading = false;
  bool mFetching = false;
  bool mPlatformUnreachable = false;
  std::uint64_t mVersion = 0;
  std::uint64_t mRefusedVersion = 0;
  std::string mSha256;
};

} // namespace savoryrill::controller
