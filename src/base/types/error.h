#pragma once

#include <string>

#include "base/types/enumnames.h"

namespace savoryrill {

/// Category of a failure, stable across releases.
enum class ErrorCode
{
  InvalidArgument,
  NotFound,
  Conflict,
  Unavailable,
  Timeout,
  OutcomeUnknown,
  LimitExceeded,
  Malformed,
  PermissionDenied,
  Internal
};

template<>
struct EnumNames<ErrorCode>
{
  static constexpr EnumTable<ErrorCode, 10> kTable{ {
    { ErrorCode::InvalidArgument, "invalid-argument" },
    { ErrorCode::NotFound, "not-found" },
    { ErrorCode::Conflict, "conflict" },
    { ErrorCode::Unavailable, "unavailable" },
    { ErrorCode::Timeout, "timeout" },
    { ErrorCode::OutcomeUnknown, "outcome-unknown" },
    { ErrorCode::LimitExceeded, "limit-exceeded" },
    { ErrorCode::Malformed, "malformed" },
    { ErrorCode::PermissionDenied, "permission-denied" },
    { ErrorCode::Internal, "internal" },
  } };
};

/// A failure: its category, for decisions in code, and a human-readable message.
struct Error
{
  ErrorCode code = ErrorCode::Internal;
  std::string message;
};

} // namespace savoryrill
