#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/types/enumnames.h"
#include "base/types/time.h"
#include "serving/types/promptevidence.h"

namespace savoryrill::serving {

/// Finds prompt parts that crash the upstreams that begin to answer them, and keeps
/// requests with such a part away from upstreams for a while.
///
/// A part is quarantined after several crashes of upstreams that had a request with it,
/// if no request with it was served in between. Hosts exchange what they know, since each
/// of them sees only some of the crashes, and a part that any host has served is cleared.
/// When a quarantine ends, one request at a time is let through: if its upstream crashes,
/// a longer quarantine follows; if it is served, the part is cleared.
///
/// Parts that came in the same crashes are quarantined together, as suspects of which one
/// is the cause. A request with all of them is refused. Requests with some of them are
/// let through one at a time: one that is served clears the parts that it has, and one
/// whose upstream crashes shows that the cause is among them. Which parts are suspected
/// in place of each other follows from their crashes, so hosts and rows that have the
/// crashes need nothing else. See docs/design/prompt-quarantine.md.
///
/// The evidence is merged like a set, so hosts may receive it in any order and more than
/// once. All memory is bounded. Not thread safe; no I/O.
class PromptQuarantine
{
public:
  /// `aExpirySpread`, from 0 to 1, differs between hosts, so that they do not all let a
  /// request through at the same time when a quarantine ends.
  explicit PromptQuarantine(double aExpirySpread)
    : mExpirySpread(aExpirySpread)
  {
  }

  /// A request that an upstream had not begun to answer when it crashed.
  struct BrokenRequest
  {
    std::string id;
    std::string model;
    std::vector<std::string> parts; // in the order of the prompt
  };

  /// Records the crash of `aUpstream`, which names one incarnation, at `aCrashed`, and
  /// all requests that this host knows to have broken in it: what is decided depends on
  /// all of them. Returns the evidence that other hosts need. Precondition: `aCrashed` <=
  /// `aNow`.
  std::vector<PartEvidence> recordCrash(const std::string& aUpstream,
                                        const std::vector<BrokenRequest>& aRequests,
                                        Instant aCrashed,
                                        Instant aNow);

  /// Records that an upstream has answered a request with these parts without crashing.
  /// Returns the evidence that other hosts need.
  std::vector<PartEvidence> recordServed(const std::vector<std::string>& aParts,
                                         Instant aNow);

  /// Evidence of another host merged into that of this host.
  struct MergeResult
  {
    std::vector<PartEvidence> changed; // was new here, and may be to others
    std::vector<PartEvidence> newer;   // what this host knows and the sender does not
  };
  MergeResult merge(const std::vector<PartEvidence>& aEvidence, Instant aNow);

  /// Why a request must not be sent.
  struct Refusal
  {
    std::string part;
    /// Until a request with the part may be let through; if undecided, until that is
    /// likely.
    Duration remaining{};
    /// Another request is or will soon be on its way, whose result may clear the part.
    bool undecided = false;
  };

  /// Decides whether a request may be sent; nullopt if it may. Lets through one request
  /// at a time if the request tells suspects apart, or after a quarantine has ended. May
  /// be called again for a request.
  std::optional<Refusal> check(const std::string& aRequest,
                               const std::vector<std::string>& aParts,
                               Instant aNow);
  /// True if `aRequest` was let through for its result, and has not been released.
  bool isProbe(const std::string& aRequest) const { return mProbes.contains(aRequest); }
  /// The suspects for whose sake `aRequest` was let through; empty for other requests.
  std::vector<std::string> probedBy(const std::string& aRequest) const;
  /// A request that was let through was not sent, has ended, or its result is known, so
  /// that another one may be let through. Does nothing for other requests.
  void releaseProbe(const std::string& aRequest);

  /// Everything worth telling a host that knows nothing.
  std::vector<PartEvidence> evidence(Instant aNow) const;
  /// The part of `evidence` that must outlast all hosts: parts in quarantine or shortly
  /// after one.
  std::vector<PartEvidence> quarantined(Instant aNow) const;

