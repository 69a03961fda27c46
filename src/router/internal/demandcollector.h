#pragma once

#include <cstdint>
#include <map>

#include "base/types/time.h"
#include "config/types/configuration.h"
#include "transport/proto/peer.pb.h"

namespace savoryrill::router {

/// Collects the content of this router's demand entry. Not thread safe; no I/O.
class DemandCollector
{
public:
  /// Counts an arrival for the next entry.
  void addArrival(const config::ModelReference& aModel) { ++mArrivals[aModel]; }

  /// Keeps reporting demand for a model until `aUntil` although its request was refused,
  /// so that the model is loaded when the caller sends the request again.
  void retainUntil(const config::ModelReference& aModel, Instant aUntil);

  /// Starts a new count of waiting requests and requests in flight.
  void startCount(Instant aNow);
  void addWaiting(const config::ModelReference& aModel,
                  Instant aDeadline,
                  config::Priority aPriority);
  void addInFlight(const config::ModelReference& aModel);

  /// The content of the entry; resets the arrivals.
  peer::DemandContent takeContent();

private:
  struct ModelDemand
  {
    std::uint32_t waiting = 0;
    std::uint32_t inFlight = 0;
    Instant earliestDeadline = Instant::max();
    config::Priority priority = config::Priority::Low;
  };
  std::map<config::ModelReference, std::uint32_t> mArrivals;
  std::map<config::ModelReference, Instant> mRetained;
  std::map<config::ModelReference, ModelDemand> mItems;
  Instant mNow;
};

} // namespace savoryrill::router
