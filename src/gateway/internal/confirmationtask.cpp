#include "gateway/internal/confirmationtask.h"

namespace savoryrill::gateway {

namespace {

// Wait of reads that confirm. The shorter it is, the more recent is the confirmation,
// which counts from the start of the read; without any wait, the reads would take up
// connections that the lease of the leader needs.
constexpr Duration kConfirmingWait = 20ms;
// Time between the starts of two reads that confirm: about twice a second by the leader.
// The confirmations of a follower are then at most about 1 s old, half of the age at
// which it reads the store itself.
constexpr Duration kLeaderReadPeriod = 450ms;
constexpr Duration kOwnReadPeriod = 1s;
// Wait and pause of a host that another one confirms. The leader reports newer versions,
// so only the price of the reads counts.
constexpr Duration kConfirmedHostWait = 15s;
// As before confirmations were needed.
constexpr Duration kPlainWait = 2s;
constexpr Duration kPlainPause = 50ms;
// Period of reads of all rows while the newest row cannot be used, since it may have been
// damaged on its way.
constexpr Duration kWholeReadPeriod = 1s;

constexpr const char* kConfirmedSeries = "savoryrill_gateway_config_confirmed";

} // namespace

ConfirmationTask::ConfirmationTask(Dependencies aDependencies)
  : mDependencies(aDependencies)
{
}

void
ConfirmationTask::configApplied(const serving::ServingConfig& aConfig)
{
  mNewestUsable = true;
  mActive = aConfig.organisations != nullptr && mDependencies.confirmation.bounded();
  updateReader();
}

void
ConfirmationTask::setLeading(bool aLeads)
{
  mLeading = aLeads;
  updateReader();
}

bool
ConfirmationTask::readSucceeded(std::uint64_t aVersion, Instant aStarted)
{
  if (!mActive || !mNewestUsable) {
    return false;
  }
  mDependencies.confirmation.confirmed(aVersion, aStarted);
  mDependencies.metrics.add("savoryrill_gateway_confirmations_total{source=\"store\"}");
  reportState(mDependencies.loop.now());
  return true;
}

void
ConfirmationTask::confirmedByLeader(std::uint64_t aVersion, Instant aAsOf)
{
  if (!mActive) {
    return;
  }
  mDependencies.confirmation.confirmedByLeader(aVersion, aAsOf);
  mDependencies.metrics.add("savoryrill_gateway_confirmations_total{source=\"leader\"}");
  updateReader();
  reportState(mDependencies.loop.now());
}

ConfirmationTask::Reader
ConfirmationTask::chooseReader(Instant aNow) const
{
  if (!mActive) {
    return Reader::Unneeded;
  }
  if (mLeading) {
    return Reader::Leader;
  }
  return mDependencies.confirmation.wantsOwnRead(aNow) ? Reader::OwnHost
                                                       : Reader::OtherHost;
}

void
ConfirmationTask::updateReader()
{
  const auto reader = chooseReader(mDependencies.loop.now());
  if (reader == mReader) {
    return;
  }
  mReader = reader;
  auto& follower = mDependencies.follower;
  switch (reader) {
    case Reader::Unneeded:
      follower.setTiming(kPlainWait, kPlainPause, Duration::zero());
      return;
    case Reader::OtherHost:
      follower.setTiming(kConfirmedHostWait, kPlainPause, Duration::zero());
      return;
    case Reader::Leader:
      follower.setTiming(
        kConfirmingWait, kLeaderReadPeriod - kConfirmingWait, kOwnReadPeriod);
      break;
    case Reader::OwnHost:
      follower.setTiming(
        kConfirmingWait, kOwnReadPeriod - kConfirmingWait, kOwnReadPeriod);
      break;
  }
  follower.readNow(); // a read in progress may wait for long
}

void
ConfirmationTask::tick()
{
  if (!mActive) {
    return;
  }
  updateReader();
  const auto now = mDependencies.loop.now();
  reportState(now);
  if (!mNewestUsable && (!mWholeRead || now - *mWholeRead >= kWholeReadPeriod)) {
    mWholeRead = now;
    mDependencies.follower.readAllNow();
  }
}

void
ConfirmationTask::reportState(Instant aNow)
{
  const bool confirmed = mDependencies.confirmation.valid(aNow);
  if (mReported != confirmed) {
    mReported = confirmed;
    mDependencies.metrics.set(kConfirmedSeries, confirmed ? 1 : 0);
  }
}

} // namespace savoryrill::gateway