  /// A change that the log should explain.
  struct Decision
  {
    enum class Kind
    {
      Quarantined,
      Served, // a request with the part was served, so it is no longer suspected
      Expired // the evidence is too old
    };
    Kind kind = Kind::Quarantined;
    std::string part;
    std::vector<UpstreamCrash> crashes; // that decided it
    Duration time{};                    // for which it is quarantined
    /// Another part that was in some of the crashes, and so may have caused them instead.
    struct Rival
    {
      std::string part;
      std::size_t sharedCrashes = 0;
      std::uint32_t position = 0;            // in the prompts, the highest one
      std::optional<Duration> sinceServed{}; // nullopt: not known to have been served
    };
    std::vector<Rival> rivals; // of a part that is quarantined
  };
  /// Returns the decisions since the last call, oldest first.
  std::vector<Decision> takeDecisions();

  /// Drops evidence that is too old. Call it every few seconds.
  void expire(Instant aNow);

private:
  struct Part
  {
    PartEvidence evidence;
    // The request that was let through, and when the next one may be.
    std::optional<std::string> probe;
    Instant probeUntil{};
  };
  using Parts = std::map<std::string, Part>;

  std::optional<Instant> lastServed(const std::string& aPart) const;
  Part& partFor(const std::string& aPart, Instant aNow);
  Instant endOfQuarantine(const PartEvidence& aEvidence) const;
  bool inQuarantine(const PartEvidence& aEvidence, Instant aNow) const;
  /// True for a time after a quarantine, in which one request at a time is let through.
  bool isHalfOpen(const PartEvidence& aEvidence, Instant aNow) const;
  bool isOutdated(const PartEvidence& aEvidence, Instant aNow) const;
  /// Parts in quarantine, or shortly after one, that may have caused the crashes of
  /// `aPart` in its place.
  std::vector<const PartEvidence*> alternatives(const PartEvidence& aPart,
                                                Instant aNow) const;
  /// True if `aOther` is in quarantine and crashes that both parts share say nothing
  /// against `aEvidence`.
  bool explains(const PartEvidence& aOther,
                const PartEvidence& aEvidence,
                Instant aNow) const;
  /// True if a part in quarantine explains the crash, and `aPart` is no suspect.
  bool isExplained(const std::string& aUpstream,
                   const std::string& aPart,
                   Instant aNow) const;
  /// The crashes that no part in quarantine explains.
  std::vector<UpstreamCrash> unexplainedCrashes(const PartEvidence& aEvidence,
                                                Instant aNow) const;
  /// True if the crashes suffice for a quarantine.
  bool hasEnoughEvidence(const PartEvidence& aEvidence, Instant aNow) const;
  std::vector<Decision::Rival> rivalsOf(const PartEvidence& aEvidence,
                                        Instant aNow) const;
  void quarantine(Part& aPart, Instant aNow);
  /// Quarantines all parts against which there is enough evidence; returns their names.
  std::vector<std::string> decide(Instant aNow);
  /// Draws the conclusions from new evidence against `aChanged`, and adds to it the parts
  /// that are quarantined.
  void conclude(std::set<std::string>& aChanged, Instant aNow);
  /// Drops the crashes that a quarantined part explains from the evidence against others.
  void dropExplainedCrashes(const PartEvidence& aQuarantined, Instant aNow);
  /// When the next request with a suspect may be let through, if none is on its way.
  Instant nextProbe(const PartEvidence& aEvidence) const;
  /// Applies that a request with the part was served; true if that clears evidence.
  bool applyServed(const std::string& aPart, Instant aServed);
  /// Merges crashes and quarantine; true if something is new.
  bool mergeSuspicion(const PartEvidence& aEvidence, Instant aNow);
  void rememberServed(const std::string& aPart, Instant aServed, Instant aNow);
  /// Forgets the half of the served parts that were served longest ago.
  void dropLongestUnserved();
  void makeRoom(Instant aNow);

  double mExpirySpread;
  Parts mParts;                                     // with evidence against them
  std::unordered_map<std::string, Instant> mServed; // when each part was last served
  std::set<std::string> mProbes; // ids of requests; each part knows its own one
  std::vector<Decision> mDecisions;
};

} // namespace savoryrill::serving

namespace savoryrill {

template<>
struct EnumNames<serving::PromptQuarantine::Decision::Kind>
{
  using Kind = serving::PromptQuarantine::Decision::Kind;
  static constexpr EnumTable<Kind, 3> kTable{ {
    { Kind::Quarantined, "quarantined" },
    { Kind::Served, "served" },
    { Kind::Expired, "expired" },
  } };
};

} // namespace savoryrill
