#include "serving/configreadpolicy.h"

namespace savoryrill::serving {

namespace {

// A read right after the store has dropped its history may return an old state.
constexpr int kMaxMisses = 4;

} // namespace

void
ConfigReadPolicy::versionReported(std::uint64_t aVersion)
{
  if (aVersion > mReported) {
    mReported = aVersion;
    mMisses = 0;
  }
}

void
ConfigReadPolicy::reportedVersionMissed()
{
  ++mMisses;
}

ConfigReader
ConfigReadPolicy::reader(bool aUnconfirmed) const
{
  if (mConfirms && mLeads) {
    return ConfigReader::ConfirmsForAll;
  }
  if (mConfirms && aUnconfirmed) {
    return ConfigReader::ConfirmsItself;
  }
  const bool behind = mReported > mApplied;
  if (behind && mMisses < kMaxMisses) {
    return ConfigReader::Behind;
  }
  if (mConfirms) {
    return ConfigReader::Confirmed;
  }
  return mTold && !mLeads && !behind ? ConfigReader::Told : ConfigReader::Alone;
}

} // namespace savoryrill::serving
