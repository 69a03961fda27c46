#pragma once

#include <string>
#include <vector>

#include "serving/types/servingconfig.h"

namespace savoryrill::serving {

/// What is wrong with a configuration that can be read: entries that can never take
/// effect, and limits that contradict each other. One sentence each, in the order of the
/// entries; empty if nothing was found. Quotas below one request are found by
/// `OrganisationDirectory::create`. Thread safe.
std::vector<std::string>
contradictions(const ServingConfig& aConfig);

/// What `aNext` changes in the configuration in force: routes, groups, models and
/// organisations that are added, removed or changed. One line each. Keys are neither
/// compared nor named. Thread safe.
std::vector<std::string>
differences(const ServingConfig& aInForce, const ServingConfig& aNext);

} // namespace savoryrill::serving
