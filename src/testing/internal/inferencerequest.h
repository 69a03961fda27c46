#pragma once

#include "base/result.h"
#include "http/types/message.h"
#include "testing/internal/generation.h"

namespace savoryrill::testing {

/// Reads a completion or chat request. Fails with Malformed. Thread safe.
Result<GenerationPtr>
readGeneration(const http::Request& aRequest);

/// The whole answer of a finished request.
http::Response
wholeAnswer(const Generation& aGeneration);

/// The server-sent event of token `aIndex`; its id is `aIndex` + 1.
std::string
tokenEvent(const Generation& aGeneration, std::uint32_t aIndex);

/// The event that ends a stream.
std::string
doneEvent(const Generation& aGeneration);

/// The exported form of a request, and back. Reading fails with Malformed.
std::string
exportState(const Generation& aGeneration);

Result<GenerationPtr>
importState(const std::string& aHex);

} // namespace savoryrill::testing
