#pragma once

#include <algorithm>
#include <json/value.h>
#include <string>
#include <string_view>
#include <vector>

#include "matrix/types/evidence.h"
#include "testing/internal/json.h"

namespace savoryrill::matrix {

inline bool
isKind(const Json::Value& aRecord, std::string_view aKind)
{
  return testing::textMember(aRecord, "kind") == aKind;
}

inline std::int64_t
timeOf(const Json::Value& aRecord)
{
  return static_cast<std::int64_t>(testing::numberMember(aRecord, "t_us"));
}

/// True if an outage of the process touches the time between the two instants.
inline bool
wasOut(const Evidence& aEvidence,
       const std::string& aProcess,
       std::int64_t aFromUs,
       std::int64_t aToUs)
{
  const auto found = aEvidence.outages.find(aProcess);
  return found != aEvidence.outages.end() &&
         std::any_of(
           found->second.begin(), found->second.end(), [&](const auto& aOutage) {
             return aOutage.fromUs <= aToUs && aOutage.toUs >= aFromUs;
           });
}

} // namespace savoryrill::matrix
