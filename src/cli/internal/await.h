#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <utility>

#include "base/result.h"
#include "event/loop.h"

namespace savoryrill::cli {

/// Starts an asynchronous call and runs the loop until its completion. The command line
/// does one thing at a time, so that sequential code is the clearest form.
template<typename T>
Result<T>
await(event::Loop& aLoop,
      const std::function<void(std::function<void(Result<T>)>)>& aStart)
{
  const auto result = std::make_shared<std::optional<Result<T>>>();
  aStart([result](Result<T> aResult) { result->emplace(std::move(aResult)); });
  while (!result->has_value()) {
    aLoop.runOnce(true);
  }
  return std::move(**result);
}

/// Runs the loop for `aDelay`.
inline void
pause(event::Loop& aLoop, Duration aDelay)
{
  bool elapsed = false;
  const event::Watch timer = aLoop.after(aDelay, [&elapsed] { elapsed = true; });
  while (!elapsed) {
    aLoop.runOnce(true);
  }
}

} // namespace savoryrill::cli
