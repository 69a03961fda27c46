#pragma once

#include <cstdint>
#include <map>
#include <optional>

namespace savoryrill::routing {

/// Gives each attempt a unique id and discards events of closed attempts, so that a
/// response can only reach the request that its attempt was made for. Not thread safe; no
/// I/O.
class AttemptRegistry
{
public:
  /// Opens an attempt for a request and returns its id; ids are never reused.
  std::uint64_t open(std::uint64_t aRequest)
  {
    mOpen[++mLast] = aRequest;
    return mLast;
  }

  /// Closes an attempt; `accept` discards its later events.
  void close(std::uint64_t aAttempt) { mOpen.erase(aAttempt); }

  /// Returns the request that an attempt belongs to. If the attempt is closed, counts a
  /// discarded event and returns nothing.
  std::optional<std::uint64_t> accept(std::uint64_t aAttempt)
  {
    const auto found = mOpen.find(aAttempt);
    if (found == mOpen.end()) {
      ++mDiscarded;
      return std::nullopt;
    }
    return found->second;
  }

  std::size_t openCount() const { return mOpen.size(); }

  /// Number of events that arrived for closed attempts.
  std::uint64_t discarded() const { return mDiscarded; }

private:
  std::uint64_t mLast = 0;
  std::uint64_t mDiscarded = 0;
  std::map<std::uint64_t, std::uint64_t> mOpen;
};

} // namespace savoryrill::routing
