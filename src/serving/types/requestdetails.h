#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/types/enumnames.h"
#include "base/types/time.h"
#include "serving/types/servingconfig.h"
#include "serving/types/upstreamentry.h"

namespace savoryrill::serving {

/// What a caller states about a request, apart from its body.
struct RequestDetails
{
  std::string id; // unique among the requests of a caller
  std::optional<Duration> deadline;
  ModelKey model; // empty for plain services
  std::uint32_t promptTokens = 0;
  std::uint32_t outputTokens = 0; // maximum to generate
  std::string sharedPrefix;       // identifies a prompt prefix that other requests share
  /// Ids of the prompt's parts that other requests may share, in order.
  std::vector<std::string> sharedParts;
  std::string resumeAfter; // id of the caller's last event, empty: from the start
  std::string key;         // of the caller; empty: none. Never logged
};

/// Why a request ended without a usable response from an upstream.
enum class RefusalReason
{
  NoConfiguration,
  NoRoute,
  BadRequest,
  NoUpstream,     // no upstream of the group can run it in time
  ModelNotInTime, // its model cannot be loaded before the deadline
  NoLeader,       // its model is not loaded, and there is no leader to order the load
  QueueFull,
  Overloaded,     // the backlog of its model takes longer than its objective
  DeadlinePassed, // it waited until the deadline or the route's timeout
  Stopping,
  OutcomeUnknown,     // it was sent to an upstream and may have run
  UpstreamFailed,     // the upstream's response was unusable
  PromptQuarantined,  // a part of its prompt crashes upstreams
  UpstreamsNotTaking, // all upstreams that could run it want no request from this host
                      // before its deadline
  MissingKey,         // its route needs a key
  UnknownKey,         // its key belongs to no organisation
  KeyMoved,           // its key has moved to another organisation while it waited
  Unconfirmed,        // this host's configuration, and so its keys, may be outdated
  QuotaExceeded,      // the quota of its organisation is used up
  MemoryShort         // this host needed its memory for other requests
};

} // namespace savoryrill::serving

namespace savoryrill {

template<>
struct EnumNames<serving::RefusalReason>
{
  static constexpr EnumTable<serving::RefusalReason, 20> kTable{ {
    { serving::RefusalReason::NoConfiguration, "no-configuration" },
    { serving::RefusalReason::NoRoute, "no-route" },
    { serving::RefusalReason::BadRequest, "bad-request" },
    { serving::RefusalReason::NoUpstream, "no-upstream" },
    { serving::RefusalReason::ModelNotInTime, "model-not-in-time" },
    { serving::RefusalReason::NoLeader, "no-leader" },
    { serving::RefusalReason::QueueFull, "queue-full" },
    { serving::RefusalReason::Overloaded, "overloaded" },
    { serving::RefusalReason::DeadlinePassed, "deadline-passed" },
    { serving::RefusalReason::Stopping, "stopping" },
    { serving::RefusalReason::OutcomeUnknown, "outcome-unknown" },
    { serving::RefusalReason::UpstreamFailed, "upstream-failed" },
    { serving::RefusalReason::PromptQuarantined, "prompt-quarantined" },
    { serving::RefusalReason::UpstreamsNotTaking, "upstreams-not-taking" },
    { serving::RefusalReason::MissingKey, "missing-key" },
    { serving::RefusalReason::UnknownKey, "unknown-key" },
    { serving::RefusalReason::KeyMoved, "key-moved" },
    { serving::RefusalReason::Unconfirmed, "unconfirmed" },
    { serving::RefusalReason::QuotaExceeded, "quota-exceeded" },
    { serving::RefusalReason::MemoryShort, "memory-short" },
  } };
};

} // namespace savoryrill
