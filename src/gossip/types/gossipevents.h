#pragma once

#include "base/types/eventdefinition.h"

namespace savoryrill::gossip {

inline constexpr EventDefinition kControllerChosen{
  3021,
  Severity::Debug,
  "controller-chosen",
  "This process now exchanges state with this controller of `data_centre`."
};
inline constexpr EventDefinition kControllerLearnt{
  3022,
  Severity::Info,
  "controller-learnt",
  "A member entry names a controller that was not known before."
};
inline constexpr EventDefinition kControllerForgotten{
  3023,
  Severity::Info,
  "controller-forgotten",
  "A controller has left, or its member entry has expired or names another endpoint."
};

} // namespace savoryrill::gossip
