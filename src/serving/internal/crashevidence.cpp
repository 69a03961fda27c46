#include "serving/internal/crashevidence.h"

#include <algorithm>
#include <iterator>
#include <optional>

namespace savoryrill::serving {

namespace {

constexpr Duration kCrashSeparation = 250ms;
constexpr std::size_t kMaxCrashesPerPart = 8;
// One crash with another cause must not decide between two parts.
constexpr std::size_t kDecisiveWeight = 2;

/// Drops the crash that follows another one most closely, so that the others still show
/// over which time upstreams have crashed. Precondition: at least two, ordered by time.
void
dropLeastSeparate(std::vector<UpstreamCrash>& aCrashes)
{
  auto least = aCrashes.begin() + 1;
  for (auto crash = least; crash != aCrashes.end(); ++crash) {
    if (crash->at - (crash - 1)->at < least->at - (least - 1)->at) {
      least = crash;
    }
  }
  aCrashes.erase(least);
}

std::vector<UpstreamCrash>
crashesWithout(const PartEvidence& aPart, const PartEvidence& aOther)
{
  std::vector<UpstreamCrash> crashes;
  std::ranges::copy_if(
    aPart.crashes, std::back_inserter(crashes), [&](const UpstreamCrash& aCrash) {
      return !hasCrash(aOther, aCrash.upstream);
    });
  return crashes;
}

std::size_t
weightOf(const std::vector<UpstreamCrash>& aCrashes, const PartEvidence& aPart)
{
  if (!aPart.quarantinedUntil) {
    return separateCrashes(aCrashes);
  }
  std::vector<UpstreamCrash> since = aCrashes;
  std::erase_if(since, [&](const UpstreamCrash& aCrash) {
    return aCrash.at <= beginOfQuarantine(aPart);
  });
  return separateCrashes(aCrashes) + separateCrashes(since);
}

} // namespace

std::size_t
separateCrashes(const std::vector<UpstreamCrash>& aCrashes)
{
  std::size_t count = 0;
  std::optional<Instant> last;
  for (const auto& crash : aCrashes) {
    if (!last || crash.at - *last >= kCrashSeparation) {
      last = crash.at;
      ++count;
    }
  }
  return count;
}

bool
addCrash(std::vector<UpstreamCrash>& aCrashes, const UpstreamCrash& aCrash)
{
  const bool known = std::ranges::any_of(
    aCrashes, [&](const auto& aKnown) { return aKnown.upstream == aCrash.upstream; });
  if (known) {
    return false;
  }
  const auto later =
    std::ranges::upper_bound(aCrashes, aCrash.at, {}, &UpstreamCrash::at);
  aCrashes.insert(later, aCrash);
  if (aCrashes.size() > kMaxCrashesPerPart) {
    dropLeastSeparate(aCrashes);
  }
  return true;
}

bool
hasCrash(const PartEvidence& aEvidence, const std::string& aUpstream)
{
  return std::ranges::any_of(
    aEvidence.crashes, [&](const auto& aCrash) { return aCrash.upstream == aUpstream; });
}

std::size_t
sharedCrashes(const PartEvidence& aPart, const PartEvidence& aOther)
{
  return static_cast<std::size_t>(
    std::ranges::count_if(aPart.crashes, [&](const UpstreamCrash& aCrash) {
      return hasCrash(aOther, aCrash.upstream);
    }));
}

Instant
beginOfQuarantine(const PartEvidence& aEvidence)
{
  return *aEvidence.quarantinedUntil - aEvidence.quarantineTime;
}

bool
outweighs(const PartEvidence& aPart, const PartEvidence& aOther)
{
  const auto without_other = crashesWithout(aPart, aOther);
  auto without_part = crashesWithout(aOther, aPart);
  if (aPart.quarantinedUntil && aPart.crashes.size() >= kMaxCrashesPerPart) {
    // A full list has dropped crashes, which seem to have happened without the part.
    std::erase_if(without_part, [&](const UpstreamCrash& aCrash) {
      return aCrash.at <= beginOfQuarantine(aPart);
    });
  }
  return separateCrashes(without_other) >= kCrashesToSuspect ||
         weightOf(without_other, aPart) >=
           weightOf(without_part, aOther) + kDecisiveWeight;
}

} // namespace savoryrill::serving
