#pragma once

#include <json/json.h>

#include "config/internal/objectreader.h"
#include "config/types/configuration.h"

namespace savoryrill::config {

/// What reading a merged configuration gave.
struct ReadConfiguration
{
  Configuration configuration;
  /// False if an upstream is faulty, so that memory checks would only repeat that.
  bool upstreamsSound = true;
};

/// Checks a base, or a base merged with an overlay, against the schema and reads it.
ReadConfiguration
readConfiguration(const ReadContext& aContext, const Json::Value& aRoot);

/// Checks what entries of a configuration say about each other: pools, data centres,
/// memory, addresses, keys.
void
checkReferences(const ReadContext& aContext, const ReadConfiguration& aRead);

} // namespace savoryrill::config
