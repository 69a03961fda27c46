#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "base/types/enumnames.h"
#include "cli/internal/confighead.h"
#include "event/loop.h"
#include "platform/iplatform.h"

namespace savoryrill::cli {

enum class CommitStatus
{
  Committed,
  AlreadyInForce, // the same content was in force before
  Replaced,       // committed, and a later change is in force now
  Conflict,       // another change won, or the expected version was not in force
  ChangeIdInUse,  // the change id belongs to another content
  NotReachable,   // nothing was committed
  OutcomeUnknown, // the commit was sent and its outcome could not be read
  HeadMalformed   // nothing was committed, because the row makes no sense
};

struct CommitRequest
{
  std::string bytes; // serialised bundle
  std::string changeId;
  std::optional<std::uint64_t> expectVersion;
  int maxAttempts = 5; // of each call that failed
  Duration retryDelay = 300ms;
};

struct CommitResult
{
  CommitStatus status = CommitStatus::NotReachable;
  std::uint64_t version = 0;      // of the own content, if it was committed
  std::optional<ConfigHead> head; // in force, as far as known
  std::string message;            // of the last failure
};

/// Commits a configuration by compare-and-set on `config/head`. Not thread safe.
class Committer
{
public:
  Committer(event::Loop& aLoop, platform::IPlatform& aPlatform, CommitRequest aRequest);

  /// Blocks on the loop until the outcome is known or the attempts are used up.
  CommitResult run();

private:
  struct HeadRow
  {
    std::uint64_t rowVersion = 0;
    ConfigHead head;
  };

  Result<HeadRow> readHead();
  Result<bool> putObject();
  std::optional<CommitResult> settledBy(const HeadRow& aRow) const;
  CommitResult commit(const HeadRow& aOld);
  std::optional<CommitResult> settle(const HeadRow& aOld, bool aMaybeSent);
  CommitResult failed(const Error& aError) const;

  event::Loop& mLoop;
  platform::IPlatform& mPlatform;
  CommitRequest mRequest;
  std::string mSha256;
};

} // namespace savoryrill::cli

namespace savoryrill {

template<>
struct EnumNames<cli::CommitStatus>
{
  static constexpr EnumTable<cli::CommitStatus, 8> kTable{ {
    { cli::CommitStatus::Committed, "committed" },
    { cli::CommitStatus::AlreadyInForce, "already-in-force" },
    { cli::CommitStatus::Replaced, "replaced" },
    { cli::CommitStatus::Conflict, "conflict" },
    { cli::CommitStatus::ChangeIdInUse, "change-id-in-use" },
    { cli::CommitStatus::NotReachable, "not-reachable" },
    { cli::CommitStatus::OutcomeUnknown, "outcome-unknown" },
    { cli::CommitStatus::HeadMalformed, "head-malformed" },
  } };
};

} // namespace savoryrill
