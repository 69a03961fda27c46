#pragma once

#include <string>

#include "base/result.h"
#include "cli/types/commands.h"
#include "config/bundle.h"

namespace savoryrill::cli {

/// Reads a whole file. Fails with InvalidArgument.
Result<std::string>
readTextFile(const std::string& aPath);

/// Reads a token without surrounding white space. Fails with InvalidArgument.
Result<std::string>
readToken(const std::string& aPath);

/// Reads a base and its overlays. Fails with InvalidArgument.
Result<config::Bundle>
readBundle(const BundleFiles& aFiles);

} // namespace savoryrill::cli
