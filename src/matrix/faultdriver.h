#pragma once

#include <string>
#include <vector>

#include "matrix/stepdriver.h"
#include "matrix/types/fault.h"

namespace savoryrill::matrix {

/// Injects a fault into a system and undoes it. Not thread safe.
class FaultDriver
{
public:
  /// Precondition: the cluster outlives this object.
  FaultDriver(Cluster& aCluster, Focus aFocus)
    : mCluster(aCluster)
    , mFocus(std::move(aFocus))
  {
  }

  /// Begins the fault. Fails with Unavailable.
  Result<void> inject(Fault aFault);

  /// Lets the fault last for its time, then ends it: what was killed is started again,
  /// what was cut is joined.
  Result<void> end(Fault aFault);

private:
  std::string router() const;
  std::string controller() const;
  std::string controllerOf(const std::string& aEngine);
  std::string platformRoute() const;
  Result<void> kill(const std::string& aProcess);
  Result<void> freeze(const std::string& aProcess);
  Result<void> cut(const std::vector<std::string>& aRoutes, const char* aKind);
  Result<void> block(const std::string& aRoute);
  Result<void> platformDown();
  Result<void> reclaimHost();
  Result<void> cutDataCentre();
  Result<void> breakUpstreams(Fault aFault);
  Result<void> injectBoth(Fault aFirst, Fault aSecond);
  void noteCutOff(bool aEverywhere);
  void excuseStops(bool aRouter);
  Result<void> race();

  Cluster& mCluster;
  Focus mFocus;
  std::vector<std::string> mKilled;
  std::vector<std::string> mFrozen;
  std::vector<std::string> mRoutes;
  std::vector<std::string> mApplies;
};

/// How long the fault lasts.
Duration
lengthOf(Fault aFault);

} // namespace savoryrill::matrix
