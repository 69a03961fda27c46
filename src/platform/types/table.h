#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/types/enumnames.h"
#include "base/types/time.h"

namespace savoryrill::platform {

/// A row of the table store. `version` grows with each write of the row, also across
/// deletions, and is never reused.
struct Row
{
  std::string key;
  std::uint64_t version = 0;
  std::string value;
};

/// Condition that a row has this version at commit. 0: the row must be absent.
struct RowCheck
{
  std::string key;
  std::uint64_t version = 0;
};

/// Writes a row, or deletes it if there is no value. `timeToLive` 0: the row does not
/// expire.
struct RowWrite
{
  std::string key;
  std::optional<std::string> value;
  Duration timeToLive = Duration::zero();
};

/// Applies all writes atomically if all checks hold, else nothing.
struct Transaction
{
  std::vector<RowCheck> checks;
  std::vector<RowWrite> writes;
};

/// Response of the table store to a transaction. If the response is lost, there is no
/// `TransactionOutcome` but an error with code OutcomeUnknown.
struct TransactionOutcome
{
  bool committed = false;
  std::map<std::string, std::uint64_t> versions;  // new versions, if committed
  std::map<std::string, std::uint64_t> conflicts; // actual versions of failed checks
};

enum class HostState
{
  Live,
  Leaving
};

/// An entry of the platform's host list, which is updated with a delay. `name` refers to
/// an entry host or an upstream.
struct HostEntry
{
  std::string name;
  std::string dataCentre;
  HostState state = HostState::Live;
};

} // namespace savoryrill::platform

namespace savoryrill {

template<>
struct EnumNames<platform::HostState>
{
  static constexpr EnumTable<platform::HostState, 2> kTable{ {
    { platform::HostState::Live, "live" },
    { platform::HostState::Leaving, "leaving" },
  } };
};

} // namespace savoryrill
