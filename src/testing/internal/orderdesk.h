#pragma once

#include <cstdint>
#include <deque>
#include <json/value.h>
#include <set>
#include <string>

#include "testing/internal/modelstore.h"
#include "upstream/types/inventory.h"

namespace savoryrill::testing {

/// Checks orders (repetition, fencing number, time to live) and hands them to the model
/// store. Free of I/O besides the records; not thread safe.
class OrderDesk
{
public:
  /// Precondition: the model store and the recorder outlive this object.
  OrderDesk(const EngineOptions& aOptions, ModelStore& aModels, Recorder& aRecorder);

  /// Carries out an order that has been in the engine for `aAge`, and records the result.
  std::optional<Refusal> handle(const Json::Value& aBody, Duration aAge, bool aLeaving);

  /// The highest fencing number accepted, 0 if the engine ignores them.
  std::uint64_t fencingNumber() const { return mFencingNumber; }

  const std::string& role() const { return mRole; }

private:
  std::optional<Refusal> decide(const Json::Value& aBody, Duration aAge, bool aLeaving);
  std::optional<Refusal> carryOut(upstream::OrderKind aKind, const Json::Value& aBody);
  void remember(const std::string& aOrderId);

  bool mChecksFencing;
  bool mHonoursTimeToLive;
  ModelStore& mModels;
  Recorder& mRecorder;
  std::uint64_t mFencingNumber = 0;
  std::string mRole;
  std::set<std::string> mAccepted;
  std::deque<std::string> mAcceptedOrder; // oldest first, bounds the set
};

} // namespace savoryrill::testing
