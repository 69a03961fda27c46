#include "serving/callerauthentication.h"

#include <sodium.h>
#include <utility>

namespace savoryrill::serving {

CallerAuthentication::CallerAuthentication(bool aNeedsKey, std::string aKey)
  : mNeedsKey(aNeedsKey)
  , mKey(std::move(aKey))
{
}

CallerAuthentication::CallerAuthentication(CallerAuthentication&& aOther) noexcept
  : mNeedsKey(aOther.mNeedsKey)
  , mKey(aOther.mKey) // a moved text may leave its characters behind
  , mOrganisation(std::move(aOther.mOrganisation))
  , mChecked(std::move(aOther.mChecked))
{
}

CallerAuthentication::~CallerAuthentication()
{
  sodium_memzero(mKey.data(), mKey.size());
}

std::optional<RefusalReason>
CallerAuthentication::check(const Directory& aDirectory, bool aConfirmed)
{
  if (!mNeedsKey || !aDirectory) {
    return std::nullopt;
  }
  if (mKey.empty()) {
    return RefusalReason::MissingKey;
  }
  if (!aConfirmed) {
    return RefusalReason::Unconfirmed;
  }
  if (mChecked == aDirectory) {
    return std::nullopt;
  }
  const auto* organisation = aDirectory->find(mKey);
  if (organisation == nullptr) {
    return RefusalReason::UnknownKey;
  }
  if (mOrganisation && mOrganisation->name != organisation->name) {
    return RefusalReason::KeyMoved;
  }
  mOrganisation = *organisation;
  mChecked = aDirectory;
  return std::nullopt;
}

} // namespace savoryrill::serving
