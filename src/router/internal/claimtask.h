#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/metrics.h"
#include "event/loop.h"
#include "platform/iplatform.h"
#include "router/types/messages.h"

namespace savoryrill::router {

struct ClaimTaskOptions
{
  Duration batchDelay = 3ms;          // writes within this time share a transaction
  std::size_t maxBatch = 64;          // rows in one transaction
  std::size_t maxRowBodyBytes = 4096; // larger or non-UTF-8 bodies go to the object store
  Duration rowTimeToLive = 86400s;
  Duration minRetryDelay = 250ms; // doubles with each retry
  Duration maxRetryDelay = 8s;
};

/// Reads and writes claims at the platform: batches writes into transactions, sends a
/// batch again without the rows that conflict, and stores large outcomes in the object
/// store. Not thread safe.
class ClaimTask
{
public:
  /// Preconditions: all references outlive the task.
  ClaimTask(event::Loop& aLoop,
            platform::IPlatform& aPlatform,
            event::Mailbox<DispatchMessage>& aDispatch,
            Metrics& aMetrics,
            ClaimTaskOptions aOptions);

  /// Handles a message.
  void handle(ClaimMessage aMessage);

  /// Writes that are queued, in flight or waiting for a retry. A read that waits for a
  /// retry is counted too.
  std::size_t pendingWrites() const
  {
    return mQueue.size() + mInFlight + mRetryTimers.size();
  }

private:
  struct Write
  {
    ClaimOperation operation;
    std::uint32_t failures = 0;
  };
  using Batch = std::vector<Write>;

  void on(ClaimOperation& aMessage);
  void on(const ReadOutcomeBody& aMessage);
  void read(const ClaimOperation& aOperation);
  void record(Write aWrite);
  void enqueue(Write aWrite);
  void flush();
  void send(Batch aBatch);
  void handleTransactionResult(Batch aBatch,
                               Result<platform::TransactionOutcome> aResult);
  void retryWithoutConflicts(Batch aBatch, const platform::TransactionOutcome& aOutcome);
  void handleFailure(Write aWrite, ErrorCode aCode);
  void sendEvent(const ClaimOperation& aOperation, routing::ClaimEvent aEvent);
  void runAfterDelay(std::uint32_t aRetry, std::function<void()> aAction);

  event::Loop& mLoop;
  platform::IPlatform& mPlatform;
  event::Mailbox<DispatchMessage>& mDispatch;
  Metrics& mMetrics;
  ClaimTaskOptions mOptions;
  Batch mQueue;
  std::size_t mInFlight = 0;
  event::Watch mFlush;
  std::uint64_t mLastRetryTimer = 0;
  std::map<std::uint64_t, event::Watch> mRetryTimers;
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace savoryrill::router
