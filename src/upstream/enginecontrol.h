#pragma once

#include <memory>

#include "base/result.h"
#include "base/types/time.h"
#include "http/client.h"
#include "upstream/iengine.h"

namespace savoryrill::upstream {

/// Creates engine control over HTTP and JSON (docs/design.md section 8).
class EngineControl
{
public:
  /// `aTimeout` is the time limit of each request to an engine. Precondition: `aClient`
  /// outlives the result. Never fails. Not thread safe.
  static std::unique_ptr<IEngineControl> create(http::Client& aClient, Duration aTimeout);
};

} // namespace savoryrill::upstream
