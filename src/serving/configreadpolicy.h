#pragma once

#include <algorithm>
#include <cstdint>

#include "base/types/enumnames.h"

namespace savoryrill::serving {

/// How a host follows the configuration, by who tells it of newer versions.
enum class ConfigReader
{
  Alone,          // nobody does; only a waiting read notices a change
  Told,           // the leader does
  Behind,         // the leader has reported a version that this host does not have
  ConfirmsForAll, // this host leads and confirms the version to the others
  ConfirmsItself, // nobody confirms the version, so this host has to
  Confirmed       // the leader reports and confirms the version
};

/// Chooses how a host follows the configuration. Load pattern: a change of the
/// configuration during an outage of the store, or while the leader changes, in a fleet
/// whose hosts should not all read the store several times a second. All inputs arrive
/// here, so that no role keeps the choice of an earlier one. Not thread safe; no I/O.
class ConfigReadPolicy
{
public:
  void setLeading(bool aLeads) { mLeads = aLeads; }

  /// Whether the configuration has to be confirmed, since it holds keys of callers.
  void setConfirms(bool aConfirms) { mConfirms = aConfirms; }

  /// Whether the leader is in contact. It is if its list of upstreams arrives, and not if
  /// this host has to read the list from the store.
  void setTold(bool aTold) { mTold = aTold; }

  /// The leader has `aVersion` in force.
  void versionReported(std::uint64_t aVersion);

  /// A read has succeeded without the version that the leader reported. After some of
  /// them, the version counts as one that this host cannot get or use, and no reads are
  /// made for its sake.
  void reportedVersionMissed();

  /// This host has `aVersion` in force.
  void versionApplied(std::uint64_t aVersion) { mApplied = std::max(mApplied, aVersion); }

  /// Highest version that a leader has reported; 0: none.
  std::uint64_t reported() const { return mReported; }
  /// Version in force at this host; 0: none.
  std::uint64_t applied() const { return mApplied; }

  bool confirms() const { return mConfirms; }

  /// `aUnconfirmed`: no other host has confirmed the configuration for a while.
  ConfigReader reader(bool aUnconfirmed) const;

private:
  bool mLeads = false;
  bool mConfirms = false;
  bool mTold = false;
  std::uint64_t mReported = 0;
  int mMisses = 0; // of the reported version
  std::uint64_t mApplied = 0;
};

} // namespace savoryrill::serving

namespace savoryrill {

template<>
struct EnumNames<serving::ConfigReader>
{
  static constexpr EnumTable<serving::ConfigReader, 6> kTable{ {
    { serving::ConfigReader::Alone, "alone" },
    { serving::ConfigReader::Told, "told" },
    { serving::ConfigReader::Behind, "behind" },
    { serving::ConfigReader::ConfirmsForAll, "confirms-for-all" },
    { serving::ConfigReader::ConfirmsItself, "confirms-itself" },
    { serving::ConfigReader::Confirmed, "confirmed" },
  } };
};

} // namespace savoryrill
