#pragma once

#include <optional>
#include <random>
#include <string>
#include <vector>

#include "base/types/time.h"

namespace savoryrill::gossip {

/// Order in which controllers are tried.
enum class ChoiceOrder
{
  AsListed, // prefers the first one
  Random
};

/// Endpoints to connect to and then endpoints to disconnect from.
struct ChoiceChange
{
  std::vector<std::string> connect;
  std::vector<std::string> disconnect;
};

/// Chooses one controller of a data centre and replaces it when its connection is lost.
/// When the choice is rotated, the old connection stays in use until the new one is
/// established. Controllers are identified by endpoint. No I/O, not thread safe.
class ControllerChoice
{
public:
  ControllerChoice(ChoiceOrder aOrder, std::uint64_t aSeed);

  /// Adds a controller, before all others if `aPreferred`. Connects to a controller if
  /// none is in use or being tried.
  ChoiceChange add(const std::string& aEndpoint, bool aPreferred, Instant aNow);

  /// Removes a controller. Connects to another one if none is in use or being tried.
  ChoiceChange remove(const std::string& aEndpoint, Instant aNow);

  /// The connection to a controller has been established, including its handshake.
  ChoiceChange joined(const std::string& aEndpoint);

  /// The connection to a controller has been lost.
  ChoiceChange lost(const std::string& aEndpoint, Instant aNow);

  /// Disconnects from a controller whose connection was not established in time. Tries
  /// the next one if none is in use.
  ChoiceChange tick(Instant aNow);

  /// Tries another controller; if the order is `AsListed`, only the first one.
  ChoiceChange rotate(Instant aNow);

  /// The endpoint of the controller in use, if any.
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
  std::optional<std::string> mLastFailed; // last one lost or not connected in time
  Instant mConnectStart;
};

} // namespace savoryrill::gossip
