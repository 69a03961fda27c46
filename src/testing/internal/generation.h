#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "event/loop.h"
#include "http/server.h"

namespace savoryrill::testing {

enum class GenerationState
{
  Waiting,
  Running,
  Finished
};

/// One inference request at the engine stand-in.
struct Generation
{
  std::string id;       // X-Request-Id
  std::string loadable; // deployment@version
  std::string adapter;  // empty: none
  std::string prompt;   // for chat, the contents of all messages, one a line
  std::uint64_t prefix = 0;
  bool chat = false;
  bool stream = false;
  std::uint32_t maxTokens = 0;
  int priority = 0; // higher first

  GenerationState state = GenerationState::Waiting;
  std::uint64_t arrival = 0;
  std::uint32_t produced = 0; // tokens
  Instant prefillUntil;
  bool prefilled = false; // imported with its KV cache

  std::shared_ptr<http::Exchange> exchange; // null while no caller is connected
  std::uint64_t attachment = 0;             // number of the current connection
  std::uint32_t sent = 0;                   // events handed to the connection
  std::uint32_t sentOnConnection = 0;
  event::Watch expiry; // grace after a disconnect, or retention after the end
};

using GenerationPtr = std::shared_ptr<Generation>;

/// `deployment@version` or `deployment@version+adapter`. Thread safe.
inline std::string
modelName(const Generation& aGeneration)
{
  const std::string suffix = aGeneration.adapter.empty() ? "" : "+" + aGeneration.adapter;
  return aGeneration.loadable + suffix;
}

} // namespace savoryrill::testing
