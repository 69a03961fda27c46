#include "gossip/internal/controllerdirectory.h"

#include <algorithm>

namespace savoryrill::gossip {

namespace {

// About three times the number of controllers in a deployment of the target size.
constexpr std::size_t kMaxMemberControllers = 1000;

std::optional<ControllerAddress>
addressOf(const peer::Entry& aEntry)
{
  peer::MemberContent member;
  const bool usable = !aEntry.payload().empty() &&
                      member.ParseFromString(aEntry.payload()) &&
                      member.role() == peer::ROLE_CONTROLLER && !member.leaving() &&
                      !member.endpoint().empty() && !member.data_centre().empty();
  if (!usable) {
    return std::nullopt;
  }
  return ControllerAddress{ member.data_centre(), member.host(), member.endpoint() };
}

} // namespace

void
ControllerDirectory::addSeed(const ControllerAddress& aAddress)
{
  mSeeds.insert(aAddress);
}

bool
ControllerDirectory::isKnown(const ControllerAddress& aAddress) const
{
  const auto same = [&](const ControllerAddress& aOther) {
    return aOther.dataCentre == aAddress.dataCentre &&
           aOther.endpoint == aAddress.endpoint;
  };
  return std::any_of(mSeeds.begin(), mSeeds.end(), same) ||
         std::any_of(mMemberControllers.begin(),
                     mMemberControllers.end(),
                     [&](const auto& aItem) { return same(aItem.second); });
}

DirectoryChange
ControllerDirectory::update(const peer::Entry& aEntry)
{
  DirectoryChange change;
  const auto address = addressOf(aEntry);
  const auto existing = mMemberControllers.find(aEntry.key());
  if (existing != mMemberControllers.end()) {
    if (address == existing->second) {
      return change;
    }
    const ControllerAddress previous = existing->second;
    mMemberControllers.erase(existing);
    if (!isKnown(previous)) {
      change.removed = previous;
    }
  }
  if (address && mMemberControllers.size() < kMaxMemberControllers) {
    if (!isKnown(*address)) {
      change.added = address;
    }
    mMemberControllers[aEntry.key()] = *address;
  }
  return change;
}

} // namespace savoryrill::gossip
