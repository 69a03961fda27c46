#include "placement/rendezvous.h"

namespace savoryrill::placement {

namespace {

constexpr std::uint64_t kFnvOffset = 14695981039346656037ULL;
constexpr std::uint64_t kFnvPrime = 1099511628211ULL;

std::uint64_t
fnv(std::uint64_t aHash, std::string_view aText)
{
  for (const char character : aText) {
    aHash = (aHash ^ static_cast<unsigned char>(character)) * kFnvPrime;
  }
  return aHash;
}

// Finaliser of MurmurHash3. FNV alone distributes short, similar names badly in its high
// bits.
std::uint64_t
mix(std::uint64_t aHash)
{
  aHash ^= aHash >> 33;
  aHash *= 0xff51afd7ed558ccdULL;
  aHash ^= aHash >> 33;
  aHash *= 0xc4ceb9fe1a85ec53ULL;
  return aHash ^ (aHash >> 33);
}

} // namespace

std::uint64_t
rendezvousWeight(std::string_view aMember, std::string_view aKey)
{
  return mix(fnv(fnv(fnv(kFnvOffset, aMember), "/"), aKey));
}

std::string
rendezvousWinner(const std::set<std::string>& aMembers, std::string_view aKey)
{
  std::string winner;
  std::uint64_t best = 0;
  for (const auto& member : aMembers) {
    const std::uint64_t weight = rendezvousWeight(member, aKey);
    if (winner.empty() || weight > best) {
      winner = member;
      best = weight;
    }
  }
  return winner;
}

} // namespace savoryrill::placement
