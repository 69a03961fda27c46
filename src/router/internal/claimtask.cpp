#include "router/internal/claimtask.h"

#include <algorithm>
#include <set>
#include <utility>

#include "router/internal/text.h"

namespace savoryrill::router {

namespace {

namespace claim_command = routing::claim_command;
namespace claim_event = routing::claim_event;

constexpr std::uint32_t kMaxReleaseFailures = 8;

/// The check and the write of one claim command.
struct RowChange
{
  platform::RowCheck check;
  platform::RowWrite write;
};

RowChange
changeOf(const ClaimWork& aWork, Duration aTimeToLive)
{
  if (const auto* insert = std::get_if<claim_command::Insert>(&aWork.command)) {
    return { { aWork.key, 0 }, { aWork.key, serialise(insert->row), aTimeToLive } };
  }
  if (const auto* record = std::get_if<claim_command::Record>(&aWork.command)) {
    return { { aWork.key, record->version },
             { aWork.key, serialise(record->row), aTimeToLive } };
  }
  const auto& release = std::get<claim_command::Release>(aWork.command);
  return { { aWork.key, release.version }, { aWork.key, std::nullopt, aTimeToLive } };
}

bool
isRelease(const ClaimWork& aWork)
{
  return std::holds_alternative<claim_command::Release>(aWork.command);
}

} // namespace

ClaimTask::ClaimTask(event::Loop& aLoop,
                     platform::IPlatform& aPlatform,
                     event::Mailbox<DispatchMessage>& aDispatch,
                     Metrics& aMetrics,
                     ClaimTaskOptions aOptions)
  : mLoop(aLoop)
  , mPlatform(aPlatform)
  , mDispatch(aDispatch)
  , mMetrics(aMetrics)
  , mOptions(aOptions)
{
}

void
ClaimTask::handle(ClaimMessage aMessage)
{
  std::visit([this](auto& aTyped) { on(aTyped); }, aMessage);
}

void
ClaimTask::on(ClaimWork& aMessage)
{
  if (const auto* read_row = std::get_if<claim_command::ReadRow>(&aMessage.command)) {
    later(read_row->retry, [this, work = aMessage] { read(work); });
  } else if (const auto* outcome =
               std::get_if<claim_command::Record>(&aMessage.command)) {
    later(outcome->retry, [this, work = aMessage] { record({ work }); });
  } else {
    enqueue({ std::move(aMessage) });
  }
}

void
ClaimTask::on(const ReadOutcomeBody& aMessage)
{
  mPlatform.readObject(
    aMessage.outcome.object,
    [this, aMessage, alive = std::weak_ptr(mAlive)](
      Result<std::optional<std::string>> aResult) {
      if (!alive.expired()) {
        mDispatch.send(OutcomeBody{
          aMessage.request, aMessage.outcome, aResult ? aResult.value() : std::nullopt });
      }
    });
}

/// Runs an action now, or after a delay that doubles with each repetition.
void
ClaimTask::later(std::uint32_t aRepetition, std::function<void()> aAction)
{
  if (aRepetition == 0) {
    aAction();
    return;
  }
  constexpr std::uint32_t kLargestShift = 16;
  const auto factor = std::int64_t(1) << std::min(aRepetition - 1, kLargestShift);
  const Duration delay =
    std::min(mOptions.firstRepeatDelay * factor, mOptions.longestRepeatDelay);
  const std::uint64_t number = ++mLastDelayed;
  mDelayed[number] = mLoop.after(delay, [this, number, action = std::move(aAction)] {
    const auto run = action;
    mDelayed.erase(number);
    run();
  });
}

void
ClaimTask::answer(const ClaimWork& aWork, routing::ClaimEvent aEvent)
{
  mDispatch.send(ClaimAnswered{ aWork.request, std::move(aEvent) });
}

void
ClaimTask::read(const ClaimWork& aWork)
{
  mMetrics.add("savoryrill_router_claim_reads_total");
  mPlatform.readRow(aWork.key,
                    [this, aWork, alive = std::weak_ptr(mAlive)](
                      Result<std::optional<platform::Row>> aResult) {
                      if (alive.expired()) {
                        return;
                      }
                      if (!aResult) {
                        answer(aWork, claim_event::PlatformUnavailable{});
                        return;
                      }
                      const auto& row = aResult.value();
                      if (!row) {
                        answer(aWork, claim_event::ReadBack{});
                        return;
                      }
                      const auto claim = routing::parseClaimRow(row->value);
                      if (!claim) {
                        answer(aWork, claim_event::Unreadable{});
                        return;
                      }
                      answer(aWork,
                             claim_event::ReadBack{
                               routing::VersionedClaim{ claim.value(), row->version } });
                    });
}

/// Moves a large or binary body to the object store before the row refers to it.
void
ClaimTask::record(Write aWrite)
{
  auto& outcome = std::get<claim_command::Record>(aWrite.work.command).row.outcome;
  if (outcome.body.size() <= mOptions.maxRowBodyBytes && isUtf8(outcome.body)) {
    enqueue(std::move(aWrite));
    return;
  }
  outcome.object = "claim-outcomes/" + sha256Hex(outcome.body);
  std::string body = std::exchange(outcome.body, {});
  ++mInFlight;
  mPlatform.putObject(
    outcome.object,
    std::move(body),
    [this, aWrite, alive = std::weak_ptr(mAlive)](Result<bool> aResult) {
      if (alive.expired()) {
        return;
      }
      --mInFlight;
      if (aResult) {
        enqueue(aWrite);
      } else {
        // Nothing is in the row yet, so the machine may record again.
        answer(aWrite.work, claim_event::PlatformUnavailable{});
      }
    });
}

void
ClaimTask::enqueue(Write aWrite)
{
  mQueue.push_back(std::move(aWrite));
  if (mQueue.size() >= mOptions.maxBatch) {
    flush();
  } else if (!mFlush) {
    mFlush = mLoop.after(mOptions.batchDelay, [this] { flush(); });
  }
}

/// Sends what is queued. Two writes of one row cannot share a transaction, so the second
/// one waits for the next.
void
ClaimTask::flush()
{
  mFlush.reset();
  Batch batch;
  Batch rest;
  std::set<std::string> keys;
  for (auto& write : mQueue) {
    const bool fits =
      batch.size() < mOptions.maxBatch && keys.insert(write.work.key).second;
    (fits ? batch : rest).push_back(std::move(write));
  }
  mQueue = std::move(rest);
  if (!mQueue.empty()) {
    mFlush = mLoop.after(mOptions.batchDelay, [this] { flush(); });
  }
  if (!batch.empty()) {
    send(std::move(batch));
  }
}

void
ClaimTask::send(Batch aBatch)
{
  platform::Transaction transaction;
  for (const auto& write : aBatch) {
    auto change = changeOf(write.work, mOptions.rowTimeToLive);
    transaction.checks.push_back(std::move(change.check));
    transaction.writes.push_back(std::move(change.write));
  }
  mMetrics.add("savoryrill_router_claim_transactions_total");
  mMetrics.add("savoryrill_router_claim_writes_total", aBatch.size());
  mInFlight += aBatch.size();
  mPlatform.transact(std::move(transaction),
                     [this, batch = std::move(aBatch), alive = std::weak_ptr(mAlive)](
                       Result<platform::TransactionOutcome> aResult) {
                       if (!alive.expired()) {
                         mInFlight -= batch.size();
                         finished(batch, std::move(aResult));
                       }
                     });
}

void
ClaimTask::finished(Batch aBatch, Result<platform::TransactionOutcome> aResult)
{
  if (!aResult) {
    for (auto& write : aBatch) {
      failed(std::move(write), aResult.error().code);
    }
    return;
  }
  const auto& outcome = aResult.value();
  if (!outcome.committed) {
    split(std::move(aBatch), outcome);
    return;
  }
  for (const auto& write : aBatch) {
    const auto version = outcome.versions.find(write.work.key);
    const std::uint64_t number = version == outcome.versions.end() ? 0 : version->second;
    if (std::holds_alternative<claim_command::Record>(write.work.command)) {
      answer(write.work, claim_event::Recorded{ number });
    } else if (!isRelease(write.work)) {
      // Without its version the row could not be written again: read it.
      answer(write.work,
             number == 0 ? routing::ClaimEvent(claim_event::ResponseLost{})
                         : routing::ClaimEvent(claim_event::Committed{ number }));
    }
  }
}

/// Writes whose row conflicts have failed; the others are sent again without them.
void
ClaimTask::split(Batch aBatch, const platform::TransactionOutcome& aOutcome)
{
  mMetrics.add("savoryrill_router_claim_conflicts_total");
  Batch rest;
  for (auto& write : aBatch) {
    const bool conflicts =
      aOutcome.conflicts.empty() || aOutcome.conflicts.count(write.work.key) > 0;
    if (!conflicts) {
      rest.push_back(std::move(write));
    } else if (!isRelease(write.work)) {
      answer(write.work, claim_event::Conflict{});
    }
  }
  if (!rest.empty()) {
    send(std::move(rest));
  }
}

void
ClaimTask::failed(Write aWrite, ErrorCode aCode)
{
  if (!isRelease(aWrite.work)) {
    answer(aWrite.work,
           aCode == ErrorCode::Unavailable
             ? routing::ClaimEvent(claim_event::PlatformUnavailable{})
             : routing::ClaimEvent(claim_event::ResponseLost{}));
  } else if (++aWrite.failures < kMaxReleaseFailures) {
    // Repeating is safe: the version check lets only one release take effect.
    later(aWrite.failures, [this, aWrite] { enqueue(aWrite); });
  }
}

} // namespace savoryrill::router
