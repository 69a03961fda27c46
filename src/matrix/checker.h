#pragma once

#include <vector>

#include "base/types/time.h"
#include "matrix/types/evidence.h"
#include "matrix/types/promise.h"

namespace savoryrill::matrix {

/// Time that an answer may take beyond the request's deadline: the way back through a
/// router and a caller that share a busy machine with up to three whole systems.
inline constexpr Duration kAnswerGrace = 2s;

/// P7's "a few seconds".
inline constexpr Duration kLeavingLimit = 3s;

/// Requirement 1.7: a configuration is in force everywhere within 5 s.
inline constexpr Duration kSpreadLimit = 5s;

// Each returns the violations of one promise. Pure and thread safe.

/// P1: replicas loaded or loading at once, at every moment, against `maxReplicas`; a
/// model without a limit there may not be loaded at all.
std::vector<Violation>
checkReplicaLimit(const Evidence& aEvidence);

/// P2: the sum of what each engine holds against its memory.
std::vector<Violation>
checkMemory(const Evidence& aEvidence);

/// P3: each request ended with an answer or an explicit refusal by its deadline plus
/// `kAnswerGrace`, unless its router was out.
std::vector<Violation>
checkTimelyAnswers(const Evidence& aEvidence);

/// P4: whole answers belong to the request and were made by an upstream; streams end with
/// their terminator or an explicit error.
std::vector<Violation>
checkCompleteAnswers(const Evidence& aEvidence);

/// P5: what was refused as not run was begun by no upstream.
std::vector<Violation>
checkTrueRefusals(const Evidence& aEvidence);

/// P6: at most one run of each booking, over all services.
std::vector<Violation>
checkAtMostOnce(const Evidence& aEvidence);

/// P7: no request or load reaches a leaving upstream after `kLeavingLimit`.
std::vector<Violation>
checkLeavingUpstreams(const Evidence& aEvidence);

/// P8: a stop has exit status 0 and no request in progress was cut or refused for it
/// before its own deadline.
std::vector<Violation>
checkGracefulStop(const Evidence& aEvidence);

/// P9: versions never fall, and each process that is not out has a committed version
/// within `kSpreadLimit`. A process that was not seen to have it counts as not having it.
std::vector<Violation>
checkConfiguration(const Evidence& aEvidence);

/// All of the above.
std::vector<Violation>
checkAll(const Evidence& aEvidence);

} // namespace savoryrill::matrix
