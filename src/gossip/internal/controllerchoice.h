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

/// Connections to open and to close after a change of the choice. The caller opens the
/// new ones first.
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

  /// Gives up a connection that was not established within the timeout. Connects to the
  /// next controller if none is in use or being tried.
  ChoiceChange tick(Instant aNow);

  /// Connects to another controller, which replaces the one in use once it has joined: a
  /// random one if the order is `Random`; the first listed one, unless it is already in
  /// use, if the order is `AsListed`. Does nothing while no controller is in use or
  /// another one is being tried.
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
  std::optional<std::string> mLastFailed; // connection lost or timed out
  Instant mConnectStart;
};

} // namespace savoryrill::gossip
