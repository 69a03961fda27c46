#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/types/time.h"
#include "link/socket.h"

namespace savoryrill::serving {

/// A model and, where one is meant, an adapter of it.
struct ModelKey
{
  std::string model;
  std::string adapter; // empty: the model itself

  friend auto operator<=>(const ModelKey&, const ModelKey&) = default;
};

/// "MODEL" or "MODEL/ADAPTER". Thread safe.
std::string
toString(const ModelKey& aKey);

/// A model at an engine with the adapters that are ready there.
struct ResidentModel
{
  std::string model;
  std::uint32_t version = 0;
  std::set<std::string> adapters;
};

/// What an engine holds, as it reported at one moment.
struct EngineReport
{
  std::uint64_t ordersAccepted = 0;    // since its start
  std::optional<bool> orderInProgress; // an order is being carried out, if it says so
  std::vector<ResidentModel> models;
  std::vector<ModelKey> adaptersChanging;
  std::set<std::string> inMemory; // checkpoint copies
  std::set<std::string> onDisk;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
};

/// An upstream as the platform's list describes it.
struct UpstreamEntry
{
  std::string id;          // of this incarnation, may be used again after a restart
  std::int64_t bornMs = 0; // start time that tells incarnations with the same id apart
  std::string group;
  std::string dataCentre;
  link::Endpoint endpoint;
  std::uint32_t concurrency = 1;
  bool leaving = false;
  Duration leavesIn =
    Duration::zero();           // known only for upstreams reclaimed at short notice
  std::uint64_t heartbeat = 0;  // grows with each entry of this incarnation
  std::uint64_t rowVersion = 0; // of the row that was read
  EngineReport engine;          // of engines, without the count of orders
};

} // namespace savoryrill::serving
