#pragma once

#include <memory>
#include <utility>

#include "event/loop.h"

namespace savoryrill::event {

/// Calls a callback in the next iteration of a loop, once for all requests made until
/// then. A call that is due when this object is destroyed is dropped. Not thread safe:
/// must be used and destroyed on the thread of the loop.
class DeferredCall
{
public:
  DeferredCall(Loop& aLoop, Callback aCallback)
    : mLoop(aLoop)
    , mState(std::make_shared<State>(State{ std::move(aCallback), false }))
  {
  }

  /// Requests a call. The callback may request the next one.
  void request()
  {
    if (mState->requested) {
      return;
    }
    mState->requested = true;
    mLoop.post([weak = std::weak_ptr(mState)] {
      if (const auto state = weak.lock()) {
        state->requested = false;
        state->callback();
      }
    });
  }

private:
  struct State
  {
    Callback callback;
    bool requested = false;
  };

  Loop& mLoop;
  std::shared_ptr<State> mState;
};

} // namespace savoryrill::event
