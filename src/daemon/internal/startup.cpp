#include "daemon/startup.h"

#include <chrono>
#include <iostream>

namespace savoryrill::daemon {

std::uint64_t
processIncarnation()
{
  const auto wall = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::microseconds>(wall).count());
}

int
reportStartFailure(const char* aProcess, const Error& aError)
{
  std::cerr << aProcess << ": " << aError.message << '\n';
  return 1;
}

} // namespace savoryrill::daemon
