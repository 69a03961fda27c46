#pragma once

#include <array>
#include <string_view>

#include "base/types/enumnames.h"

namespace savoryrill {

enum class Severity
{
  Debug,
  Info,
  Warning,
  Error
};

template<>
struct EnumNames<Severity>
{
  static constexpr EnumTable<Severity, 4> kTable{ {
    { Severity::Debug, "debug" },
    { Severity::Info, "info" },
    { Severity::Warning, "warning" },
    { Severity::Error, "error" },
  } };
};

/// A numbered log event. Definitions are in `src/<module>/types/<module>events.h`, one
/// `inline constexpr EventDefinition` each; `scripts/check-events` compares them with
/// `docs/events.md`. Number ranges: base and daemons 1000, config 2000, state and
/// transport 3000, router 4000, controller 5000, platform 6000, upstream 7000, http 8000,
/// testing 9000.
struct EventDefinition
{
  int number;
  Severity severity;
  std::string_view name;
  std::string_view meaning;
};

} // namespace savoryrill
