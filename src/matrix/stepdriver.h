#pragma once

#include <string>

#include "matrix/cluster.h"
#include "matrix/internal/stepplan.h"

namespace savoryrill::matrix {

/// What a fault is aimed at: the parts that carry out the step.
struct Focus
{
  std::size_t host = 0; // whose router is asked and whose processes are stopped
  std::string engine = "xela-e1";
  std::string service = "xela-s1";
  std::string rows; // front of the table rows that the step writes, empty: any
};

/// Brings a system to a step: holds the stage, starts its work and waits for the record
/// that shows it. Not thread safe.
class StepDriver
{
public:
  /// Precondition: the cluster outlives this object.
  explicit StepDriver(Cluster& aCluster)
    : mCluster(aCluster)
  {
  }

  /// Returns when the step is reached. Fails with Timeout if it is not.
  Result<Focus> reach(Step aStep);

  /// Starts the work of a step whose fault must come first; otherwise does nothing.
  void startLateWork(Step aStep);

  /// Lifts what held the stage.
  Result<void> release();

  /// Waits for the end of an apply or a stop that the step began.
  Result<void> finish();

private:
  std::string marker() const { return "step-" + std::to_string(mNumber); }
  void ask(const std::string& aModel, bool aStream, std::uint32_t aTokens);
  void book();
  Result<void> setAll(Role aRole, const Json::Value& aFaults);
  Result<void> await(const char* aKind, const std::string& aText, unsigned aCount = 1);
  Result<void> warm();
  Result<void> hold(Hold aHold);
  Result<void> start(Work aWork);
  Result<void> leave(bool aInUse);
  Result<void> apply();
  Result<void> stop();

  Cluster& mCluster;
  Focus mFocus;
  std::int64_t mBeganUs = 0;
  unsigned mNumber = 0;
  std::string mApply;
};

} // namespace savoryrill::matrix
