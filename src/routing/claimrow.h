#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/result.h"
#include "base/types/enumnames.h"

namespace savoryrill::routing {

enum class ClaimState
{
  Claimed, // an attempt owns the key; it may have been dispatched
  Done,    // the outcome is recorded
  Failed   // dispatched, and the outcome will never be known
};

/// The response to a request that must not be executed twice, as duplicates receive it.
struct RecordedOutcome
{
  int status = 0;
  std::string contentType;
  std::string body;   // unless `object` is set
  std::string object; // key in the object store, for bodies that do not fit the row
  auto operator<=>(const RecordedOutcome&) const = default;
};

/// Content of `claim/<caller>/<key>`.
struct ClaimRow
{
  std::string attempt; // owner of the key; unique over routers and their restarts
  std::string requestDigest;
  ClaimState state = ClaimState::Claimed;
  RecordedOutcome outcome; // set in state Done
  auto operator<=>(const ClaimRow&) const = default;
};

/// Returns the row key `claim/<caller>/<key>`. Precondition: the caller id contains no
/// slash, so that two callers cannot share a row. Thread safe.
std::string
claimKey(std::string_view aCaller, std::string_view aKey);

/// Returns the row as JSON text. Precondition: a body in the row is UTF-8. Thread safe.
std::string
serialise(const ClaimRow& aRow);

/// Parses the value of a row. Fails with Malformed if it is not a claim row as written by
/// `serialise`. Thread safe.
Result<ClaimRow>
parseClaimRow(std::string_view aValue);

} // namespace savoryrill::routing

namespace savoryrill {

template<>
struct EnumNames<routing::ClaimState>
{
  static constexpr EnumTable<routing::ClaimState, 3> kTable{ {
    { routing::ClaimState::Claimed, "claimed" },
    { routing::ClaimState::Done, "done" },
    { routing::ClaimState::Failed, "failed" },
  } };
};

} // namespace savoryrill
