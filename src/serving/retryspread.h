#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/types/time.h"
#include "serving/admission.h"

namespace savoryrill::serving {

// Times for the Retry-After of requests refused for want of capacity. It handles this
// load pattern: a burst is refused within a short time. If all are told the time of the
// present backlog, they return together and most are refused again.

/// Gives each refused request of a model its own time to return, at the rate at which the
/// model's requests are completed. Not thread safe.
class RetrySpread
{
public:
  /// A request for the model was completed at this host.
  void completed(const std::string& aModel, Instant aNow);
  /// When a caller refused now should return. `aBacklog` is the time until the requests
  /// that wait now are served, `aLatest` the time after which callers don't return any
  /// more, and `aRandom` is in [0, 1). Never less than `aBacklog`.
  Duration returnTime(const std::string& aModel,
                      Duration aBacklog,
                      Duration aLatest,
                      double aRandom,
                      Instant aNow);
  std::size_t size() const { return mModels.size(); }

private:
  struct Model
  {
    CompletionRate rate;
    Instant nextReturn{};
    Instant used{};
  };
  // Part of the completions that is left to callers who return; the others serve those
  // who arrive for the first time.
  static constexpr double kReturningPart = 0.5;
  // Width of the spread while the rate is unknown.
  static constexpr Duration kUnknownWidth = 500ms;
  // Models without a request for this long are forgotten.
  static constexpr Duration kForgottenAfter = 60s;
  static constexpr std::size_t kCallsBetweenCleanups = 1000;

  Model& modelOf(const std::string& aModel, Instant aNow);

  std::map<std::string, Model> mModels;
  std::size_t mCalls = 0;
};

} // namespace savoryrill::serving
