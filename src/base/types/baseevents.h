#pragma once

#include "base/types/eventdefinition.h"

namespace savoryrill {

inline constexpr EventDefinition kProcessStarted{
  1001,
  Severity::Info,
  "process-started",
  "A daemon has read its settings and is starting."
};
inline constexpr EventDefinition kProcessStopped{
  1002,
  Severity::Info,
  "process-stopped",
  "A daemon is about to exit; `reason` states why."
};
inline constexpr EventDefinition kDrainStarted{ 1003,
                                                Severity::Info,
                                                "drain-started",
                                                "A graceful shutdown has begun." };
inline constexpr EventDefinition kSettingsReloaded{
  1004,
  Severity::Info,
  "settings-reloaded",
  "The settings file was read again; `changed` states whether any setting differs."
};
inline constexpr EventDefinition kLinesDropped{
  1005,
  Severity::Warning,
  "log-lines-dropped",
  "Log lines were dropped because their reader is slow or their rate exceeds the limit."
};

} // namespace savoryrill
