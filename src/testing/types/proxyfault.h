#pragma once

#include <cstdint>
#include <string>

#include "base/types/enumnames.h"
#include "base/types/time.h"

namespace savoryrill::testing {

enum class FaultKind
{
  Pass,
  Refuse,    // new connections are refused, existing ones go on
  Cut,       // existing and new connections are reset
  Blackhole, // connections are accepted and stall
  Reset,     // connections are reset after a number of bytes
  Truncate,  // the answer is cut after a number of bytes, then the connection closes
  LoseAnswer // the target gets the request; the connection closes at its answer
};

enum class Direction
{
  Both,
  ToTarget,
  ToCaller
};

/// What a route of the fault proxy does. `delay` applies to each piece of data in both
/// directions, with every kind.
struct ProxyFault
{
  FaultKind kind = FaultKind::Pass;
  Direction direction = Direction::Both; // of Blackhole
  std::uint64_t afterBytes = 0;          // of Reset (both directions) and Truncate
  Duration delay = Duration::zero();
  /// The route passes again after this number of connections has been reset, truncated or
  /// has lost an answer; 0: no limit.
  std::uint64_t count = 0;
};

/// A listen address and the target that its connections are forwarded to.
struct ProxyRoute
{
  std::string name;
  std::string listenAddress; // numeric
  std::uint16_t listenPort = 0;
  std::string targetAddress; // numeric
  std::uint16_t targetPort = 0;
};

} // namespace savoryrill::testing

namespace savoryrill {

template<>
struct EnumNames<testing::FaultKind>
{
  static constexpr EnumTable<testing::FaultKind, 7> kTable{ {
    { testing::FaultKind::Pass, "pass" },
    { testing::FaultKind::Refuse, "refuse" },
    { testing::FaultKind::Cut, "cut" },
    { testing::FaultKind::Blackhole, "blackhole" },
    { testing::FaultKind::Reset, "reset" },
    { testing::FaultKind::Truncate, "truncate" },
    { testing::FaultKind::LoseAnswer, "lose_answer" },
  } };
};

template<>
struct EnumNames<testing::Direction>
{
  static constexpr EnumTable<testing::Direction, 3> kTable{ {
    { testing::Direction::Both, "both" },
    { testing::Direction::ToTarget, "to_target" },
    { testing::Direction::ToCaller, "to_caller" },
  } };
};

} // namespace savoryrill
