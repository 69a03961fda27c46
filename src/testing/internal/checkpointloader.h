#pragma once

#include <functional>
#include <memory>
#include <string>

#include "event/loop.h"
#include "http/client.h"
#include "testing/internal/checkpointcache.h"
#include "testing/types/engineoptions.h"
#include "testing/types/platformoptions.h"

namespace savoryrill::testing {

/// A transfer in progress; destroying it cancels the transfer.
struct Transfer
{
  event::Watch timer;
  std::unique_ptr<http::RequestHandle> call;
};

/// Brings checkpoints and adapters into the engine, at the speed of where they are. Not
/// thread safe.
class CheckpointLoader
{
public:
  /// Precondition: loop, client and cache outlive this object and its transfers.
  CheckpointLoader(event::Loop& aLoop,
                   http::Client& aClient,
                   LoadTimes aTimes,
                   CheckpointCache& aCache);

  /// `aDone` runs once, with an empty text or the reason of the failure.
  std::unique_ptr<Transfer> start(const std::string& aName,
                                  std::uint32_t aSizeMb,
                                  FetchClass aClass,
                                  std::function<void(std::string)> aDone);

private:
  std::unique_ptr<Transfer> startTimed(double aMbPerS,
                                       std::uint32_t aSizeMb,
                                       std::function<void()> aDone);
  std::unique_ptr<Transfer> startRemote(const std::string& aName,
                                        std::uint32_t aSizeMb,
                                        FetchClass aClass,
                                        std::function<void(std::string)> aDone);

  event::Loop& mLoop;
  http::Client& mClient;
  LoadTimes mTimes;
  CheckpointCache& mCache;
};

} // namespace savoryrill::testing
