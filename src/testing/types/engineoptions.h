#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/types/time.h"
#include "testing/types/listenoptions.h"
#include "upstream/types/inventory.h"

namespace savoryrill::testing {

/// A checkpoint that is present at start, or a model that is loaded at start.
struct InitialModel
{
  std::string model; // deployment@version
  std::uint32_t sizeMb = 0;
  upstream::CheckpointLocality locality = upstream::CheckpointLocality::Disk;
  bool loaded = false;
};

/// How long loads take. Remote loads go through the platform's weight store, or at
/// `remoteMbPerS` if there is no URL.
struct LoadTimes
{
  double memoryMbPerS = 20000;
  double diskMbPerS = 4000;
  double remoteMbPerS = 2000;
  std::string weightsUrl;             // http://<numeric address>:<port>
  std::uint32_t hostCacheMb = 60000;  // checkpoints kept in host memory
  std::uint32_t diskCacheMb = 200000; // checkpoints kept on disk
};

/// Step times and limits of continuous batching.
struct BatchOptions
{
  Duration step = 10ms;          // of an empty batch
  Duration stepPerRequest = 1ms; // added for each running request
  Duration prefillPerKb = 20ms;  // of prompt that is not cached
  std::uint32_t maxRunning = 16;
  std::uint32_t maxWaiting = 256;
  std::uint32_t kvCapacityTokens = 65536;
};

struct PrefixCacheOptions
{
  std::size_t entries = 64;
  Duration eventDelay = 200ms;
  double eventDropShare = 0; // 0 to 1
  std::uint64_t seed = 1;
};

struct EngineOptions
{
  ListenOptions listen;
  std::uint32_t memoryMb = 40000;
  std::string role = "general";
  bool checksFencing = true;
  bool honoursTimeToLive = true;
  bool unsafeMemory = false; // accepts loads beyond the memory and records that
  bool refusesWhenLeaving = true;
  std::vector<InitialModel> models;
  LoadTimes loadTimes;
  BatchOptions batch;
  PrefixCacheOptions prefixCache;
  Duration disconnectGrace = 5s; // until a request without a connection is cancelled
  Duration retention = 30s;      // of a finished request, for resuming
  Duration loadReportPeriod = 500ms;
};

} // namespace savoryrill::testing
