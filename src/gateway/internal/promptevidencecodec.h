#pragma once

#include <string>
#include <vector>

#include "base/result.h"
#include "base/types/time.h"
#include "serving/types/promptevidence.h"

namespace savoryrill::gateway {

// Evidence against prompt parts, as messages between gateways and as the value of a row.
// Times are encoded as ages, since hosts have no common clock. All functions are thread
// safe; decoding fails with Malformed.

std::string
encodePromptEvidence(const std::vector<serving::PartEvidence>& aEvidence, Instant aNow);
Result<std::vector<serving::PartEvidence>>
decodePromptEvidence(const std::string& aPayload, Instant aNow);

/// `aWallMs` is the wall clock time in milliseconds since 1970. A row that seems to come
/// from the future, after a step of the clock, is read as if it had just been written.
std::string
encodePromptRow(const std::vector<serving::PartEvidence>& aEvidence,
                Instant aNow,
                std::int64_t aWallMs);
Result<std::vector<serving::PartEvidence>>
decodePromptRow(const std::string& aValue, Instant aNow, std::int64_t aWallMs);

} // namespace savoryrill::gateway
