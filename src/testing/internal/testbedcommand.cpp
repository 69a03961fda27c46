#include "testing/testbedcommand.h"

#include <array>
#include <iostream>
#include <string_view>

#include "testing/internal/subcommands.h"

namespace savoryrill::testing {

namespace {

struct Subcommand
{
  std::string_view name;
  Result<int> (*run)(int, const char**);
};

constexpr std::array<Subcommand, 5> kSubcommands{ {
  { "platform", &runPlatform },
  { "engine", &runEngine },
  { "service", &runService },
  { "fault-proxy", &runFaultProxy },
  { "load", &runLoad },
} };

constexpr int kUsageStatus = 2;

} // namespace

int
runTestbed(int aCount, const char** aArguments)
{
  const std::string_view name = aCount > 1 ? aArguments[1] : "";
  for (const auto& subcommand : kSubcommands) {
    if (subcommand.name != name) {
      continue;
    }
    const auto status = subcommand.run(aCount - 1, aArguments + 1);
    if (status) {
      return status.value();
    }
    std::cerr << "savoryrill-testbed " << name << ": " << status.error().message << "\n";
    return kUsageStatus;
  }
  std::cerr << "usage: savoryrill-testbed platform|engine|service|fault-proxy|load "
               "[--help] [options]\n";
  return kUsageStatus;
}

} // namespace savoryrill::testing
