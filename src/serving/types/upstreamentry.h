#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/types/time.h"
#include "link/socket.h"

namespace savoryrill::serving {

/// A model, or one of its adapters.
struct ModelKey
{
  std::string model;
  std::string adapter; // empty for the model itself

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

/// State of an engine at the time of its report.
struct EngineReport
{
  std::uint64_t ordersAccepted = 0;    // since the engine's start
  std::optional<bool> orderInProgress; // nothing if not reported
  std::vector<ResidentModel> models;
  std::vector<ModelKey> adaptersChanging; // being loaded or unloaded
  std::set<std::string> inMemory;         // checkpoint copies
  std::set<std::string> onDisk;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
};

/// An upstream in the platform's list.
struct UpstreamEntry
{
  std::string id;          // may be used again by a later incarnation
  std::int64_t bornMs = 0; // start time; distinguishes incarnations of the same id
  std::string group;
  std::string dataCentre;
  link::Endpoint endpoint;
  std::uint32_t concurrency = 1;
  bool leaving = false;
  Duration leavesIn =
    Duration::zero();           // set only for upstreams reclaimed at short notice
  std::uint64_t heartbeat = 0;  // grows with each entry of this incarnation
  std::uint64_t rowVersion = 0; // of the table row that was read
  EngineReport engine;          // for engines; without `ordersAccepted`
};

} // namespace savoryrill::serving
