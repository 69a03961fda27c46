#include "event/loop.h"

#include <ctime>
#include <deque>
#include <ev.h>
#include <mutex>
#include <utility>

namespace savoryrill::event {

struct Watch::Impl
{
  virtual ~Impl() = default;
};

Watch::Watch() = default;
Watch::Watch(std::unique_ptr<Impl> aImpl)
  : mImpl(std::move(aImpl))
{
}
Watch::Watch(Watch&&) noexcept = default;
Watch&
Watch::operator=(Watch&&) noexcept = default;
Watch::~Watch() = default;

void
Watch::reset()
{
  mImpl.reset();
}

namespace {

double
evSeconds(Duration aDuration)
{
  return aDuration.count() <= 0 ? 0.0 : toSeconds(aDuration);
}

// The static handlers copy the callback before they call it, since a callback may destroy
// its own watch.

struct TimerWatch : Watch::Impl
{
  TimerWatch(struct ev_loop* aLoop, double aAfter, double aRepeat, Callback aCallback)
    : loop(aLoop)
    , callback(std::move(aCallback))
  {
    ev_timer_init(&timer, &TimerWatch::fired, aAfter, aRepeat);
    timer.data = this;
    // The delay counts from libev's cached time, which is out of date after a long
    // callback.
    ev_now_update(loop);
    ev_timer_start(loop, &timer);
  }
  ~TimerWatch() override { ev_timer_stop(loop, &timer); }

  static void fired(struct ev_loop*, ev_timer* aTimer, int)
  {
    const Callback callback = static_cast<TimerWatch*>(aTimer->data)->callback;
    callback();
  }

  struct ev_loop* loop;
  ev_timer timer{};
  Callback callback;
};

struct IoWatch : Watch::Impl
{
  IoWatch(struct ev_loop* aLoop,
          int aFd,
          Interest aInterest,
          std::function<void(Interest)> aCallback)
    : loop(aLoop)
    , callback(std::move(aCallback))
  {
    const int events =
      (aInterest.readable ? EV_READ : 0) | (aInterest.writable ? EV_WRITE : 0);
    ev_io_init(&io, &IoWatch::ready, aFd, events);
    io.data = this;
    ev_io_start(loop, &io);
  }
  ~IoWatch() override { ev_io_stop(loop, &io); }

  static void ready(struct ev_loop*, ev_io* aIo, int aEvents)
  {
    const auto callback = static_cast<IoWatch*>(aIo->data)->callback;
    callback(Interest{ (aEvents & EV_READ) != 0, (aEvents & EV_WRITE) != 0 });
  }

  struct ev_loop* loop;
  ev_io io{};
  std::function<void(Interest)> callback;
};

struct SignalWatch : Watch::Impl
{
  SignalWatch(struct ev_loop* aLoop, int aSignal, Callback aCallback)
    : loop(aLoop)
    , callback(std::move(aCallback))
  {
    ev_signal_init(&signal, &SignalWatch::arrived, aSignal);
    signal.data = this;
    ev_signal_start(loop, &signal);
  }
  ~SignalWatch() override { ev_signal_stop(loop, &signal); }

  static void arrived(struct ev_loop*, ev_signal* aSignal, int)
  {
    const Callback callback = static_cast<SignalWatch*>(aSignal->data)->callback;
    callback();
  }

  struct ev_loop* loop;
  ev_signal signal{};
  Callback callback;
};

} // namespace

struct Loop::Impl
{
  explicit Impl(struct ev_loop* aLoop)
    : loop(aLoop)
  {
    ev_async_init(&wake, &Impl::woken);
    wake.data = this;
    ev_async_start(loop, &wake);
  }
  ~Impl()
  {
    ev_async_stop(loop, &wake);
    ev_loop_destroy(loop);
  }

  static void woken(struct ev_loop*, ev_async* aWake, int)
  {
    static_cast<Impl*>(aWake->data)->runPosted();
  }

  void runPosted()
  {
    std::deque<Callback> callbacks;
    {
      const std::lock_guard lock(mutex);
      callbacks.swap(posted);
    }
    for (const auto& callback : callbacks) {
      callback();
    }
  }

  struct ev_loop* loop;
  ev_async wake{};
  std::mutex mutex;
  std::deque<Callback> posted;
};

Result<std::unique_ptr<Loop>>
Loop::create()
{
  struct ev_loop* loop = ev_loop_new(EVFLAG_AUTO);
  if (loop == nullptr) {
    return fail(ErrorCode::Internal, "libev offers no usable event back end");
  }
  return std::unique_ptr<Loop>(new Loop(std::make_unique<Impl>(loop)));
}

Loop::Loop(std::unique_ptr<Impl> aImpl)
  : mImpl(std::move(aImpl))
{
}

Loop::~Loop() = default;

Instant
Loop::now() const
{
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return Instant(std::chrono::duration_cast<Duration>(
    std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
}

Watch
Loop::after(Duration aDelay, Callback aCallback)
{
  return Watch(std::make_unique<TimerWatch>(
    mImpl->loop, evSeconds(aDelay), 0.0, std::move(aCallback)));
}

Watch
Loop::every(Duration aPeriod, Callback aCallback)
{
  const double period = evSeconds(aPeriod);
  return Watch(
    std::make_unique<TimerWatch>(mImpl->loop, period, period, std::move(aCallback)));
}

Watch
Loop::watch(int aFd, Interest aInterest, std::function<void(Interest)> aCallback)
{
  return Watch(
    std::make_unique<IoWatch>(mImpl->loop, aFd, aInterest, std::move(aCallback)));
}

Watch
Loop::onSignal(int aSignal, Callback aCallback)
{
  return Watch(std::make_unique<SignalWatch>(mImpl->loop, aSignal, std::move(aCallback)));
}

void
Loop::post(Callback aCallback)
{
  {
    const std::lock_guard lock(mImpl->mutex);
    mImpl->posted.push_back(std::move(aCallback));
  }
  ev_async_send(mImpl->loop, &mImpl->wake);
}

void
Loop::run()
{
  ev_run(mImpl->loop, 0);
}

void
Loop::runOnce(bool aWait)
{
  ev_run(mImpl->loop, aWait ? EVRUN_ONCE : EVRUN_NOWAIT);
}

void
Loop::stop()
{
  ev_break(mImpl->loop, EVBREAK_ALL);
}

} // namespace savoryrill::event
