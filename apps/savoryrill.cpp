#include <iostream>

#include "cli/program.h"
#include "cli/reportrenderer.h"
#include "platform/platformclient.h"

using namespace savoryrill;

int
main(int argc, char** argv)
{
  auto loop = event::Loop::create();
  if (!loop) {
    std::cerr << loop.error().message << "\n";
    return static_cast<int>(cli::exitCodeOf(loop.error().code));
  }
  auto http = http::Client::create(*loop.value());
  if (!http) {
    std::cerr << http.error().message << "\n";
    return static_cast<int>(cli::exitCodeOf(http.error().code));
  }
  const cli::Environment environment{
    std::cout,
    std::cerr,
    *loop.value(),
    *http.value(),
    [&](std::vector<std::string> aEndpoints) {
      return platform::PlatformClient::create(*http.value(), { std::move(aEndpoints) });
    },
    &cli::renderReport,
  };
  return static_cast<int>(cli::run(argc, argv, environment));
}
