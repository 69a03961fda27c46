#pragma once

#include <cstdint>
#include <optional>

#include "base/types/time.h"

namespace savoryrill::serving {

/// The part of the quotas that an issuing host may issue, so that all hosts together stay
/// within the quotas: others may be connected to another issuer, or to none, in which
/// case they use `QuotaLedger::kUsedShare` of their equal shares. Not thread safe; no
/// I/O.
class QuotaShare
{
public:
  /// Time for which a number of hosts counts after it was seen last. Hosts that are cut
  /// off use a part of the quotas for as long as that lasts; hosts that have ended cost
  /// the others little, since most organisations use half of their quotas.
  static constexpr Duration kMemory = std::chrono::minutes(10);
  /// Time after which hosts that are missing at a leader have no other issuer that issues
  /// their whole share.
  static constexpr Duration kMissingTime = 30s;
  /// Time for which a former leader, which cannot reach the store, issues the whole share
  /// of the hosts that are connected to it. Less than `kMissingTime`.
  static constexpr Duration kFormerLeaderTime = 25s;
  /// Time after which the hosts that a new leader can reach have connected to it, if no
  /// earlier leader has stated their number. It goes on assuming
  /// `QuotaLedger::kUnknownHostCount` hosts for `kMemory`, since those that it has not
  /// seen may run and use a share of their own.
  static constexpr Duration kSettlingTime = 3s;

  /// `aKeyBound`: time for which hosts accept keys without a confirmation of the
  /// configuration; zero: no bound. Load pattern: a third of the hosts, with the leader
  /// among them, loses the store for seconds, and its callers go to the others. Hosts
  /// that reach neither the store nor a leader that reaches it refuse requests with keys
  /// after the bound and spend nothing, so that `kMissingTime` and `kFormerLeaderTime`
  /// end with it.
  explicit QuotaShare(Duration aKeyBound)
    : mKeyBound(aKeyBound)
  {
  }
  /// Without a bound.
  QuotaShare()
    : QuotaShare(Duration::zero())
  {
  }

  /// Records how many hosts exchange demand at this moment. `aStated`: another host that
  /// leads has said so.
  void record(std::uint32_t aCount, bool aStated, Instant aNow);
  /// States whether this host leads.
  void setLeading(bool aLeading, Instant aNow);

  /// Hosts that share the quotas; 0: unknown.
  std::uint32_t hostCount() const { return mCount; }

  /// The part, from 0 to 1, that this host may issue to `aServed` hosts, which include
  /// itself. Call it regularly while this host issues.
  double of(std::uint32_t aServed, Instant aNow);

private:
  double ofFormerLeader(std::uint32_t aServed, bool aKnown, Instant aNow) const;

  Duration bounded(Duration aTime) const;

  Duration mKeyBound;
  std::uint32_t mCount = 0;
  Instant mCountSeen{};
  bool mStated = false;
  bool mLeading = false;
  std::optional<Instant> mLeadingChanged;
  std::optional<Instant> mFirstLed;
  std::optional<Instant> mMissingSince; // some of the hosts
};

} // namespace savoryrill::serving
