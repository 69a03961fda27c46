#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/eventlog.h"
#include "base/metrics.h"
#include "event/loop.h"
#include "http/server.h"
#include "router/types/messages.h"

namespace savoryrill::router {

struct CallerTaskOptions
{
  http::ServerOptions server;
  std::string idPrefix; // makes request ids unique across processes and restarts
  /// Maximum of unsent bytes of one streamed response; a caller that reads so slowly that
  /// it is exceeded is disconnected.
  std::size_t maxUnsentBytes = 256 * 1024;
};

/// Owns the callers' connections: validates requests, passes valid ones to the dispatch
/// task and sends the responses that it receives from there. Not thread safe.
class CallerTask
{
public:
  using Dispatch = event::Mailbox<DispatchMessage>;

  /// Fails with Unavailable if the address cannot be bound. Preconditions: all references
  /// outlive the result.
  static Result<std::unique_ptr<CallerTask>> create(event::Loop& aLoop,
                                                    CallerTaskOptions aOptions,
                                                    Dispatch& aDispatch,
                                                    EventLog& aLog,
                                                    Metrics& aMetrics);

  /// Handles a message.
  void handle(const CallerMessage& aMessage);

  std::uint16_t port() const { return mServer->port(); }

  /// Stops accepting connections; those in progress go on.
  void stopAccepting() { mServer->stopAccepting(); }

  /// Exchanges whose responses have not been sent completely.
  std::size_t openExchanges() const { return mServer->activeExchanges(); }

private:
  using ExchangePtr = std::shared_ptr<http::Exchange>;

  CallerTask(event::Loop& aLoop,
             CallerTaskOptions aOptions,
             Dispatch& aDispatch,
             EventLog& aLog,
             Metrics& aMetrics);

  void receive(const ExchangePtr& aExchange);
  void refuse(http::Exchange& aExchange,
              const routing::Refusal& aRefusal,
              const std::string& aId);
  ExchangePtr find(std::uint64_t aRequest) const;

  void on(const ConfigurationAdopted& aMessage);
  void on(const SendResponse& aMessage);
  void on(const StartResponseStream& aMessage);
  void on(const SendStreamData& aMessage);
  void on(const EndResponseStream& aMessage);

  event::Loop& mLoop;
  CallerTaskOptions mOptions;
  Dispatch& mDispatch;
  EventLog& mLog;
  Metrics& mMetrics;
  ConfigurationPtr mConfiguration;
  std::uint64_t mLastNumber = 0;
  std::map<std::uint64_t, ExchangePtr> mExchanges;
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
  std::unique_ptr<http::Server> mServer; // last, so that it is destroyed first
};

} // namespace savoryrill::router
