#include "testing/internal/checkpointloader.h"

#include <cmath>
#include <utility>

#include "testing/internal/json.h"

namespace savoryrill::testing {

namespace {

// A slow weight store must not end a load; its caller decides when to give up.
constexpr Duration kFetchTimeout = std::chrono::hours(2);

} // namespace

CheckpointLoader::CheckpointLoader(event::Loop& aLoop,
                                   http::Client& aClient,
                                   LoadTimes aTimes,
                                   CheckpointCache& aCache)
  : mLoop(aLoop)
  , mClient(aClient)
  , mTimes(std::move(aTimes))
  , mCache(aCache)
{
}

std::unique_ptr<Transfer>
CheckpointLoader::start(const std::string& aName,
                        std::uint32_t aSizeMb,
                        FetchClass aClass,
                        std::function<void(std::string)> aDone)
{
  const auto locality = mCache.locality(aName);
  const auto finished = [this, aName, aSizeMb, aDone](std::string aFailure) {
    if (aFailure.empty()) {
      mCache.put(aName, aSizeMb, upstream::CheckpointLocality::Memory);
    }
    aDone(std::move(aFailure));
  };
  const auto succeeded = [finished] { finished({}); };
  switch (locality) {
    case upstream::CheckpointLocality::Memory:
      return startTimed(mTimes.memoryMbPerS, aSizeMb, succeeded);
    case upstream::CheckpointLocality::Disk:
      return startTimed(mTimes.diskMbPerS, aSizeMb, succeeded);
    case upstream::CheckpointLocality::Remote:
      break;
  }
  return mTimes.weightsUrl.empty() ? startTimed(mTimes.remoteMbPerS, aSizeMb, succeeded)
                                   : startRemote(aName, aSizeMb, aClass, finished);
}

std::unique_ptr<Transfer>
CheckpointLoader::startTimed(double aMbPerS,
                             std::uint32_t aSizeMb,
                             std::function<void()> aDone)
{
  auto transfer = std::make_unique<Transfer>();
  const Duration time(std::llround(1e6 * aSizeMb / aMbPerS));
  transfer->timer = mLoop.after(time, std::move(aDone));
  return transfer;
}

std::unique_ptr<Transfer>
CheckpointLoader::startRemote(const std::string& aName,
                              std::uint32_t aSizeMb,
                              FetchClass aClass,
                              std::function<void(std::string)> aDone)
{
  http::ClientRequest request;
  request.method = "POST";
  request.url = mTimes.weightsUrl + "/weights/fetch";
  request.headers["Content-Type"] = "application/json";
  request.body = toText(fields({ { "model", aName },
                                 { "size_mb", aSizeMb },
                                 { "class", std::string(nameOf(aClass)) } }));
  request.totalTimeout = kFetchTimeout;
  http::ClientCallbacks callbacks;
  callbacks.onDone = [done = std::move(aDone)](const http::ClientOutcome& aOutcome) {
    if (!aOutcome.response) {
      done(aOutcome.response.error().message);
    } else if (aOutcome.response.value().status != 200) {
      done("weight store status " + std::to_string(aOutcome.response.value().status));
    } else {
      done({});
    }
  };
  auto transfer = std::make_unique<Transfer>();
  transfer->call = mClient.start(std::move(request), std::move(callbacks));
  return transfer;
}

} // namespace savoryrill::testing
