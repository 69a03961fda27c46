#pragma once

#include "base/types/eventdefinition.h"

namespace savoryrill::admin {

inline constexpr EventDefinition kOperatorTokenRefused{
  8001,
  Severity::Warning,
  "operator-token-refused",
  "A request to the operator port had no valid token; `address` and `path` name it."
};
inline constexpr EventDefinition kOperatorDrain{
  8002,
  Severity::Info,
  "operator-drain",
  "An operator asked this process to stop gracefully; `address` names the sender."
};

} // namespace savoryrill::admin
