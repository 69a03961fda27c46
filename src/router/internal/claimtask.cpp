#include "router/internal/claimtask.h"

#include <algorithm>
#include <set>
#include <utility>

#include "router/internal/text.h"

namespace savoryrill::router {

namespace {

namespace claim_command = routing::claim_command;
namespace claim_event = routing::claim_event;

// After this many failures a release is dropped; the claim's row then stays in the table
// store until its time to live ends.
constexpr std::uint32_t kMaxReleaseFailures = 8;

/// The version check and the row write of one claim command.
struct RowChange
{
  platform::RowCheck check;
  platform::RowWrite write;
};

RowChange
changeOf(const ClaimOperation& aOperation, Duration aTimeToLive)
{
  if (const auto* insert = std::get_if<claim_command::Insert>(&aOperation.command)) {
    return { { aOperation.key, 0 },
             { aOperation.key, serialise(insert->row), aTimeToLive } };
  }
  if (const auto* record = std::get_if<claim_command::Record>(&aOperation.command)) {
    return { { aOperation.key, record->version },
             { aOperation.key, serialise(record->row), aTimeToLive } };
  }
  const auto& release = std::get<claim_command::Release>(aOperation.command);
  return { { aOperation.key, release.version },
           { aOperation.key, std::nullopt, aTimeToLive } };
}

bool
isRelease(const ClaimOperation& aOperation)
{
  return std::holds_alternative<claim_command::Release>(aOperation.command);
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
ClaimTask::on(ClaimOperation& aMessage)
{
  if (const auto* read_row = std::get_if<claim_command::ReadRow>(&aMessage.command)) {
    runAfterDelay(read_row->retry, [this, operation = aMessage] { read(operation); });
  } else if (const auto* outcome =
               std::get_if<claim_command::Record>(&aMessage.command)) {
    runAfterDelay(outcome->retry,
                  [this, operation = aMessage] { record({ operation }); });
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
        mDispatch.send(OutcomeBodyRead{
          aMessage.request, aMessage.outcome, aResult ? aResult.value() : std::nullopt });
      }
    });
}

/// Runs an action now if `aRetry` is 0, else after a delay that doubles with each retry.
void
ClaimTask::runAfterDelay(std::uint32_t aRetry, std::function<void()> aAction)
{
  if (aRetry == 0) {
    aAction();
    return;
  }
  constexpr std::uint32_t kMaxShift = 16;
  const auto factor = std::int64_t(1) << std::min(aRetry - 1, kMaxShift);
  const Duration delay =
    std::min(mOptions.minRetryDelay * factor, mOptions.maxRetryDelay);
  const std::uint64_t number = ++mLastRetryTimer;
  mRetryTimers[number] = mLoop.after(delay, [this, number, action = std::move(aAction)] {
    const auto run = action;
    mRetryTimers.erase(number);
    run();
  });
}

void
ClaimTask::sendEvent(const ClaimOperation& aOperation, routing::ClaimEvent aEvent)
{
  mDispatch.send(ClaimEventArrived{ aOperation.request, std::move(aEvent) });
}

void
ClaimTask::read(const ClaimOperation& aOperation)
{
  mMetrics.add("savoryrill_router_claim_reads_total");
  mPlatform.readRow(aOperation.key,
                    [this, aOperation, alive = std::weak_ptr(mAlive)](
                      Result<std::optional<platform::Row>> aResult) {
                      if (alive.expired()) {
                        return;
                      }
                      if (!aResult) {
                        sendEvent(aOperation, claim_event::PlatformUnavailable{});
                        return;
                      }
                      const auto& row = aResult.value();
                      if (!row) {
                        sendEvent(aOperation, claim_event::ReadBack{});
                        return;
                      }
                      const auto claim = routing::parseClaimRow(row->value);
                      if (!claim) {
                        sendEvent(aOperation, claim_event::Unreadable{});
                        return;
                      }
                      sendEvent(aOperation,
                                claim_event::ReadBack{ routing::VersionedClaim{
                                  claim.value(), row->version } });
                    });
}

/// Queues the write of an outcome. A body that is large or not UTF-8 is first written to
/// the object store, and the row then refers to it.
void
ClaimTask::record(Write aWrite)
{
  auto& outcome = std::get<claim_command::Record>(aWrite.operation.command).row.outcome;
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
        // The row has not been written yet, so the claim machine may record again.
        sendEvent(aWrite.operation, claim_event::PlatformUnavailable{});
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

/// Sends the queued writes. Two writes of one row cannot share a transaction, so the
/// second write waits for the next transaction.
void
ClaimTask::flush()
{
  mFlush.reset();
  Batch batch;
  Batch rest;
  std::set<std::string> keys;
  for (auto& write : mQueue) {
    const bool fits =
      batch.size() < mOptions.maxBatch && keys.insert(write.operation.key).second;
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
    auto change = changeOf(write.operation, mOptions.rowTimeToLive);
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
                         handleTransactionResult(batch, std::move(aResult));
                       }
                     });
}

void
ClaimTask::handleTransactionResult(Batch aBatch,
                                   Result<platform::TransactionOutcome> aResult)
{
  if (!aResult) {
    for (auto& write : aBatch) {
      handleFailure(std::move(write), aResult.error().code);
    }
    return;
  }
  const auto& outcome = aResult.value();
  if (!outcome.committed) {
    retryWithoutConflicts(std::move(aBatch), outcome);
    return;
  }
  for (const auto& write : aBatch) {
    const auto version = outcome.versions.find(write.operation.key);
    const std::uint64_t number = version == outcome.versions.end() ? 0 : version->second;
    if (std::holds_alternative<claim_command::Record>(write.operation.command)) {
      sendEvent(write.operation, claim_event::Recorded{ number });
    } else if (!isRelease(write.operation)) {
      // Without its version the row cannot be written again, so the claim machine
      // has to read it back.
      sendEvent(write.operation,
                number == 0 ? routing::ClaimEvent(claim_event::ResponseLost{})
                            : routing::ClaimEvent(claim_event::Committed{ number }));
    }
  }
}

/// Reports a conflict for each write whose row caused one, or for all writes if the
/// platform names no row; a release with a conflict is dropped. Sends the other writes
/// again in a new transaction.
void
ClaimTask::retryWithoutConflicts(Batch aBatch,
                                 const platform::TransactionOutcome& aOutcome)
{
  mMetrics.add("savoryrill_router_claim_conflicts_total");
  Batch rest;
  for (auto& write : aBatch) {
    const bool conflicts =
      aOutcome.conflicts.empty() || aOutcome.conflicts.count(write.operation.key) > 0;
    if (!conflicts) {
      rest.push_back(std::move(write));
    } else if (!isRelease(write.operation)) {
      sendEvent(write.operation, claim_event::Conflict{});
    }
  }
  if (!rest.empty()) {
    send(std::move(rest));
  }
}

void
ClaimTask::handleFailure(Write aWrite, ErrorCode aCode)
{
  if (!isRelease(aWrite.operation)) {
    sendEvent(aWrite.operation,
              aCode == ErrorCode::Unavailable
                ? routing::ClaimEvent(claim_event::PlatformUnavailable{})
                : routing::ClaimEvent(claim_event::ResponseLost{}));
  } else if (++aWrite.failures < kMaxReleaseFailures) {
    // A retry is safe: the version check lets only one release take effect.
    runAfterDelay(aWrite.failures, [this, aWrite] { enqueue(aWrite); });
  }
}

} // namespace savoryrill::router
