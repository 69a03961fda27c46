#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace savoryrill::routing {

/// Returns the 64-bit FNV-1a hashes of the prompt's prefixes whose length is a multiple
/// of 64 bytes, shortest first, for at most 64 prefixes. A prompt shorter than 64 bytes
/// has one hash, that of the whole prompt; an empty one has none. Engines report cached
/// prefixes by the hash of the first 64 bytes. Thread safe.
std::vector<std::uint64_t>
prefixHashes(std::string_view aPrompt);

} // namespace savoryrill::routing
