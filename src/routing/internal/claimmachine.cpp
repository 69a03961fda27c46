#include "routing/claimmachine.h"

#include <utility>

namespace savoryrill::routing {

namespace {

// Allows a second insertion if the response to the first was lost and the row is absent
// when read. If the first insertion still arrives, one of the two fails with a conflict,
// so that only one takes effect.
constexpr std::uint32_t kMaxInsertions = 2;
// With the growing delays between retries, this number of attempts covers an outage of
// the platform of about half a minute.
constexpr std::uint32_t kMaxRecordAttempts = 8;
constexpr std::uint32_t kMaxCleanUpReads = 8;

} // namespace

ClaimMachine::ClaimMachine(std::string aAttempt, std::string aRequestDigest)
  : mAttempt(std::move(aAttempt))
  , mRequestDigest(std::move(aRequestDigest))
{
}

ClaimMachine::Commands
ClaimMachine::start()
{
  return mPhase == Phase::Idle ? insert() : Commands{};
}

ClaimMachine::Commands
ClaimMachine::on(const ClaimEvent& aEvent)
{
  return std::visit([this](const auto& aTyped) { return handle(aTyped); }, aEvent);
}

ClaimMachine::Commands
ClaimMachine::insert()
{
  ++mInsertions;
  mPhase = Phase::Inserting;
  ClaimRow row;
  row.attempt = mAttempt;
  row.requestDigest = mRequestDigest;
  return { claim_command::Insert{ row } };
}

ClaimMachine::Commands
ClaimMachine::takeOwnership(std::uint64_t aVersion)
{
  mPhase = Phase::Owned;
  mVersion = aVersion;
  return { claim_command::Dispatch{} };
}

ClaimMachine::Commands
ClaimMachine::refuse(RefusalReason aReason, Ran aRan, const char* aDetail)
{
  mPhase = Phase::Finished;
  return { claim_command::Refuse{ { aReason, aDetail, aRan, std::nullopt } } };
}

ClaimMachine::Commands
ClaimMachine::release(std::uint64_t aVersion)
{
  mPhase = Phase::Finished;
  return { claim_command::Release{ aVersion } };
}

ClaimMachine::Commands
ClaimMachine::handle(const claim_event::Committed& aEvent)
{
  if (mPhase == Phase::Inserting) {
    return takeOwnership(aEvent.version);
  }
  return mPhase == Phase::CleaningUp ? release(aEvent.version) : Commands{};
}

ClaimMachine::Commands
ClaimMachine::handle(const claim_event::Conflict&)
{
  if (mPhase == Phase::Inserting) {
    mPhase = Phase::ReadingBack;
    return { claim_command::ReadRow{} };
  }
  if (mPhase == Phase::CleaningUp) {
    return cleanUp();
  }
  if (mPhase == Phase::Recording) {
    // Only this attempt writes the row, so an earlier record with a lost response took
    // effect, or the row has expired.
    mPhase = Phase::Finished;
  }
  return {};
}

ClaimMachine::Commands
ClaimMachine::handle(const claim_event::ResponseLost&)
{
  switch (mPhase) {
    case Phase::Inserting:
      mPhase = Phase::ReadingBack;
      return { claim_command::ReadRow{} };
    case Phase::CleaningUp:
      return cleanUp();
    case Phase::Recording:
      return recordOutcome();
    default:
      return {};
  }
}

ClaimMachine::Commands
ClaimMachine::handle(const claim_event::ReadBack& aEvent)
{
  const auto& claim = aEvent.claim;
  const bool own_row = claim && claim->row.attempt == mAttempt;
  if (mPhase == Phase::CleaningUp) {
    if (own_row) {
      return release(claim->version);
    }
    mPhase = Phase::Finished;
    return {};
  }
  if (mPhase != Phase::ReadingBack) {
    return {};
  }
  if (own_row) {
    return takeOwnership(claim->version);
  }
  if (claim) {
    return respondToDuplicate(claim->row);
  }
  if (mInsertions < kMaxInsertions) {
    return insert();
  }
  return refuse(RefusalReason::PlatformUnavailable,
                Ran::No,
                "the claim of the idempotency key could not be confirmed");
}

ClaimMachine::Commands
ClaimMachine::respondToDuplicate(const ClaimRow& aRow)
{
  if (aRow.requestDigest != mRequestDigest) {
    return refuse(RefusalReason::IdempotencyKeyReused,
                  Ran::No,
                  "the idempotency key belongs to a request with other content");
  }
  switch (aRow.state) {
    case ClaimState::Claimed:
      return refuse(RefusalReason::RequestInProgress,
                    Ran::Unknown,
                    "another attempt with this key has not ended");
    case ClaimState::Failed:
      return refuse(RefusalReason::OutcomeUnknown,
                    Ran::Unknown,
                    "an attempt with this key was sent and its outcome is unknown");
    case ClaimState::Done:
      break;
  }
  mPhase = Phase::Finished;
  return { claim_command::ReplayOutcome{ aRow.outcome } };
}

ClaimMachine::Commands
ClaimMachine::handle(const claim_event::Unreadable&)
{
  if (mPhase == Phase::ReadingBack) {
    // The attempt that wrote the row may have dispatched the request.
    return refuse(RefusalReason::OutcomeUnknown,
                  Ran::Unknown,
                  "the claim of the idempotency key cannot be understood");
  }
  if (mPhase == Phase::CleaningUp) {
    mPhase = Phase::Finished;
  }
  return {};
}

ClaimMachine::Commands
ClaimMachine::handle(const claim_event::PlatformUnavailable&)
{
  switch (mPhase) {
    case Phase::Inserting:
      if (mInsertions == 1) {
        return refuse(RefusalReason::PlatformUnavailable,
                      Ran::No,
                      "the platform's table cannot be reached");
      }
      // The first insertion may have taken effect although the row was absent when read.
      return refuseAndCleanUp();
    case Phase::ReadingBack:
      return refuseAndCleanUp();
    case Phase::Recording:
      return recordOutcome();
    case Phase::CleaningUp:
      return cleanUp();
    default:
      return {};
  }
}

/// Refuses the request; this attempt will not dispatch it. A row that this attempt left
/// is deleted once it can be read, so that the caller's next request with the key is not
/// taken for a duplicate.
ClaimMachine::Commands
ClaimMachine::refuseAndCleanUp()
{
  Commands commands = refuse(RefusalReason::PlatformUnavailable,
                             Ran::No,
                             "the claim cannot be read back from the platform");
  mPhase = Phase::CleaningUp;
  for (auto& command : cleanUp()) {
    commands.push_back(std::move(command));
  }
  return commands;
}

ClaimMachine::Commands
ClaimMachine::cleanUp()
{
  if (mCleanUpReads == kMaxCleanUpReads) {
    mPhase = Phase::Finished;
    return {};
  }
  ++mCleanUpReads;
  return { claim_command::ReadRow{ mCleanUpReads } };
}

ClaimMachine::Commands
ClaimMachine::handle(const claim_event::Dispatched&)
{
  if (mPhase == Phase::Owned) {
    mPhase = Phase::Running;
  }
  return {};
}

ClaimMachine::Commands
ClaimMachine::handle(const claim_event::NotRun&)
{
  if (mPhase == Phase::Running) {
    mPhase = Phase::Owned;
  }
  return {};
}

ClaimMachine::Commands
ClaimMachine::handle(const claim_event::Abandoned&)
{
  switch (mPhase) {
    case Phase::Inserting:
    case Phase::ReadingBack:
      // The response of the operation in progress shows whether there is a row to delete.
      mPhase = Phase::CleaningUp;
      return {};
    case Phase::Owned:
      return release(mVersion);
    case Phase::Running:
      return handle(claim_event::OutcomeUnknown{});
    default:
      return {};
  }
}

ClaimMachine::Commands
ClaimMachine::handle(const claim_event::Finished& aEvent)
{
  if (mPhase != Phase::Running) {
    return {};
  }
  mPhase = Phase::Recording;
  mFinalRow = { mAttempt, mRequestDigest, ClaimState::Done, aEvent.outcome };
  return recordOutcome();
}

ClaimMachine::Commands
ClaimMachine::handle(const claim_event::OutcomeUnknown&)
{
  if (mPhase != Phase::Running) {
    return {};
  }
  mPhase = Phase::Recording;
  mFinalRow = { mAttempt, mRequestDigest, ClaimState::Failed, {} };
  Commands commands{ claim_command::Refuse{
    { RefusalReason::OutcomeUnknown,
      "the request was sent and no complete answer arrived",
      Ran::Unknown,
      std::nullopt } } };
  for (auto& command : recordOutcome()) {
    commands.push_back(std::move(command));
  }
  return commands;
}

ClaimMachine::Commands
ClaimMachine::recordOutcome()
{
  if (mRecordAttempts == kMaxRecordAttempts) {
    // The row stays in state Claimed, so duplicates are refused as in progress until it
    // expires.
    mPhase = Phase::Finished;
    return {};
  }
  return { claim_command::Record{ mFinalRow, mVersion, mRecordAttempts++ } };
}

ClaimMachine::Commands
ClaimMachine::handle(const claim_event::Recorded&)
{
  if (mPhase == Phase::Recording) {
    mPhase = Phase::Finished;
  }
  return {};
}

} // namespace savoryrill::routing
