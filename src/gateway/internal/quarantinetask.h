#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/eventlog.h"
#include "base/metrics.h"
#include "event/loop.h"
#include "gateway/irowstore.h"
#include "link/connectioncheck.h"
#include "serving/promptquarantine.h"
#include "serving/types/upstreamentry.h"

namespace savoryrill::gateway {

/// Keeps requests away from upstreams if a part of their prompt crashes them. Decides
/// with the other hosts (`serving::PromptQuarantine`), finds out whether an upstream that
/// broke off has crashed, and keeps quarantined parts in a row of the store. The leader
/// of placement writes the row; a host reads it at its start, and regularly while it has
/// no connection to a leader, since it may then be cut off from all other hosts. Not
/// thread safe.
class QuarantineTask
{
public:
  struct Dependencies
  {
    event::Loop& loop;
    EventLog& log;
    Metrics& metrics;
    IRowStore& store;
  };
  using Evidence = std::vector<serving::PartEvidence>;
  /// Sends evidence to all hosts that this one is connected with.
  using Share = std::function<void(const Evidence&)>;

  /// `aSeed` makes hosts end a quarantine at different times.
  QuarantineTask(Dependencies aDependencies, std::uint64_t aSeed);

  void setShare(Share aShare) { mShare = std::move(aShare); }
  /// Begins to read the row.
  void start();
  /// Whether this host leads, and so writes the row.
  void setLeading(bool aLeading);
  /// The store has come back from a copy, which may hold an earlier row or none.
  void storeRestored();
  /// Whether this host leads or is connected with the leader.
  void setLeaderContact(bool aContact) { mLeaderContact = aContact; }

  /// What the end of a connection says about the response.
  enum class Response
  {
    BrokenOff,
    PossiblyComplete // it has neither a length nor chunks, and ends with its connection
  };
  /// A connection ended after a request had been sent and before its upstream had
  /// evidently survived the beginning of the response. Finds out whether it has crashed.
  void connectionEnded(const serving::UpstreamEntry& aUpstream,
                       serving::PromptQuarantine::BrokenRequest aRequest,
                       Response aResponse);
  /// An upstream answers a request, and has not crashed by it.
  void requestServed(const std::vector<std::string>& aParts);
  /// See `serving::PromptQuarantine::check`.
  std::optional<serving::PromptQuarantine::Refusal> check(
    const std::string& aRequest,
    const std::vector<std::string>& aParts);
  /// Logs and counts the request if it is one whose result decides about prompt parts.
  void requestSent(const std::string& aRequest, const std::string& aUpstream);
  /// The request has ended, or has to wait again, and may be sent no sooner than after
  /// another `check`.
  void requestEnded(const std::string& aRequest);

  /// What a newly connected host should know.
  Evidence evidence() const;
  /// Applies evidence of another host; the result says what to send on.
  serving::PromptQuarantine::MergeResult merge(const Evidence& aEvidence);

private:
  struct Suspect
  {
    serving::PromptQuarantine::BrokenRequest request;
    Response response = Response::BrokenOff;
  };
  struct Suspects
  {
    std::vector<Suspect> requests;
    bool checking = false;
    Instant firstBroken{};          // of the requests above
    std::optional<Instant> crashed; // when its connections broke, once confirmed
    Instant last{};                 // request that broke
  };
  void upstreamChecked(const std::string& aUpstream, link::Reachability aResult);
  using BrokenRequests = std::vector<serving::PromptQuarantine::BrokenRequest>;
  void recordCrash(const std::string& aUpstream,
                   const BrokenRequests& aRequests,
                   Instant aCrashed);
  void changed(const Evidence& aEvidence);
  void logDecisions();
  void tick();
  void readRow();
  void writeRow();
  /// Logs the first failed call of an outage.
  void recordStoreResult(const char* aStep, const Error* aError);

  Dependencies mDependencies;
  serving::PromptQuarantine mQuarantine;
  link::ConnectionChecker mChecker;
  Share mShare;
  std::map<std::string, Suspects> mSuspects; // by incarnation of an upstream
  event::Watch mTimer;
  bool mLeading = false;
  bool mLeaderContact = true;
  Instant mLastRead{}; // when the last read of the row began
  bool mCallInProgress = false;
  bool mRowKnown = false; // its version is that of the last read or write
  bool mRowRead = false;  // since the start
  bool mRowOutdated = false;
  bool mCallFailed = false; // the latest one; logged once per outage
  std::uint64_t mRowVersion = 0;
};

} // namespace savoryrill::gateway
