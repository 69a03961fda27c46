#include "controller/internal/usagerecorder.h"

namespace savoryrill::controller {

UsageRecorder::Totals&
UsageRecorder::bucketOf(const config::Loadable& aLoadable, Duration aWallTime)
{
  const std::int64_t minute =
    std::chrono::duration_cast<std::chrono::minutes>(aWallTime).count();
  // If the wall clock was set back, the latest bucket is used.
  if (mBuckets.empty() || mBuckets.back().minute < minute) {
    mBuckets.push_back({ minute, {} });
  }
  if (mBuckets.size() > kMaxMinutes) {
    mBuckets.pop_front();
  }
  return mBuckets.back().models[aLoadable];
}

void
UsageRecorder::addReplicaTime(const config::Loadable& aLoadable,
                              Duration aTime,
                              bool aIdle,
                              Duration aWallTime)
{
  for (auto* totals : { &mTotals[aLoadable], &bucketOf(aLoadable, aWallTime) }) {
    totals->loaded += aTime;
    totals->idle += aIdle ? aTime : Duration::zero();
  }
}

void
UsageRecorder::addColdLoad(const config::Loadable& aLoadable,
                           const std::string& aUpstream,
                           Duration aDuration,
                           Duration aWallTime)
{
  ++mTotals[aLoadable].coldLoads;
  ++bucketOf(aLoadable, aWallTime).coldLoads;
  mColdLoads.push_back({ aLoadable, aUpstream, aDuration, aWallTime });
  if (mColdLoads.size() > kMaxColdLoads) {
    mColdLoads.pop_front();
  }
}

Json::Value
UsageRecorder::modelsJson(const Models& aModels)
{
  Json::Value models(Json::objectValue);
  for (const auto& [loadable, totals] : aModels) {
    auto& item = models[config::toString(loadable)];
    item["loaded_s"] = toSeconds(totals.loaded);
    item["idle_s"] = toSeconds(totals.idle);
    item["cold_loads"] = Json::UInt64(totals.coldLoads);
  }
  return models;
}

Json::Value
UsageRecorder::toJson() const
{
  Json::Value result(Json::objectValue);
  result["models"] = modelsJson(mTotals);
  result["cold_loads"] = Json::Value(Json::arrayValue);
  for (const auto& load : mColdLoads) {
    Json::Value item;
    item["model"] = config::toString(load.loadable);
    item["upstream"] = load.upstream;
    item["duration_ms"] = Json::Int64(toMs(load.duration));
    item["time_ms"] = Json::Int64(toMs(load.wallTime));
    result["cold_loads"].append(item);
  }
  result["minutes"] = Json::Value(Json::arrayValue);
  for (const auto& bucket : mBuckets) {
    Json::Value item;
    item["minute"] = Json::Int64(bucket.minute);
    item["models"] = modelsJson(bucket.models);
    result["minutes"].append(item);
  }
  return result;
}

} // namespace savoryrill::controller
