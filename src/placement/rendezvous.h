#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace savoryrill::placement {

/// Weight of a member for a key in rendezvous hashing, the same in every process. Thread
/// safe.
std::uint64_t
rendezvousWeight(std::string_view aMember, std::string_view aKey);

/// The member with the highest weight for `aKey`, empty if there are no members. Thread
/// safe.
std::string
rendezvousWinner(const std::set<std::string>& aMembers, std::string_view aKey);

} // namespace savoryrill::placement
