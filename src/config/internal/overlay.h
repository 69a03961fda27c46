#pragma once

#include <json/json.h>
#include <string>

#include "config/internal/objectreader.h"

namespace savoryrill::config {

/// The base with the overlay of `aSite` merged into it. Keys that an overlay may not set
/// and names that the base does not have are reported and left out. A `keep_alive` with a
/// `policy` replaces that of the base, because the keys of two policies do not mix.
Json::Value
mergeOverlay(const ReadContext& aContext,
             const Json::Value& aBase,
             const Json::Value& aOverlay,
             const std::string& aSite);

} // namespace savoryrill::config
