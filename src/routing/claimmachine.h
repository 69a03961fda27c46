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

/// A claim row with its version, as read from the table.
struct VersionedClaim
{
  ClaimRow row;
  std::uint64_t version = 0;
};

/// Events of one keyed request.
namespace claim_event {

/// The insertion of the claim was committed.
struct Committed
{
  std::uint64_t version = 0;
};
/// The insertion failed because the row exists.
struct Conflict
{};
/// It is unknown whether the insertion or the record took effect.
struct ResponseLost
{};
/// The row was read; nothing if it is absent.
struct ReadBack
{
  std::optional<VersionedClaim> claim;
};
/// The row is there but cannot be understood.
struct Unreadable
{};
/// The platform was not reached, certainly without effect.
struct PlatformUnavailable
{};
/// The request may have reached the upstream from now on.
struct Dispatched
{};
/// The dispatched request certainly did not run.
struct NotRun
{};
/// The request is given up before a dispatch: deadline, caller gone, shutdown.
struct Abandoned
{};
/// The upstream answered.
struct Finished
{
  RecordedOutcome outcome;
};
/// The request was dispatched and its outcome will not be known.
struct OutcomeUnknown
{};
/// The outcome is in the row, with this version.
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

/// Commands to the task that drives the machine.
namespace claim_command {

/// Insert the row, requiring that it is absent.
struct Insert
{
  ClaimRow row;
};
/// Read the row; repeated reads of a clean-up wait longer each time.
struct ReadRow
{
  std::uint32_t retry = 0;
};
/// The key is owned: choose an upstream and dispatch.
struct Dispatch
{};
/// Write the row, requiring this version; repetitions wait longer each time.
struct Record
{
  ClaimRow row;
  std::uint64_t version = 0;
  std::uint32_t retry = 0;
};
/// Delete the row, requiring this version, so that the key can be used again.
struct Release
{
  std::uint64_t version = 0;
};
/// Answer a duplicate with the recorded outcome.
struct ReplayOutcome
{
  RecordedOutcome outcome;
};
/// Refuse; whether it ran is in the refusal.
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

/// At-most-once execution of one keyed request (docs/design.md section 6, P6). The row is
/// inserted before the dispatch, so of all attempts with the key only the one named in
/// the row may dispatch. Every command list follows from the event alone: no I/O, no
/// clock. Events that do not fit the phase are ignored. Not thread safe.
class ClaimMachine
{
public:
  using Commands = std::vector<ClaimCommand>;

  /// `aAttempt` is unique over all routers and restarts.
  ClaimMachine(std::string aAttempt, std::string aRequestDigest);

  /// The first commands.
  Commands start();

  /// Takes an event and returns what to do.
  Commands on(const ClaimEvent& aEvent);

  /// Machines that compare equal react equally to all further events.
  auto operator<=>(const ClaimMachine&) const = default;

  /// True once the request has been answered or refused and nothing is left to write.
  bool finished() const { return mPhase == Phase::Finished; }

  /// True while the key is owned and the request may be dispatched.
  bool mayDispatch() const { return mPhase == Phase::Owned; }

  /// True while a dispatch has not ended.
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
    CleaningUp, // refused as not run; an own row may be left
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
  Commands answerDuplicate(const ClaimRow& aRow);
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
