#pragma once

#include <chrono>
#include <cstdint>

namespace savoryrill {

/// Tag type of the clock that all decisions use. The clock never steps, and it advances
/// while the machine is suspended, so that a process which resumes after a pause sees the
/// time that has passed. Decision modules receive instants as arguments; only
/// `event::Loop` reads the clock.
struct MonotonicClock
{};

using Duration = std::chrono::microseconds;
using Instant = std::chrono::time_point<MonotonicClock, Duration>;

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;
using std::chrono_literals::operator""us;

/// Whole milliseconds of `aDuration`, rounded towards zero. Thread safe.
constexpr std::int64_t
toMs(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count();
}

/// Seconds of `aDuration`, including the fraction. Thread safe.
constexpr double
toSeconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace savoryrill
