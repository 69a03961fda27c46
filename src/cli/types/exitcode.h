#pragma once

#include "base/types/error.h"

namespace savoryrill::cli {

/// Exit codes of the operator command line, stable across releases.
enum class ExitCode
{
  Success = 0,
  Negative = 1,      // findings, or another negative answer
  Usage = 2,         // wrong options, or files that cannot be read or written
  NotReachable = 3,  // nothing was changed
  Conflict = 4,      // another change won; nothing was changed
  OutcomeUnknown = 5 // a change was sent and may or may not have taken effect
};

/// The exit code for a failure. Thread safe.
constexpr ExitCode
exitCodeOf(ErrorCode aCode)
{
  switch (aCode) {
    case ErrorCode::InvalidArgument:
      return ExitCode::Usage;
    case ErrorCode::Unavailable:
    case ErrorCode::Timeout:
      return ExitCode::NotReachable;
    case ErrorCode::Conflict:
      return ExitCode::Conflict;
    case ErrorCode::OutcomeUnknown:
      return ExitCode::OutcomeUnknown;
    default:
      return ExitCode::Negative;
  }
}

} // namespace savoryrill::cli
