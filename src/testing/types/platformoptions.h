#pragma once

#include <cstdint>
#include <vector>

#include "base/types/enumnames.h"
#include "base/types/time.h"
#include "platform/types/table.h"
#include "testing/types/listenoptions.h"

namespace savoryrill::testing {

enum class FetchClass
{
  Checkpoint,
  Adapter
};

/// The weight store's limits. Checkpoint fetches start at most `loadsPerSecond`, evenly
/// spaced, in order of arrival. Beyond `fullSpeedLoads` checkpoints (or
/// `adaptersInFlight` adapters) in progress, all of that class slow down in proportion.
struct WeightStoreOptions
{
  double loadsPerSecond = 4; // 0: no limit
  std::uint32_t fullSpeedLoads = 4;
  std::uint32_t adaptersInFlight = 32;
  double bandwidthMbPerS = 2000; // of one fetch at full speed
};

struct PlatformOptions
{
  ListenOptions listen;
  WeightStoreOptions weights;
  Duration hostLag = Duration::zero(); // until a change of the host list is visible
  std::vector<platform::HostEntry> hosts;
};

} // namespace savoryrill::testing

namespace savoryrill {

template<>
struct EnumNames<testing::FetchClass>
{
  static constexpr EnumTable<testing::FetchClass, 2> kTable{ {
    { testing::FetchClass::Checkpoint, "checkpoint" },
    { testing::FetchClass::Adapter, "adapter" },
  } };
};

} // namespace savoryrill
