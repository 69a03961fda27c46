#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/types/enumnames.h"
#include "routing/claimrow.h"
#include "routing/types/refusal.h"

namespace savoryrill::routing {

/// A claim row with its version, as read from the table store.
struct VersionedClaim
{
  ClaimRow row;
  std::uint64_t version = 0;
};

/// Events of one request with an idempotency key.
namespace claim_event {

/// The insertion of the claim was committed.
struct Committed
{
  std::uint64_t version = 0;
};
/// The insertion or the record failed its precondition: the row exists already, or has
/// another version or is absent.
struct Conflict
{};
/// The response of the table store was lost: it is unknown whether the insertion or the
/// record took effect.
struct ResponseLost
{};
/// The row was read; nothing if it is absent.
struct ReadBack
{
  std::optional<VersionedClaim> claim;
};
/// The row exists but cannot be parsed.
struct Unreadable
{};
/// The platform was not reached; the operation certainly had no effect.
struct PlatformUnavailable
{};
/// The request may have reached the upstream from now on.
struct Dispatched
{};
/// The upstream certainly did not execute the dispatched request.
struct NotRun
{};
/// The request ends early: its deadline passed, the caller disconnected or the router
/// shuts down.
struct Abandoned
{};
/// The upstream's response is complete.
struct Finished
{
  RecordedOutcome outcome;
};
/// The request was dispatched and its outcome will never be known.
struct OutcomeUnknown
{};
/// The outcome was written to the row, which now has this version.
struct Recorded
{
  std::uint64_t version = 0;
};

} // namespace claim_event

using ClaimEvent = std::variant<claim_event::Committed,
                                claim_event::Conflict,
                                claim_event::ResponseLost,
                                claim_event::ReadBack,
                                claim_event::Unreadable,
                                claim_event::PlatformUnavailable,
                                claim_event::Dispatched,
                                claim_event::NotRun,
                                claim_event::Abandoned,
                                claim_event::Finished,
                                claim_event::OutcomeUnknown,
                                claim_event::Recorded>;

/// Commands to the task that drives the state machine.
namespace claim_command {

/// Insert the row on condition that it is absent.
struct Insert
{
  ClaimRow row;
};
/// Read the row. `retry` counts the reads of a clean-up; the delay before a read grows
/// with it, and 0 means no delay.
struct ReadRow
{
  std::uint32_t retry = 0;
};
/// This attempt owns the key: choose an upstream and dispatch the request.
struct Dispatch
{};
/// Write the row on condition that it has this version. The delay before a write grows
/// with `retry`, and 0 means no delay.
struct Record
{
  ClaimRow row;
  std::uint64_t version = 0;
  std::uint32_t retry = 0;
};
/// Delete the row on condition that it has this version, so that the key can be used
/// again.
struct Release
{
  std::uint64_t version = 0;
};
/// Respond to a duplicate request with the recorded outcome.
struct ReplayOutcome
{
  RecordedOutcome outcome;
};
/// Refuse the request; the refusal states whether it may have been executed.
struct Refuse
{
  Refusal refusal;
};

} // namespace claim_command

using ClaimCommand = std::variant<claim_command::Insert,
                                  claim_command::ReadRow,
                                  claim_command::Dispatch,
                                  claim_command::Record,
                                  claim_command::Release,
                                  claim_command::ReplayOutcome,
                                  claim_command::Refuse>;

/// State machine for the at-most-once execution of a request with an idempotency key
/// (docs/design.md section 6, P6). The claim row is inserted before the dispatch, so of
/// all attempts with the key only the one named in the row may dispatch. The commands
/// depend only on the state and the event: no I/O, no clock. Events that do not fit the
/// phase are ignored. Not thread safe.
class ClaimMachine
{
public:
  using Commands = std::vector<ClaimCommand>;

  /// Precondition: `aAttempt` is unique over all routers and their restarts.
  ClaimMachine(std::string aAttempt, std::string aRequestDigest);

  /// Returns the first commands.
  Commands start();

  /// Processes an event and returns the commands that follow from it.
  Commands on(const ClaimEvent& aEvent);

  /// State machines that compare equal return equal commands for all further events.
  auto operator<=>(const ClaimMachine&) const = default;

  /// True once the request has been responded to and nothing is left to write.
  bool finished() const { return mPhase == Phase::Finished; }

  /// True while the key is owned and the request may be dispatched.
  bool mayDispatch() const { return mPhase == Phase::Owned; }

  /// True while a dispatched attempt has not ended.
  bool running() const { return mPhase == Phase::Running; }

  /// True while the row is being inserted or read.
  bool claiming() const
  {
    return mPhase == Phase::Inserting || mPhase == Phase::ReadingBack;
  }

private:
  enum class Phase
  {
    Idle,
    Inserting,
    ReadingBack,
    Owned,
    Running,
    Recording,
    CleaningUp, // refused without dispatch; a row of this attempt may be left to delete
    Finished
  };

  Commands handle(const claim_event::Committed& aEvent);
  Commands handle(const claim_event::Conflict& aEvent);
  Commands handle(const claim_event::ResponseLost& aEvent);
  Commands handle(const claim_event::ReadBack& aEvent);
  Commands handle(const claim_event::Unreadable& aEvent);
  Commands handle(const claim_event::PlatformUnavailable& aEvent);
  Commands handle(const claim_event::Dispatched& aEvent);
  Commands handle(const claim_event::NotRun& aEvent);
  Commands handle(const claim_event::Abandoned& aEvent);
  Commands handle(const claim_event::Finished& aEvent);
  Commands handle(const claim_event::OutcomeUnknown& aEvent);
  Commands handle(const claim_event::Recorded& aEvent);

  Commands takeOwnership(std::uint64_t aVersion);
  Commands insert();
  Commands respondToDuplicate(const ClaimRow& aRow);
  Commands refuse(RefusalReason aReason, Ran aRan, const char* aDetail);
  Commands recordOutcome();
  Commands refuseAndCleanUp();
  Commands cleanUp();
  Commands release(std::uint64_t aVersion);

  std::string mAttempt;
  std::string mRequestDigest;
  Phase mPhase = Phase::Idle;
  std::uint64_t mVersion = 0;
  std::uint32_t mInsertions = 0;
  std::uint32_t mRecordAttempts = 0;
  std::uint32_t mCleanUpReads = 0;
  ClaimRow mFinalRow;
};

} // namespace savoryrill::routing
