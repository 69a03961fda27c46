#pragma once

#include <memory>
#include <string>
#include <vector>

#include "base/result.h"
#include "base/types/time.h"
#include "http/client.h"
#include "platform/iplatform.h"

namespace savoryrill::platform {

struct PlatformOptions
{
  std::vector<std::string> endpoints; // numeric addresses and ports, tried in order
  Duration timeout = 2s;              // of each request
};

/// Creates clients of the platform over HTTP and JSON (docs/design.md section 8).
class PlatformClient
{
public:
  /// Fails with InvalidArgument if there are no endpoints. Precondition: `aClient`
  /// outlives the result. Not thread safe.
  static Result<std::unique_ptr<IPlatform>> create(http::Client& aClient,
                                                   PlatformOptions aOptions);
};

} // namespace savoryrill::platform
