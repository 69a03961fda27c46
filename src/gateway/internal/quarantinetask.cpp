#include "gateway/internal/quarantinetask.h"

#include <algorithm>
#include <chrono>
#include <random>
#include <utility>

#include "gateway/internal/namelist.h"
#include "gateway/internal/promptevidencecodec.h"
#include "gateway/types/gatewayevents.h"

namespace savoryrill::gateway {

using serving::PromptQuarantine;

namespace {

constexpr const char* kQuarantineTable = "savoryrill-quarantine";
constexpr const char* kQuarantineKey = "prompt-parts";
constexpr Duration kTickPeriod = 500ms;
// Time between reads of the row without a connection to a leader.
constexpr Duration kReadPeriod = 1s;
// A process that has crashed refuses connections at once; an upstream that needs longer
// to answer is not counted as crashed.
constexpr Duration kCheckTimeout = 400ms;
// Requests that break this long after an upstream was found to have crashed are counted
// with that crash.
constexpr Duration kSameCrash = 5s;
// Bounds the memory if very many requests break at once.
constexpr std::size_t kMaxSuspectsPerUpstream = 128;

double
randomShare(std::uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  return std::uniform_real_distribution<double>(0, 1)(random);
}

std::int64_t
wallMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

std::string
upstreamsOf(const std::vector<serving::UpstreamCrash>& aCrashes)
{
  std::string text;
  for (const auto& crash : aCrashes) {
    text.append(text.empty() ? "" : ",").append(crash.upstream);
  }
  return text;
}

/// PART:SHARED-CRASHES@POSITION, and /SECONDS since it was last served.
std::string
describe(const std::vector<PromptQuarantine::Decision::Rival>& aRivals)
{
  std::string text;
  for (const auto& rival : aRivals) {
    text.append(text.empty() ? "" : ",").append(rival.part);
    text.append(":").append(std::to_string(rival.sharedCrashes));
    text.append("@").append(std::to_string(rival.position));
    if (rival.sinceServed) {
      text.append("/").append(std::to_string(toMs(*rival.sinceServed) / 1000));
    }
  }
  return text;
}

} // namespace

QuarantineTask::QuarantineTask(Dependencies aDependencies, std::uint64_t aSeed)
  : mDependencies(aDependencies)
  , mQuarantine(randomShare(aSeed))
  , mChecker(aDependencies.loop, kCheckTimeout)
{
}

void
QuarantineTask::start()
{
  mTimer = mDependencies.loop.every(kTickPeriod, [this] { tick(); });
  readRow();
}

void
QuarantineTask::setLeading(bool aLeading)
{
  mLeading = aLeading;
  if (aLeading) {
    // Another leader may have written the row since this host read it.
    mRowKnown = false;
    mRowOutdated = true;
  }
}

void
QuarantineTask::storeRestored()
{
  mRowKnown = false;
  mRowOutdated = true;
}

void
QuarantineTask::connectionEnded(const serving::UpstreamEntry& aUpstream,
                                PromptQuarantine::BrokenRequest aRequest,
                                Response aResponse)
{
  if (aRequest.parts.empty()) {
    return;
  }
  const std::string upstream = aUpstream.id + "#" + std::to_string(aUpstream.bornMs);
  auto& suspects = mSuspects[upstream];
  suspects.last = mDependencies.loop.now();
  if (suspects.crashed) {
    recordCrash(upstream, { std::move(aRequest) }, *suspects.crashed);
    return;
  }
  if (suspects.requests.empty()) {
    suspects.firstBroken = suspects.last;
  }
  if (suspects.requests.size() < kMaxSuspectsPerUpstream) {
    suspects.requests.push_back({ std::move(aRequest), aResponse });
  }
  if (!suspects.checking) {
    suspects.checking = true;
    mChecker.start(aUpstream.endpoint, [this, upstream](link::Reachability aResult) {
      upstreamChecked(upstream, aResult);
    });
  }
}

void
QuarantineTask::upstreamChecked(const std::string& aUpstream, link::Reachability aResult)
{
  auto& suspects = mSuspects[aUpstream];
  suspects.checking = false;
  const auto requests = std::exchange(suspects.requests, {});
  mDependencies.log.write(kBreakChecked,
                          { { "upstream", aUpstream },
                            { "connections", nameOf(aResult) },
                            { "requests", std::uint64_t{ requests.size() } } });
  if (aResult == link::Reachability::Accepts) {
    for (const auto& suspect : requests) {
      if (suspect.response == Response::PossiblyComplete) {
        requestServed(suspect.request.parts);
      }
    }
  }
  if (aResult != link::Reachability::Refuses) {
    // Only connections were reset, or the upstream cannot be reached.
    for (const auto& suspect : requests) {
      mQuarantine.releaseProbe(suspect.request.id);
    }
    return;
  }
  // Not the time of the check: checks of upstreams that crash at the same moment may end
  // far apart at a busy host, and would then count as separate crashes.
  const Instant crashed = suspects.firstBroken;
  suspects.crashed = crashed;
  mDependencies.metrics.add("savoryrill_gateway_upstream_crashes_total");
  BrokenRequests broken;
  for (const auto& suspect : requests) {
    broken.push_back(suspect.request);
  }
  recordCrash(aUpstream, broken, crashed);
}

void
QuarantineTask::recordCrash(const std::string& aUpstream,
                            const BrokenRequests& aRequests,
                            Instant aCrashed)
{
  changed(
    mQuarantine.recordCrash(aUpstream, aRequests, aCrashed, mDependencies.loop.now()));
  for (const auto& request : aRequests) {
    mQuarantine.releaseProbe(request.id);
  }
}

void
QuarantineTask::requestServed(const std::vector<std::string>& aParts)
{
  if (!aParts.empty()) {
    changed(mQuarantine.recordServed(aParts, mDependencies.loop.now()));
  }
}

std::optional<PromptQuarantine::Refusal>
QuarantineTask::check(const std::string& aRequest, const std::vector<std::string>& aParts)
{
  return mQuarantine.check(aRequest, aParts, mDependencies.loop.now());
}

void
QuarantineTask::requestSent(const std::string& aRequest, const std::string& aUpstream)
{
  const auto parts = mQuarantine.probedBy(aRequest);
  if (parts.empty()) {
    return;
  }
  mDependencies.metrics.add("savoryrill_gateway_prompt_probes_total");
  mDependencies.log.write(
    kPromptProbed,
    { { "call", aRequest }, { "upstream", aUpstream }, { "parts", nameList(parts) } });
}

void
QuarantineTask::requestEnded(const std::string& aRequest)
{
  if (!mQuarantine.isProbe(aRequest)) {
    return;
  }
  const bool being_checked = std::ranges::any_of(mSuspects, [&](const auto& aItem) {
    return std::ranges::any_of(aItem.second.requests, [&](const Suspect& aSuspect) {
      return aSuspect.request.id == aRequest;
    });
  });
  if (!being_checked) {
    mQuarantine.releaseProbe(aRequest);
  }
}

QuarantineTask::Evidence
QuarantineTask::evidence() const
{
  return mQuarantine.evidence(mDependencies.loop.now());
}

PromptQuarantine::MergeResult
QuarantineTask::merge(const Evidence& aEvidence)
{
  auto result = mQuarantine.merge(aEvidence, mDependencies.loop.now());
  logDecisions();
  return result;
}

void
QuarantineTask::changed(const Evidence& aEvidence)
{
  logDecisions();
  if (!aEvidence.empty() && mShare) {
    mShare(aEvidence);
  }
}

void
QuarantineTask::logDecisions()
{
  const auto decisions = mQuarantine.takeDecisions();
  for (const auto& decision : decisions) {
    mDependencies.log.write(kPromptDecision,
                            { { "part", decision.part },
                              { "decision", nameOf(decision.kind) },
                              { "crashed", upstreamsOf(decision.crashes) },
                              { "rivals", describe(decision.rivals) },
                              { "time_in_quarantine_ms", toMs(decision.time) } });
  }
  if (decisions.empty()) {
    return;
  }
  const auto quarantined = mQuarantine.quarantined(mDependencies.loop.now());
  mDependencies.metrics.set("savoryrill_gateway_quarantined_parts",
                            static_cast<double>(quarantined.size()));
  mRowOutdated = true;
  writeRow();
}

void
QuarantineTask::tick()
{
  const auto now = mDependencies.loop.now();
  std::erase_if(mSuspects, [&](const auto& aItem) {
    return !aItem.second.checking && now - aItem.second.last > kSameCrash;
  });
  mQuarantine.expire(now);
  logDecisions();
  if (!mRowRead || (!mLeaderContact && now - mLastRead >= kReadPeriod)) {
    readRow();
  } else {
    writeRow();
  }
}

void
QuarantineTask::readRow()
{
  if (mCallInProgress) {
    return;
  }
  mCallInProgress = true;
  mLastRead = mDependencies.loop.now();
  mDependencies.store.readRow(
    kQuarantineTable, kQuarantineKey, [this](Result<std::optional<StoredRow>> aRow) {
      mCallInProgress = false;
      if (!aRow) {
        recordStoreResult("read", &aRow.error());
        return; // repeated by the next tick
      }
      recordStoreResult("read", nullptr);
      mRowRead = true;
      mRowKnown = true;
      const auto& row = aRow.value();
      mRowVersion = row ? row->version : 0;
      if (!row) {
        return;
      }
      const auto now = mDependencies.loop.now();
      const auto evidence = decodePromptRow(row->value, now, wallMs());
      if (!evidence) {
        // The next write replaces it.
        recordStoreResult("decode", &evidence.error());
        return;
      }
      const auto merged = merge(evidence.value());
      if (mShare && !merged.changed.empty()) {
        mShare(merged.changed);
      }
    });
}

void
QuarantineTask::writeRow()
{
  if (!mLeading || !mRowOutdated || mCallInProgress) {
    return;
  }
  if (!mRowKnown) {
    readRow();
    return;
  }
  const auto now = mDependencies.loop.now();
  const auto quarantined = mQuarantine.quarantined(now);
  if (quarantined.empty() && mRowVersion == 0) {
    mRowOutdated = false;
    return;
  }
  mCallInProgress = true;
  mRowOutdated = false;
  mDependencies.store.writeRow(
    kQuarantineTable,
    { kQuarantineKey, encodePromptRow(quarantined, now, wallMs()), 0, false },
    mRowVersion,
    [this](Result<std::uint64_t> aVersion) {
      mCallInProgress = false;
      if (aVersion) {
        mRowVersion = aVersion.value();
        recordStoreResult("write", nullptr);
        return;
      }
      // The row may have been written, by this host or another one, so it is read first.
      recordStoreResult("write", &aVersion.error());
      mRowKnown = false;
      mRowOutdated = true;
    });
}

void
QuarantineTask::recordStoreResult(const char* aStep, const Error* aError)
{
  if (aError != nullptr && !mCallFailed) {
    mDependencies.log.write(kQuarantineRowFailed,
                            { { "step", aStep },
                              { "error", nameOf(aError->code) },
                              { "reason", aError->message } });
  }
  mCallFailed = aError != nullptr;
}

} // namespace savoryrill::gateway
