#pragma once

#include "base/types/enumnames.h"

namespace savoryrill::link {

/// Why a connection of a caller was closed.
enum class CloseReason
{
  CallerLeft,
  Complete, // the last response was complete
  Idle,
  Displaced, // it was idle, and others needed its place
  Rejected,  // after the response to a rejected request
  Unread,    // the caller had stopped reading its response
  Memory,    // the process needed its memory
  Broken,    // the caller's connection failed while a response was sent
  Aborted,   // its response could not be completed
  Refused    // it was never served, since all places were taken
};

inline constexpr std::size_t kCloseReasons = 10;

} // namespace savoryrill::link

namespace savoryrill {

template<>
struct EnumNames<link::CloseReason>
{
  static constexpr EnumTable<link::CloseReason, link::kCloseReasons> kTable{ {
    { link::CloseReason::CallerLeft, "caller-left" },
    { link::CloseReason::Complete, "complete" },
    { link::CloseReason::Idle, "idle" },
    { link::CloseReason::Displaced, "displaced" },
    { link::CloseReason::Rejected, "rejected" },
    { link::CloseReason::Unread, "unread" },
    { link::CloseReason::Memory, "memory" },
    { link::CloseReason::Broken, "broken" },
    { link::CloseReason::Aborted, "aborted" },
    { link::CloseReason::Refused, "refused" },
  } };
};

} // namespace savoryrill
