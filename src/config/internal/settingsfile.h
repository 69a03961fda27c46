#pragma once

#include <string>
#include <string_view>

#include "base/result.h"
#include "config/internal/values.h"

namespace savoryrill::config {

/// Reads a whole file. Fails with NotFound. Thread safe.
Result<std::string>
readSettingsFile(const std::string& aPath);

/// Complains about a text that is no numeric address and port. Thread safe.
Complaint
checkListenAddress(std::string_view aText);

} // namespace savoryrill::config
