#pragma once

#include "base/types/enumnames.h"

namespace savoryrill::gateway {

/// How much of an upstream's response to one attempt has arrived.
enum class ResponseProgress
{
  Nothing,
  Head,
  Body // at least one event of a stream, or a part of another body
};

} // namespace savoryrill::gateway

namespace savoryrill {

template<>
struct EnumNames<gateway::ResponseProgress>
{
  static constexpr EnumTable<gateway::ResponseProgress, 3> kTable{ {
    { gateway::ResponseProgress::Nothing, "nothing" },
    { gateway::ResponseProgress::Head, "head" },
    { gateway::ResponseProgress::Body, "body" },
  } };
};

} // namespace savoryrill
