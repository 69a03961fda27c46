#pragma once

#include <json/json.h>
#include <ostream>

#include "config/types/finding.h"

namespace savoryrill::cli {

/// One finding a line, then a line that counts them.
void
print(const config::Findings& aFindings, std::ostream& aOut);

Json::Value
toJson(const config::Findings& aFindings);

} // namespace savoryrill::cli
