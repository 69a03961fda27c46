#include "cli/internal/committer.h"

#include <utility>

#include "cli/internal/await.h"

namespace savoryrill::cli {

using platform::Row;
using platform::Transaction;
using platform::TransactionOutcome;

Committer::Committer(event::Loop& aLoop,
                     platform::IPlatform& aPlatform,
                     CommitRequest aRequest)
  : mLoop(aLoop)
  , mPlatform(aPlatform)
  , mRequest(std::move(aRequest))
  , mSha256(sha256Of(mRequest.bytes))
{
}

CommitResult
Committer::run()
{
  const auto row = readHead();
  if (!row) {
    return failed(row.error());
  }
  if (auto settled = settledBy(row.value())) {
    return *settled;
  }
  const ConfigHead& head = row.value().head;
  if (mRequest.expectVersion && *mRequest.expectVersion != head.version) {
    return { CommitStatus::Conflict, 0, head, "the expected version is not in force" };
  }
  // The object is in place before any process can read of it in the row.
  const auto object = putObject();
  if (!object) {
    return { CommitStatus::NotReachable, 0, head, object.error().message };
  }
  return commit(row.value());
}

CommitResult
Committer::failed(const Error& aError) const
{
  const auto status = aError.code == ErrorCode::Malformed ? CommitStatus::HeadMalformed
                                                          : CommitStatus::NotReachable;
  return { status, 0, std::nullopt, aError.message };
}

Result<Committer::HeadRow>
Committer::readHead()
{
  const auto row = await<std::optional<Row>>(
    mLoop, [this](auto aDone) { mPlatform.readRow(kHeadKey, std::move(aDone)); });
  if (!row) {
    return row.as_failure();
  }
  if (!row.value()) {
    return HeadRow{};
  }
  auto head = parseHead(row.value()->value);
  if (!head) {
    return head.as_failure();
  }
  return HeadRow{ row.value()->version, std::move(head.value()) };
}

Result<bool>
Committer::putObject()
{
  for (int attempt = 1;; ++attempt) {
    auto result = await<bool>(mLoop, [this](auto aDone) {
      mPlatform.putObject("config/" + mSha256, mRequest.bytes, std::move(aDone));
    });
    // Writing an object again is harmless, so any failure may be repeated.
    if (result || attempt >= mRequest.maxAttempts) {
      return result;
    }
    pause(mLoop, mRequest.retryDelay);
  }
}

std::optional<CommitResult>
Committer::settledBy(const HeadRow& aRow) const
{
  const ConfigHead& head = aRow.head;
  const auto own = versionOf(head, mRequest.changeId);
  if (own && *own == head.version) {
    const bool same = head.sha256 == mSha256;
    return CommitResult{
      same ? CommitStatus::AlreadyInForce : CommitStatus::ChangeIdInUse, *own, head, ""
    };
  }
  if (own) {
    return CommitResult{ CommitStatus::Replaced, *own, head, "" };
  }
  if (head.version > 0 && head.sha256 == mSha256) {
    return CommitResult{ CommitStatus::AlreadyInForce, head.version, head, "" };
  }
  return std::nullopt;
}

CommitResult
Committer::commit(const HeadRow& aOld)
{
  const ConfigHead next = nextHead(aOld.head, mRequest.changeId, mSha256);
  const Transaction transaction{ { { kHeadKey, aOld.rowVersion } },
                                 { { kHeadKey, serialise(next) } } };
  bool maybe_sent = false;
  std::string message;
  // Sending the same transaction again is safe: its check lets at most one copy take
  // effect.
  for (int attempt = 1; attempt <= mRequest.maxAttempts; ++attempt) {
    const auto outcome = await<TransactionOutcome>(
      mLoop, [&](auto aDone) { mPlatform.transact(transaction, std::move(aDone)); });
    if (outcome && outcome.value().committed) {
      return { CommitStatus::Committed, next.version, next, "" };
    }
    if (!outcome) {
      message = outcome.error().message;
      maybe_sent = maybe_sent || outcome.error().code != ErrorCode::Unavailable;
    }
    const bool conflict = outcome.has_value();
    if (conflict || maybe_sent) {
      if (auto settled = settle(aOld, maybe_sent)) {
        return *settled;
      }
    }
    if (conflict && !maybe_sent) {
      return { CommitStatus::Conflict, 0, std::nullopt, "the winner could not be read" };
    }
    if (attempt < mRequest.maxAttempts) {
      pause(mLoop, mRequest.retryDelay);
    }
  }
  return { maybe_sent ? CommitStatus::OutcomeUnknown : CommitStatus::NotReachable,
           0,
           std::nullopt,
           message };
}

/// Reads the row to tell whether the own change took effect; nothing if that is still
/// open.
std::optional<CommitResult>
Committer::settle(const HeadRow& aOld, bool aMaybeSent)
{
  const auto row = readHead();
  if (!row || row.value().rowVersion == aOld.rowVersion) {
    return std::nullopt;
  }
  const ConfigHead& head = row.value().head;
  if (const auto own = versionOf(head, mRequest.changeId)) {
    const bool replaced = *own != head.version;
    return CommitResult{
      replaced ? CommitStatus::Replaced : CommitStatus::Committed, *own, head, ""
    };
  }
  if (aMaybeSent && !remembersSince(head, aOld.head.version + 1)) {
    return CommitResult{ CommitStatus::OutcomeUnknown,
                         0,
                         head,
                         "so many changes followed that the row no longer tells" };
  }
  if (head.sha256 == mSha256) {
    return CommitResult{ CommitStatus::AlreadyInForce, head.version, head, "" };
  }
  return CommitResult{ CommitStatus::Conflict, 0, head, "" };
}

} // namespace savoryrill::cli
