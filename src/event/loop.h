#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <utility>

#include "base/result.h"
#include "base/types/time.h"

namespace savoryrill::event {

using Callback = std::function<void()>;

/// Owns a timer, a watch of a file descriptor or a watch of a signal, and stops it when
/// destroyed. Must be destroyed before its loop and on the loop's thread.
class Watch
{
public:
  struct Impl;
  Watch();
  explicit Watch(std::unique_ptr<Impl> aImpl);
  Watch(Watch&&) noexcept;
  Watch& operator=(Watch&&) noexcept;
  ~Watch();

  /// True if it owns a watch; stays true after a one-shot timer has fired.
  explicit operator bool() const { return mImpl != nullptr; }

  /// Stops the watch. Safe to call from its own callback.
  void reset();

private:
  std::unique_ptr<Impl> mImpl;
};

/// Readiness of a file descriptor: what a watch waits for, or what is reported to its
/// callback.
struct Interest
{
  bool readable = false;
  bool writable = false;
};

/// An event loop on libev. All methods must be called on the thread that runs the loop,
/// except `post`, which is thread safe.
class Loop
{
public:
  /// Fails with Internal if the kernel offers no usable event back end.
  static Result<std::unique_ptr<Loop>> create();
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  /// Current time of the clock that all decisions use (see `MonotonicClock`): monotonic,
  /// and advancing while the machine is suspended. Each call reads the clock; the value
  /// is not cached, so that a lease check after a pause sees the time that has passed.
  Instant now() const;

  /// Calls `aCallback` once after `aDelay`.
  [[nodiscard]] Watch after(Duration aDelay, Callback aCallback);

  /// Calls `aCallback` every `aPeriod`, the first time after one period. Precondition:
  /// `aPeriod` > 0.
  [[nodiscard]] Watch every(Duration aPeriod, Callback aCallback);

  /// Calls `aCallback` with the current readiness whenever the descriptor is ready for
  /// something in `aInterest` (level-triggered).
  [[nodiscard]] Watch watch(int aFd,
                            Interest aInterest,
                            std::function<void(Interest)> aCallback);

  /// Calls `aCallback` on the loop's thread whenever the signal is received.
  [[nodiscard]] Watch onSignal(int aSignal, Callback aCallback);

  /// Queues `aCallback`, which the loop calls in its next iteration. Thread safe.
  void post(Callback aCallback);

  /// Handles events until `stop` is called.
  void run();

  /// Handles the pending events once; if there are none and `aWait` is true, waits for
  /// one.
  void runOnce(bool aWait);

  /// Makes `run` return after the current iteration.
  void stop();

private:
  struct Impl;
  explicit Loop(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> mImpl;
};

/// Queue of messages of type `T` (usually a `std::variant`), which are passed to a
/// handler in the order sent, in a later iteration of the loop, never from within `send`.
/// `send` is thread safe; the mailbox must outlive the loop's last iteration or be
/// destroyed on the loop's thread.
template<typename T>
class Mailbox
{
public:
  /// `aHandler` is called on the loop's thread for each message.
  Mailbox(Loop& aLoop, std::function<void(T&&)> aHandler)
    : mLoop(aLoop)
    , mHandler(std::make_shared<std::function<void(T&&)>>(std::move(aHandler)))
  {
  }

  /// Queues a message. It is handled even if its sender no longer exists by then; it is
  /// dropped if the mailbox has been destroyed by then.
  void send(T aMessage)
  {
    std::weak_ptr<std::function<void(T &&)>> handler = mHandler;
    auto message = std::make_shared<T>(std::move(aMessage));
    mLoop.post([handler, message] {
      if (const auto target = handler.lock()) {
        (*target)(std::move(*message));
      }
    });
  }

private:
  Loop& mLoop;
  std::shared_ptr<std::function<void(T&&)>> mHandler;
};

} // namespace savoryrill::event
