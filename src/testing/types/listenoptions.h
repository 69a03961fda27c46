#pragma once

#include <cstdint>
#include <string>

namespace savoryrill::testing {

/// Where a stand-in listens and records what truly happened.
struct ListenOptions
{
  std::string address = "127.0.0.1"; // numeric
  std::uint16_t port = 0;            // 0 takes a free port
  std::string recordPath;            // empty: records are kept in memory
};

} // namespace savoryrill::testing
