#pragma once

#include <optional>
#include <random>
#include <string>
#include <vector>

#include "base/types/time.h"

namespace savoryrill::gossip {

/// In which order controllers are tried.
enum class ChoiceOrder
{
  AsListed, // the first one whenever it is reachable
  Random
};

/// Connections to make and to end, in this order.
struct ChoiceChange
{
  std::vector<std::string> connect;
  std::vector<std::string> disconnect;
};

/// Chooses one controller out of a group (those of one data centre) and replaces it when
/// it is lost. The old choice stays in use until the new one has joined. Controllers are
/// known by endpoint. No I/O, not thread safe.
class ControllerChoice
{
public:
  ControllerChoice(ChoiceOrder aOrder, std::uint64_t aSeed);

  /// Adds a controller, in front of all others if `aPreferred`.
  ChoiceChange add(const std::string& aEndpoint, bool aPreferred, Instant aNow);

  /// Removes a controller; another one is chosen if necessary.
  ChoiceChange remove(const std::string& aEndpoint, Instant aNow);

  /// The connection to a controller has become usable.
  ChoiceChange joined(const std::string& aEndpoint);

  /// The connection to a controller has been lost.
  ChoiceChange lost(const std::string& aEndpoint, Instant aNow);

  /// Gives up on a controller that does not join in time and tries the next one.
  ChoiceChange tick(Instant aNow);

  /// Tries another controller, or the first one again if the order is `AsListed`.
  ChoiceChange rotate(Instant aNow);

  /// The controller in use, if there is one.
  const std::optional<std::string>& chosen() const { return mChosen; }

private:
  std::optional<std::string> nextCandidate();
  std::optional<std::string> nextListed() const;
  std::optional<std::string> nextRandom();
  bool isKnown(const std::string& aEndpoint) const;
  ChoiceChange connectToNext(Instant aNow);
  ChoiceChange connectTo(const std::string& aEndpoint, Instant aNow);

  ChoiceOrder mOrder;
  std::mt19937_64 mRandom;
  std::vector<std::string> mCandidates;
  std::optional<std::string> mChosen;
  std::optional<std::string> mConnecting;
  std::optional<std::string> mLastFailed; // the last one that was lost or did not join
  Instant mConnectStart;
};

} // namespace savoryrill::gossip
