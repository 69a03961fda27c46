#include "routing/prefixhash.h"

namespace savoryrill::routing {

namespace {

constexpr std::size_t kBlockBytes = 64;
constexpr std::size_t kMaxBlocks = 64;
constexpr std::uint64_t kOffsetBasis = 14695981039346656037ULL;
constexpr std::uint64_t kPrime = 1099511628211ULL;

} // namespace

std::vector<std::uint64_t>
prefixHashes(std::string_view aPrompt)
{
  std::vector<std::uint64_t> hashes;
  std::uint64_t hash = kOffsetBasis;
  for (std::size_t i = 0; i < aPrompt.size() && hashes.size() < kMaxBlocks; ++i) {
    hash = (hash ^ static_cast<unsigned char>(aPrompt[i])) * kPrime;
    if ((i + 1) % kBlockBytes == 0) {
      hashes.push_back(hash);
    }
  }
  if (hashes.empty() && !aPrompt.empty()) {
    hashes.push_back(hash);
  }
  return hashes;
}

} // namespace savoryrill::routing
