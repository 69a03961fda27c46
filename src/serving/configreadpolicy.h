#pragma once

#include "base/types/enumnames.h"

namespace savoryrill::serving {

/// How a host follows the configuration, by who tells it of newer versions.
enum class ConfigReader
{
  Alone,          // nobody does; only a waiting read notices a change
  Told,           // the leader does
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

  bool confirms() const { return mConfirms; }
  bool leads() const { return mLeads; }

  /// `aUnconfirmed`: no other host has confirmed the configuration for a while.
  ConfigReader reader(bool aUnconfirmed) const;

private:
  bool mLeads = false;
  bool mConfirms = false;
  bool mTold = false;
};

} // namespace savoryrill::serving

namespace savoryrill {

template<>
struct EnumNames<serving::ConfigReader>
{
  static constexpr EnumTable<serving::ConfigReader, 5> kTable{ {
    { serving::ConfigReader::Alone, "alone" },
    { serving::ConfigReader::Told, "told" },
    { serving::ConfigReader::ConfirmsForAll, "confirms-for-all" },
    { serving::ConfigReader::ConfirmsItself, "confirms-itself" },
    { serving::ConfigReader::Confirmed, "confirmed" },
  } };
};

} // namespace savoryrill
