#include "serving/promptquarantine.h"

#include <algorithm>
#include <utility>

#include "serving/internal/crashevidence.h"

namespace savoryrill::serving {

namespace {

// Crashes after which a part is quarantined that was served lately: it may only have been
// in use while upstreams crashed for other reasons.
constexpr std::size_t kCrashesToSuspectServed = 6;
// The same if all requests were for one model, which may be the cause itself.
constexpr std::size_t kCrashesToSuspectOneModel = 5;
// A crash says nothing about parts that were served this shortly before.
constexpr Duration kServedJustBefore = 1s;
constexpr Duration kServedLately = 60s;
constexpr Duration kEvidenceTime = std::chrono::minutes(5);
// Time in quarantine, doubled each time that the part crashes an upstream right after it.
constexpr Duration kFirstQuarantine = std::chrono::minutes(2);
constexpr Duration kMaxQuarantine = std::chrono::hours(1);
// Largest part of the quarantine by which hosts extend it by different amounts.
constexpr double kMaxExpirySpread = 0.25;
// Time for the result of a request that was let through; most results come much sooner.
constexpr Duration kProbeTime = 10s;
constexpr Duration kUsualProbeTime = 1s;
// Hosts let their first requests through at different times after a quarantine has begun
// and after each crash, so that most of them learn the result of another host's request
// before they send one of their own.
constexpr Duration kProbeSpread = 1s;
// Quarantines of hosts that end this close to each other count as the same. Evidence of
// the crashes that led to a quarantine arrives from other hosts within this time.
constexpr Duration kSameQuarantine = 2s;
// Bounds of the memory.
constexpr std::size_t kMaxParts = 512;
constexpr std::size_t kMaxServed = 8192;
// Bounds a log line; rivals that share more crashes come first.
constexpr std::size_t kMaxRivals = 8;

Duration
scaled(Duration aDuration, double aFactor)
{
  return std::chrono::duration_cast<Duration>(aDuration * aFactor);
}

std::uint32_t
positionOf(const PartEvidence& aEvidence)
{
  std::uint32_t position = 0;
  for (const auto& crash : aEvidence.crashes) {
    position = std::max(position, crash.position);
  }
  return position;
}

} // namespace

std::optional<Instant>
PromptQuarantine::lastServed(const std::string& aPart) const
{
  const auto found = mServed.find(aPart);
  return found == mServed.end() ? std::nullopt : std::optional(found->second);
}

Instant
PromptQuarantine::endOfQuarantine(const PartEvidence& aEvidence) const
{
  return *aEvidence.quarantinedUntil +
         scaled(aEvidence.quarantineTime, kMaxExpirySpread * mExpirySpread);
}

bool
PromptQuarantine::inQuarantine(const PartEvidence& aEvidence, Instant aNow) const
{
  return aEvidence.quarantinedUntil && aNow < endOfQuarantine(aEvidence);
}

bool
PromptQuarantine::isHalfOpen(const PartEvidence& aEvidence, Instant aNow) const
{
  return aEvidence.quarantinedUntil && !inQuarantine(aEvidence, aNow) &&
         aNow < endOfQuarantine(aEvidence) + aEvidence.quarantineTime;
}

bool
PromptQuarantine::isOutdated(const PartEvidence& aEvidence, Instant aNow) const
{
  if (aEvidence.quarantinedUntil) {
    return !inQuarantine(aEvidence, aNow) && !isHalfOpen(aEvidence, aNow);
  }
  return aEvidence.crashes.empty() || aNow - aEvidence.crashes.back().at > kEvidenceTime;
}

std::vector<const PartEvidence*>
PromptQuarantine::alternatives(const PartEvidence& aPart, Instant aNow) const
{
  std::vector<const PartEvidence*> others;
  for (const auto& [name, part] : mParts) {
    const auto& other = part.evidence;
    if (other.quarantinedUntil && name != aPart.part && !isOutdated(other, aNow) &&
        sharedCrashes(aPart, other) > 0 && !outweighs(aPart, other)) {
      others.push_back(&other);
    }
  }
  return others;
}

bool
PromptQuarantine::explains(const PartEvidence& aOther,
                           const PartEvidence& aEvidence,
                           Instant aNow) const
{
  return aOther.part != aEvidence.part && inQuarantine(aOther, aNow) &&
         (aNow - beginOfQuarantine(aOther) >= kSameQuarantine ||
          outweighs(aOther, aEvidence));
}

bool
PromptQuarantine::isExplained(const std::string& aUpstream,
                              const std::string& aPart,
                              Instant aNow) const
{
  const auto found = mParts.find(aPart);
  const PartEvidence none{ aPart, {}, {}, {}, {} };
  const auto& evidence = found == mParts.end() ? none : found->second.evidence;
  if (evidence.quarantinedUntil) {
    return false; // the crash tells this part from other suspects
  }
  return std::ranges::any_of(mParts, [&](const auto& aItem) {
    const auto& other = aItem.second.evidence;
    return hasCrash(other, aUpstream) && explains(other, evidence, aNow);
  });
}

std::vector<UpstreamCrash>
PromptQuarantine::unexplainedCrashes(const PartEvidence& aEvidence, Instant aNow) const
{
  auto crashes = aEvidence.crashes;
  for (const auto& [name, part] : mParts) {
    const auto& other = part.evidence;
    if (sharedCrashes(aEvidence, other) > 0 && explains(other, aEvidence, aNow)) {
      std::erase_if(crashes, [&](const UpstreamCrash& aCrash) {
        return hasCrash(other, aCrash.upstream);
      });
    }
  }
  return crashes;
}

bool
PromptQuarantine::hasEnoughEvidence(const PartEvidence& aEvidence, Instant aNow) const
{
  if (aEvidence.crashes.empty() || inQuarantine(aEvidence, aNow)) {
    return false;
  }
  if (isHalfOpen(aEvidence, aNow)) {
    return aEvidence.crashes.back().at >= *aEvidence.quarantinedUntil;
  }
  if (aEvidence.crashes.size() < kCrashesToSuspect) {
    return false;
  }
  const auto crashes = unexplainedCrashes(aEvidence, aNow);
  std::set<std::string> requests;
  std::set<std::string> models;
  for (const auto& crash : crashes) {
    requests.insert(crash.request);
    models.insert(crash.model);
  }
  std::size_t needed = kCrashesToSuspect;
  if (models.size() < 2) {
    needed = kCrashesToSuspectOneModel;
  }
  const auto served = lastServed(aEvidence.part);
  if (served && aEvidence.crashes.front().at - *served < kServedLately) {
    needed = kCrashesToSuspectServed;
  }
  // A single request that is sent again and again may crash upstreams by something else.
  return requests.size() >= 2 && separateCrashes(crashes) >= needed;
}

PromptQuarantine::Part&
PromptQuarantine::partFor(const std::string& aPart, Instant aNow)
{
  if (!mParts.contains(aPart) && mParts.size() >= kMaxParts) {
    makeRoom(aNow);
  }
  auto& part = mParts[aPart];
  part.evidence.part = aPart;
  return part;
}

void
PromptQuarantine::makeRoom(Instant aNow)
{
  // Parts in quarantine stay as long as there are others.
  const auto rank = [&](const PartEvidence& aEvidence) {
    const bool quarantined = inQuarantine(aEvidence, aNow);
    const Instant latest = quarantined                 ? *aEvidence.quarantinedUntil
                           : aEvidence.crashes.empty() ? Instant{}
                                                       : aEvidence.crashes.back().at;
    return std::pair(quarantined, latest);
  };
  const auto least = std::ranges::min_element(
    mParts, {}, [&](const auto& aItem) { return rank(aItem.second.evidence); });
  if (least->second.evidence.quarantinedUntil) {
    mDecisions.push_back({ Decision::Kind::Expired, least->first, {}, {}, {} });
  }
  mParts.erase(least);
}

std::vector<PartEvidence>
PromptQuarantine::recordCrash(const std::string& aUpstream,
                              const std::vector<BrokenRequest>& aRequests,
                              Instant aCrashed,
                              Instant aNow)
{
  std::set<std::string> changed;
  const auto record = [&](bool aQuarantined) {
    for (const auto& request : aRequests) {
      for (std::uint32_t position = 0; position < request.parts.size(); ++position) {
        const auto& name = request.parts[position];
        const auto found = mParts.find(name);
        const bool quarantined =
          found != mParts.end() && found->second.evidence.quarantinedUntil;
        const auto served = lastServed(name);
        if (quarantined != aQuarantined ||
            (served && aCrashed - *served < kServedJustBefore) ||
            isExplained(aUpstream, name, aNow)) {
          continue;
        }
        if (addCrash(partFor(name, aNow).evidence.crashes,
                     { aUpstream, request.id, request.model, position, aCrashed })) {
          changed.insert(name);
        }
      }
    }
  };
  // First the parts in quarantine, which may explain the crash.
  record(true);
  record(false);
  conclude(changed, aNow);
  std::vector<PartEvidence> evidence;
  for (const auto& name : changed) {
    if (const auto found = mParts.find(name); found != mParts.end()) {
      evidence.push_back(found->second.evidence);
      evidence.back().lastServed = lastServed(name);
    }
  }
  return evidence;
}

std::vector<PartEvidence>
PromptQuarantine::recordServed(const std::vector<std::string>& aParts, Instant aNow)
{
  std::vector<PartEvidence> changed;
  for (const auto& name : aParts) {
    rememberServed(name, aNow, aNow);
    if (applyServed(name, aNow)) {
      PartEvidence evidence;
      evidence.part = name;
      evidence.lastServed = aNow;
      changed.push_back(std::move(evidence));
    }
  }
  return changed;
}

void
PromptQuarantine::rememberServed(const std::string& aPart, Instant aServed, Instant aNow)
{
  if (mServed.size() >= kMaxServed && !mServed.contains(aPart)) {
    std::erase_if(mServed,
                  [&](const auto& aItem) { return aNow - aItem.second > kServedLately; });
    if (mServed.size() >= kMaxServed) {
      dropLongestUnserved();
    }
  }
  auto& served = mServed[aPart];
  served = std::max(served, aServed);
}

void
PromptQuarantine::dropLongestUnserved()
{
  std::vector<Instant> times;
  times.reserve(mServed.size());
  for (const auto& [name, served] : mServed) {
    times.push_back(served);
  }
  const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
  std::ranges::nth_element(times, middle);
  std::erase_if(mServed, [&](const auto& aItem) { return aItem.second <= *middle; });
}

bool
PromptQuarantine::applyServed(const std::string& aPart, Instant aServed)
{
  const auto found = mParts.find(aPart);
  if (found == mParts.end()) {
    return false;
  }
  auto& evidence = found->second.evidence;
  if (evidence.quarantinedUntil && aServed < beginOfQuarantine(evidence)) {
    return false; // served before the crashes that led to the quarantine
  }
  std::vector<UpstreamCrash> before;
  std::erase_if(evidence.crashes, [&](const UpstreamCrash& aCrash) {
    if (aCrash.at > aServed) {
      return false;
    }
    before.push_back(aCrash);
    return true;
  });
  const bool was_quarantined = evidence.quarantinedUntil.has_value();
  evidence.quarantinedUntil.reset();
  if (was_quarantined) {
    mDecisions.push_back({ Decision::Kind::Served, aPart, before, {}, {} });
  }
  if (evidence.crashes.empty()) {
    mParts.erase(found);
  }
  return was_quarantined || !before.empty();
}

std::vector<PromptQuarantine::Decision::Rival>
PromptQuarantine::rivalsOf(const PartEvidence& aEvidence, Instant aNow) const
{
  std::vector<Decision::Rival> rivals;
  for (const auto& [name, part] : mParts) {
    const auto shared = sharedCrashes(part.evidence, aEvidence);
    if (name == aEvidence.part || shared == 0) {
      continue;
    }
    const auto served = lastServed(name);
    rivals.push_back({ name,
                       shared,
                       positionOf(part.evidence),
                       served ? std::optional(aNow - *served) : std::nullopt });
  }
  std::ranges::sort(rivals, std::ranges::greater{}, &Decision::Rival::sharedCrashes);
  rivals.resize(std::min(rivals.size(), kMaxRivals));
  return rivals;
}

void
PromptQuarantine::quarantine(Part& aPart, Instant aNow)
{
  auto& evidence = aPart.evidence;
  evidence.quarantineTime =
    evidence.quarantinedUntil
      ? std::min<Duration>(evidence.quarantineTime * 2, kMaxQuarantine)
      : Duration(kFirstQuarantine);
  evidence.quarantinedUntil = aNow + evidence.quarantineTime;
  aPart.probe.reset();
  mDecisions.push_back({ Decision::Kind::Quarantined,
                         evidence.part,
                         evidence.crashes,
                         evidence.quarantineTime,
                         rivalsOf(evidence, aNow) });
}

void
PromptQuarantine::dropExplainedCrashes(const PartEvidence& aQuarantined, Instant aNow)
{
  for (auto item = mParts.begin(); item != mParts.end();) {
    auto& evidence = item->second.evidence;
    if (inQuarantine(evidence, aNow) || sharedCrashes(evidence, aQuarantined) == 0 ||
        !explains(aQuarantined, evidence, aNow)) {
      ++item;
      continue;
    }
    std::erase_if(evidence.crashes, [&](const UpstreamCrash& aCrash) {
      return hasCrash(aQuarantined, aCrash.upstream);
    });
    const bool empty = evidence.crashes.empty() && !evidence.quarantinedUntil;
    item = empty ? mParts.erase(item) : std::next(item);
  }
}

std::vector<std::string>
PromptQuarantine::decide(Instant aNow)
{
  std::vector<std::string> quarantined;
  while (true) {
    // The part in most crashes explains them best. Others may still follow, unless it
    // outweighs them.
    Part* worst = nullptr;
    for (auto& [name, part] : mParts) {
      if (hasEnoughEvidence(part.evidence, aNow) &&
          (worst == nullptr ||
           part.evidence.crashes.size() > worst->evidence.crashes.size())) {
        worst = &part;
      }
    }
    if (worst == nullptr) {
      return quarantined;
    }
    quarantine(*worst, aNow);
    quarantined.push_back(worst->evidence.part);
    dropExplainedCrashes(worst->evidence, aNow);
  }
}

void
PromptQuarantine::conclude(std::set<std::string>& aChanged, Instant aNow)
{
  for (auto& decision : mDecisions) {
    // Quarantines of other hosts; their rivals are known once a message has been merged.
    const auto found = mParts.find(decision.part);
    if (decision.kind == Decision::Kind::Quarantined && decision.rivals.empty() &&
        found != mParts.end()) {
      decision.rivals = rivalsOf(found->second.evidence, aNow);
    }
  }
  for (const auto& name : aChanged) {
    if (const auto found = mParts.find(name);
        found != mParts.end() && inQuarantine(found->second.evidence, aNow)) {
      dropExplainedCrashes(found->second.evidence, aNow);
    }
  }
  const auto quarantined = decide(aNow);
  aChanged.insert(quarantined.begin(), quarantined.end());
}

Instant
PromptQuarantine::nextProbe(const PartEvidence& aEvidence) const
{
  Instant last = beginOfQuarantine(aEvidence);
  if (!aEvidence.crashes.empty()) {
    last = std::max(last, aEvidence.crashes.back().at);
  }
  return last + scaled(kProbeSpread, mExpirySpread);
}

bool
PromptQuarantine::mergeSuspicion(const PartEvidence& aEvidence, Instant aNow)
{
  const auto served = lastServed(aEvidence.part);
  std::vector<UpstreamCrash> crashes = aEvidence.crashes;
  std::erase_if(crashes, [&](const UpstreamCrash& aCrash) {
    return (served && aCrash.at <= *served) ||
           (!aEvidence.quarantinedUntil &&
            isExplained(aCrash.upstream, aEvidence.part, aNow));
  });
  const bool quarantined = aEvidence.quarantinedUntil && !isOutdated(aEvidence, aNow) &&
                           (!served || *served < beginOfQuarantine(aEvidence));
  if (crashes.empty() && !quarantined) {
    return false;
  }
  auto& part = partFor(aEvidence.part, aNow);
  bool changed = false;
  for (const auto& crash : crashes) {
    changed = addCrash(part.evidence.crashes, crash) || changed;
  }
  auto& until = part.evidence.quarantinedUntil;
  if (quarantined && (!until || *aEvidence.quarantinedUntil > *until + kSameQuarantine)) {
    until = aEvidence.quarantinedUntil;
    part.evidence.quarantineTime = aEvidence.quarantineTime;
    part.probe.reset();
    changed = true;
    mDecisions.push_back({ Decision::Kind::Quarantined,
                           aEvidence.part,
                           part.evidence.crashes,
                           *until - aNow,
                           {} });
  }
  return changed;
}

PromptQuarantine::MergeResult
PromptQuarantine::merge(const std::vector<PartEvidence>& aEvidence, Instant aNow)
{
  MergeResult result;
  std::set<std::string> changed;
  for (const auto& evidence : aEvidence) {
    const auto own = lastServed(evidence.part);
    if (own &&
        (!evidence.lastServed || *own > *evidence.lastServed + kServedJustBefore)) {
      PartEvidence newer;
      newer.part = evidence.part;
      newer.lastServed = own;
      result.newer.push_back(std::move(newer));
    }
    if (evidence.lastServed) {
      rememberServed(evidence.part, *evidence.lastServed, aNow);
      if (applyServed(evidence.part, *evidence.lastServed)) {
        changed.insert(evidence.part);
      }
    }
    if (mergeSuspicion(evidence, aNow)) {
      changed.insert(evidence.part);
    }
  }
  conclude(changed, aNow);
  for (const auto& name : changed) {
    PartEvidence evidence;
    if (const auto found = mParts.find(name); found != mParts.end()) {
      evidence = found->second.evidence;
    }
    evidence.part = name;
    evidence.lastServed = lastServed(name);
    result.changed.push_back(std::move(evidence));
  }
  return result;
}

std::optional<PromptQuarantine::Refusal>
PromptQuarantine::check(const std::string& aRequest,
                        const std::vector<std::string>& aParts,
                        Instant aNow)
{
  const auto has = [&](const PartEvidence* aEvidence) {
    return std::ranges::find(aParts, aEvidence->part) != aParts.end();
  };
  std::optional<Refusal> undecided;
  std::vector<Part*> probed;
  for (const auto& name : aParts) {
    const auto found = mParts.find(name);
    if (found == mParts.end()) {
      continue;
    }
    auto& part = found->second;
    const bool quarantined = inQuarantine(part.evidence, aNow);
    if (quarantined && std::ranges::all_of(alternatives(part.evidence, aNow), has)) {
      return Refusal{ name, endOfQuarantine(part.evidence) - aNow, false };
    }
    if ((!quarantined && !isHalfOpen(part.evidence, aNow)) || part.probe == aRequest) {
      continue;
    }
    const bool probe_on_its_way = part.probe && aNow < part.probeUntil;
    const Instant next = probe_on_its_way ? part.probeUntil : nextProbe(part.evidence);
    if (aNow < next) {
      undecided = Refusal{ name, std::min<Duration>(next - aNow, kUsualProbeTime), true };
    } else {
      probed.push_back(&part);
    }
  }
  if (undecided) {
    return undecided;
  }
  for (auto* part : probed) {
    part->probe = aRequest;
    part->probeUntil = aNow + kProbeTime;
    mProbes.insert(aRequest);
  }
  return std::nullopt;
}

std::vector<std::string>
PromptQuarantine::probedBy(const std::string& aRequest) const
{
  std::vector<std::string> parts;
  if (!isProbe(aRequest)) {
    return parts;
  }
  for (const auto& [name, part] : mParts) {
    if (part.probe == aRequest) {
      parts.push_back(name);
    }
  }
  return parts;
}

void
PromptQuarantine::releaseProbe(const std::string& aRequest)
{
  if (mProbes.erase(aRequest) == 0) {
    return;
  }
  for (auto& [name, part] : mParts) {
    if (part.probe == aRequest) {
      part.probe.reset();
    }
  }
}

std::vector<PartEvidence>
PromptQuarantine::evidence(Instant aNow) const
{
  std::vector<PartEvidence> all;
  for (const auto& [name, part] : mParts) {
    if (!isOutdated(part.evidence, aNow)) {
      all.push_back(part.evidence);
      all.back().lastServed = lastServed(name);
    }
  }
  return all;
}

std::vector<PartEvidence>
PromptQuarantine::quarantined(Instant aNow) const
{
  auto all = evidence(aNow);
  std::erase_if(
    all, [](const PartEvidence& aEvidence) { return !aEvidence.quarantinedUntil; });
  return all;
}

std::vector<PromptQuarantine::Decision>
PromptQuarantine::takeDecisions()
{
  return std::exchange(mDecisions, {});
}

void
PromptQuarantine::expire(Instant aNow)
{
  for (auto item = mParts.begin(); item != mParts.end();) {
    auto& evidence = item->second.evidence;
    if (!evidence.quarantinedUntil) {
      std::erase_if(evidence.crashes, [&](const UpstreamCrash& aCrash) {
        return aNow - aCrash.at > kEvidenceTime;
      });
    }
    if (!isOutdated(evidence, aNow)) {
      ++item;
      continue;
    }
    if (evidence.quarantinedUntil) {
      mDecisions.push_back({ Decision::Kind::Expired, evidence.part, {}, {}, {} });
    }
    item = mParts.erase(item);
  }
  std::erase_if(mServed,
                [&](const auto& aItem) { return aNow - aItem.second > kServedLately; });
}

} // namespace savoryrill::serving
