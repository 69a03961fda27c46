#pragma once

#include <functional>
#include <memory>
#include <string>
#include <unordered_set>

#include "base/result.h"
#include "event/loop.h"
#include "link/outbound.h"

namespace savoryrill::link {

/// A response whose body has arrived in full.
struct WholeResponse
{
  ResponseHead head;
  std::string body;
};

/// A call with a small response, made once and never repeated by this module.
struct WholeCall
{
  std::string key; // of the pool; names the upstream incarnation or service
  Endpoint endpoint;
  std::string request; // serialised
  Duration timeout = 1s;
  std::size_t mostOpen = 4;                     // connections of the key
  std::size_t maxBodyBytes = 4UL * 1024 * 1024; // a larger response fails the call
  /// Asked right before the first byte leaves; false fails the call with Unavailable.
  /// Empty: always allowed.
  std::function<bool()> allowed;
};

/// Runs calls over a pool. Errors: Unavailable (no byte was sent), OutcomeUnknown (it was
/// sent and has no usable response), LimitExceeded (response too large). Not thread safe.
class CallSet
{
public:
  using Done = std::function<void(Result<WholeResponse>)>;

  CallSet(event::Loop& aLoop, OutboundPool& aPool);
  ~CallSet();
  CallSet(const CallSet&) = delete;
  CallSet& operator=(const CallSet&) = delete;

  /// Starts a call; `aDone` runs once, in a later iteration of the loop, unless the set
  /// is destroyed first. A call that exceeds its timeout resets its connection, so that
  /// bytes held up on the way are dropped.
  void start(WholeCall aCall, Done aDone);

  /// Ends all calls with a key; their completions do not run.
  void cancel(const std::string& aKey);

private:
  class Running;
  void remove(Running* aCall);

  event::Loop& mLoop;
  OutboundPool& mPool;
  std::unordered_set<std::shared_ptr<Running>> mRunning;
};

/// Serialises a request with a JSON body; without a body if `aBody` is empty. Thread
/// safe.
std::string
jsonRequest(std::string_view aMethod,
            std::string_view aTarget,
            const Endpoint& aEndpoint,
            std::string_view aBody,
            const HeaderList& aHeaders = {});

} // namespace savoryrill::link
