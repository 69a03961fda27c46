#pragma once

#include <functional>
#include <memory>
#include <string>
#include <unordered_set>

#include "base/result.h"
#include "event/loop.h"
#include "link/outboundconnection.h"

namespace savoryrill::link {

/// A response whose body has arrived in full.
struct BufferedResponse
{
  ResponseHead head;
  std::string body;
};

/// A request with a small response, made once and never repeated by this module.
struct BufferedRequest
{
  std::string key; // of the pool; names the upstream incarnation or service
  Endpoint endpoint;
  std::string request; // serialised
  Duration timeout = 1s;
  std::size_t maxConnections = 4;               // connections of the key
  std::size_t maxBodyBytes = 4UL * 1024 * 1024; // a larger response fails the request
  /// Asked right before the first byte leaves; false fails the request with Unavailable.
  /// Empty: always permitted.
  std::function<bool()> isPermitted;
};

/// Runs calls over a pool. Errors: Unavailable (no byte was sent), OutcomeUnknown (it was
/// sent and has no usable response), LimitExceeded (response too large). Not thread safe.
class RequestClient
{
public:
  using Done = std::function<void(Result<BufferedResponse>)>;

  RequestClient(event::Loop& aLoop, OutboundPool& aPool);
  ~RequestClient();
  RequestClient(const RequestClient&) = delete;
  RequestClient& operator=(const RequestClient&) = delete;

  /// Starts a request; `aDone` runs once, in a later iteration of the loop, unless the
  /// set is destroyed first. A request that exceeds its timeout resets its connection, so
  /// that bytes held up on the way are dropped.
  void start(BufferedRequest aRequest, Done aDone);

  /// Ends all calls with a key; their completions do not run.
  void cancel(const std::string& aKey);

private:
  class PendingRequest;
  void remove(PendingRequest* aRequest);

  event::Loop& mLoop;
  OutboundPool& mPool;
  std::unordered_set<std::shared_ptr<PendingRequest>> mPending;
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
