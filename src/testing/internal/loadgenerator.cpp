#include "testing/loadgenerator.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

#include "testing/internal/json.h"
#include "testing/internal/loadrequest.h"

namespace savoryrill::testing {

namespace {

// Keeps the transfer's own timeout behind the time limit, which ends it as unfinished.
constexpr Duration kTimeoutMargin = 60s;

Json::Value
toUs(Instant aInstant)
{
  return Json::Int64(aInstant.time_since_epoch().count());
}

/// Nearest-rank quantile of sorted values.
double
quantile(const std::vector<double>& aSorted, double aShare)
{
  const auto rank = static_cast<std::size_t>(std::ceil(aShare * double(aSorted.size())));
  return aSorted[std::max<std::size_t>(rank, 1) - 1];
}

Json::Value
distribution(std::vector<double> aValuesMs)
{
  if (aValuesMs.empty()) {
    return Json::objectValue;
  }
  std::sort(aValuesMs.begin(), aValuesMs.end());
  return fields({ { "p50", quantile(aValuesMs, 0.5) },
                  { "p99", quantile(aValuesMs, 0.99) },
                  { "max", aValuesMs.back() } });
}

class LoadGeneratorImpl final : public LoadGenerator
{
public:
  LoadGeneratorImpl(event::Loop& aLoop,
                    std::vector<PlannedRequest> aPlan,
                    Duration aTimeLimit,
                    std::unique_ptr<Recorder> aRecorder,
                    std::unique_ptr<http::Client> aClient)
    : mLoop(aLoop)
    , mPlan(std::move(aPlan))
    , mTimeLimit(aTimeLimit)
    , mRecorder(std::move(aRecorder))
    , mClient(std::move(aClient))
  {
  }

  void start(std::function<void()> aDone) override;
  Json::Value summary() const override;
  const Recorder& recorder() const override { return *mRecorder; }

private:
  void sendDue();
  void ended(std::size_t aIndex, const LoadResult& aResult);
  void giveUp();
  void finish();

  event::Loop& mLoop;
  std::vector<PlannedRequest> mPlan;
  Duration mTimeLimit;
  std::unique_ptr<Recorder> mRecorder;
  std::unique_ptr<http::Client> mClient;
  std::function<void()> mDone;
  Instant mStart;
  std::size_t mNext = 0;
  std::map<std::size_t, std::unique_ptr<LoadRequest>> mInProgress; // by plan index
  event::Watch mTimer;
  event::Watch mLimit;
  std::uint64_t mEnded = 0;
  std::map<std::string, std::uint64_t> mOutcomes;
  std::map<std::string, std::uint64_t> mProblems;
  std::vector<double> mFirstTokenMs;
  std::vector<double> mTotalMs;
};

void
LoadGeneratorImpl::start(std::function<void()> aDone)
{
  mDone = std::move(aDone);
  mStart = mLoop.now();
  mTimer = mLoop.after(Duration::zero(), [this] {
    mLimit = mLoop.after(mTimeLimit, [this] { giveUp(); });
    sendDue();
  });
}

void
LoadGeneratorImpl::sendDue()
{
  const Duration elapsed = mLoop.now() - mStart;
  while (mNext < mPlan.size() && mPlan[mNext].at <= elapsed) {
    const std::size_t index = mNext++;
    mInProgress[index] = std::make_unique<LoadRequest>(
      mLoop,
      *mClient,
      mPlan[index],
      mTimeLimit + kTimeoutMargin,
      [this, index](const LoadResult& aResult) { ended(index, aResult); });
  }
  if (mNext < mPlan.size()) {
    mTimer = mLoop.after(mPlan[mNext].at - elapsed, [this] { sendDue(); });
  } else if (mInProgress.empty()) {
    finish();
  }
}

void
LoadGeneratorImpl::ended(std::size_t aIndex, const LoadResult& aResult)
{
  const auto& plan = mPlan[aIndex];
  const std::string outcome(nameOf(aResult.outcome));
  auto line = fields({ { "request", Json::UInt64(aIndex) },
                       { "target", plan.target },
                       { "request_kind", std::string(nameOf(plan.kind)) },
                       { "model", plan.model },
                       { "service", plan.service },
                       { "marker", plan.marker },
                       { "key", plan.key },
                       { "duplicate", plan.duplicate },
                       { "stream", plan.stream },
                       { "priority", plan.priority },
                       { "caller", plan.caller },
                       { "planned_us", toUs(mStart + plan.at) },
                       { "sent_us", toUs(aResult.sent) },
                       { "end_us", toUs(aResult.end) },
                       { "request_sent", aResult.requestSent },
                       { "status", aResult.status },
                       { "outcome", outcome },
                       { "problem_type", aResult.problemType },
                       { "problem_code", aResult.problemCode },
                       { "ran", aResult.ran },
                       { "request_id", aResult.requestId },
                       { "error", aResult.error } });
  line["first_us"] = aResult.firstToken ? toUs(*aResult.firstToken) : Json::Value();
  mRecorder->write("request", std::move(line));
  ++mEnded;
  ++mOutcomes[outcome];
  if (!aResult.problemType.empty()) {
    const bool untyped = aResult.problemType == "about:blank";
    ++mProblems[untyped ? aResult.problemCode : aResult.problemType];
  }
  if (aResult.outcome == LoadOutcome::Ok && aResult.firstToken) {
    mFirstTokenMs.push_back(1000 * toSeconds(*aResult.firstToken - aResult.sent));
    mTotalMs.push_back(1000 * toSeconds(aResult.end - aResult.sent));
  }
  mInProgress.erase(aIndex);
  if (mNext == mPlan.size() && mInProgress.empty()) {
    finish();
  }
}

void
LoadGeneratorImpl::giveUp()
{
  mTimer.reset();
  mPlan.resize(mNext);
  while (!mInProgress.empty()) {
    const auto& [index, request] = *mInProgress.begin();
    ended(index, request->unfinished());
  }
  finish();
}

void
LoadGeneratorImpl::finish()
{
  mLimit.reset();
  if (mDone) {
    mLoop.post(std::exchange(mDone, nullptr));
  }
}

Json::Value
LoadGeneratorImpl::summary() const
{
  Json::Value summary;
  summary["requests"] = Json::UInt64(mEnded);
  summary["outcomes"] = Json::objectValue;
  for (const auto& [outcome, count] : mOutcomes) {
    summary["outcomes"][outcome] = Json::UInt64(count);
  }
  summary["problems"] = Json::objectValue;
  for (const auto& [type, count] : mProblems) {
    summary["problems"][type] = Json::UInt64(count);
  }
  summary["first_token_ms"] = distribution(mFirstTokenMs);
  summary["total_ms"] = distribution(mTotalMs);
  return summary;
}

} // namespace

Result<std::unique_ptr<LoadGenerator>>
LoadGenerator::create(event::Loop& aLoop,
                      std::vector<PlannedRequest> aPlan,
                      const LoadOptions& aOptions)
{
  BOOST_OUTCOME_TRY(recorder, Recorder::create(aOptions.recordPath));
  BOOST_OUTCOME_TRY(client, http::Client::create(aLoop));
  return std::unique_ptr<LoadGenerator>(std::make_unique<LoadGeneratorImpl>(
    aLoop, std::move(aPlan), aOptions.timeLimit, std::move(recorder), std::move(client)));
}

} // namespace savoryrill::testing
