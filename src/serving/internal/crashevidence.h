#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "base/types/time.h"
#include "serving/types/promptevidence.h"

namespace savoryrill::serving {

// Comparisons of the crashes that speak against prompt parts. Crashes are ordered by
// time. All functions are thread safe.

/// Separate crashes that suffice to suspect a part.
inline constexpr std::size_t kCrashesToSuspect = 3;

/// Counts crashes; those of the same moment count once, since a loss of power or of a
/// network ends many upstreams and says nothing about the requests that they had.
std::size_t
separateCrashes(const std::vector<UpstreamCrash>& aCrashes);

/// Adds a crash to a list of bounded length; false if the list has one of its upstream.
bool
addCrash(std::vector<UpstreamCrash>& aCrashes, const UpstreamCrash& aCrash);

bool
hasCrash(const PartEvidence& aEvidence, const std::string& aUpstream);

std::size_t
sharedCrashes(const PartEvidence& aPart, const PartEvidence& aOther);

/// When the quarantine began. Precondition: the part is or was in quarantine.
Instant
beginOfQuarantine(const PartEvidence& aEvidence);

/// True if the crashes show that `aPart` is a cause, whether or not `aOther` is one:
/// enough of them happened without `aOther`, or clearly more than happened without
/// `aPart`. A crash since the beginning of the quarantine weighs as two earlier ones: its
/// request was let through because it did not have all suspects, while an earlier one may
/// have had another cause.
bool
outweighs(const PartEvidence& aPart, const PartEvidence& aOther);

} // namespace savoryrill::serving
