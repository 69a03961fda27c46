#include "gossip/internal/controllerchoice.h"

#include <algorithm>
#include <utility>

namespace savoryrill::gossip {

namespace {

// Long enough to connect to a slow host and complete the handshake. If no other
// controller of the group is in use meanwhile, state reaches the group only through other
// peers.
constexpr Duration kJoinTimeout = 1s;

} // namespace

ControllerChoice::ControllerChoice(ChoiceOrder aOrder, std::uint64_t aSeed)
  : mOrder(aOrder)
  , mRandom(aSeed)
{
}

bool
ControllerChoice::isKnown(const std::string& aEndpoint) const
{
  return std::find(mCandidates.begin(), mCandidates.end(), aEndpoint) !=
         mCandidates.end();
}

ChoiceChange
ControllerChoice::add(const std::string& aEndpoint, bool aPreferred, Instant aNow)
{
  if (!isKnown(aEndpoint)) {
    mCandidates.insert(aPreferred ? mCandidates.begin() : mCandidates.end(), aEndpoint);
  }
  return mChosen || mConnecting ? ChoiceChange{} : connectToNext(aNow);
}

ChoiceChange
ControllerChoice::remove(const std::string& aEndpoint, Instant aNow)
{
  mCandidates.erase(std::remove(mCandidates.begin(), mCandidates.end(), aEndpoint),
                    mCandidates.end());
  const bool was_used = mChosen == aEndpoint || mConnecting == aEndpoint;
  if (mChosen == aEndpoint) {
    mChosen.reset();
  }
  if (mConnecting == aEndpoint) {
    mConnecting.reset();
  }
  ChoiceChange change = mChosen || mConnecting ? ChoiceChange{} : connectToNext(aNow);
  if (was_used) {
    change.disconnect.push_back(aEndpoint);
  }
  return change;
}

ChoiceChange
ControllerChoice::joined(const std::string& aEndpoint)
{
  ChoiceChange change;
  if (mConnecting != aEndpoint) {
    return change;
  }
  mConnecting.reset();
  mLastFailed.reset();
  if (mChosen && mChosen != aEndpoint) {
    change.disconnect.push_back(*mChosen);
  }
  mChosen = aEndpoint;
  return change;
}

ChoiceChange
ControllerChoice::lost(const std::string& aEndpoint, Instant aNow)
{
  if (mChosen != aEndpoint) {
    return {};
  }
  mChosen.reset();
  mLastFailed = aEndpoint;
  ChoiceChange change = mConnecting ? ChoiceChange{} : connectToNext(aNow);
  if (mConnecting != aEndpoint) {
    change.disconnect.push_back(aEndpoint);
  }
  return change;
}

ChoiceChange
ControllerChoice::tick(Instant aNow)
{
  if (!mConnecting) {
    return mChosen ? ChoiceChange{} : connectToNext(aNow);
  }
  if (aNow - mConnectStart < kJoinTimeout) {
    return {};
  }
  const std::string timed_out = *std::exchange(mConnecting, std::nullopt);
  mLastFailed = timed_out;
  ChoiceChange change = mChosen ? ChoiceChange{} : connectToNext(aNow);
  if (mConnecting != timed_out) {
    change.disconnect.push_back(timed_out);
  }
  return change;
}

ChoiceChange
ControllerChoice::rotate(Instant aNow)
{
  if (!mChosen || mConnecting) {
    return {};
  }
  if (mOrder == ChoiceOrder::Random) {
    return connectToNext(aNow);
  }
  return mChosen == mCandidates.front() ? ChoiceChange{}
                                        : connectTo(mCandidates.front(), aNow);
}

ChoiceChange
ControllerChoice::connectToNext(Instant aNow)
{
  const auto endpoint = nextCandidate();
  return endpoint ? connectTo(*endpoint, aNow) : ChoiceChange{};
}

ChoiceChange
ControllerChoice::connectTo(const std::string& aEndpoint, Instant aNow)
{
  mConnecting = aEndpoint;
  mConnectStart = aNow;
  return { { aEndpoint }, {} };
}

std::optional<std::string>
ControllerChoice::nextCandidate()
{
  return mOrder == ChoiceOrder::Random ? nextRandom() : nextListed();
}

/// Returns the candidate after the last failed one, so that all are tried in turn.
std::optional<std::string>
ControllerChoice::nextListed() const
{
  if (mCandidates.empty()) {
    return std::nullopt;
  }
  if (!mLastFailed) {
    return mCandidates.front();
  }
  const auto failed = std::find(mCandidates.begin(), mCandidates.end(), *mLastFailed);
  const bool at_end = failed == mCandidates.end() || failed + 1 == mCandidates.end();
  return at_end ? mCandidates.front() : *(failed + 1);
}

/// Returns a random candidate other than the chosen one. The last failed one is returned
/// only if there is no other.
std::optional<std::string>
ControllerChoice::nextRandom()
{
  std::vector<std::string> others;
  for (const auto& candidate : mCandidates) {
    if (mChosen != candidate && mLastFailed != candidate) {
      others.push_back(candidate);
    }
  }
  if (others.empty() && mLastFailed && isKnown(*mLastFailed) && mChosen != mLastFailed) {
    return mLastFailed;
  }
  if (others.empty()) {
    return std::nullopt;
  }
  return others[mRandom() % others.size()];
}

} // namespace savoryrill::gossip
