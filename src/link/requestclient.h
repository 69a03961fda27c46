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

/// A request whose response is small enough to be buffered. It is sent at most once; this
/// module never retries.
struct BufferedRequest
{
  std::string key; // pool key; names the upstream incarnation or service
  Endpoint endpoint;
  std::string request; // serialised
  Duration timeout = 1s;
  std::size_t maxConnections = 4;               // open connections of the key
  std::size_t maxBodyBytes = 4UL * 1024 * 1024; // a larger response fails the request
  /// Called right before the first byte is sent; if it returns false, the request fails
  /// with Unavailable. Empty: always permitted.
  std::function<bool()> isPermitted;
};

/// Sends requests over pooled connections and buffers their responses. Errors:
/// Unavailable (no byte was sent), OutcomeUnknown (bytes were sent and no usable response
/// arrived), LimitExceeded (the response is too large). Not thread safe.
class RequestClient
{
public:
  using Done = std::function<void(Result<BufferedResponse>)>;

  RequestClient(event::Loop& aLoop, OutboundPool& aPool);
  ~RequestClient();
  RequestClient(const RequestClient&) = delete;
  RequestClient& operator=(const RequestClient&) = delete;

  /// Starts a request. `aDone` runs once, in a later iteration of the loop, unless the
  /// request is cancelled or the client is destroyed first. A request that exceeds its
  /// timeout resets its connection, so that bytes still in transit are dropped.
  void start(BufferedRequest aRequest, Done aDone);

  /// Cancels all requests with a key; their completions do not run.
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
