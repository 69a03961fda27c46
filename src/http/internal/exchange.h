#pragma once

#include <functional>
#include <memory>
#include <string>

#include "http/server.h"

struct MHD_Connection;

namespace savoryrill::http {

enum class ResponseState
{
  None,
  Buffered,
  Streaming,
  Finished,
  Aborted
};

struct ExchangeCore;

/// Interface of the server for use by its exchanges.
class IExchangeOwner
{
public:
  /// Resumes the exchange's connection if it is suspended. Called after a change of the
  /// response.
  virtual void resume(ExchangeCore& aCore) = 0;

protected:
  ~IExchangeOwner() = default;
};

/// State of one request, shared by the server and the handler's `Exchange`.
struct ExchangeCore
{
  // Null once the server has been destroyed or the exchange has ended.
  IExchangeOwner* owner = nullptr;
  MHD_Connection* connection = nullptr;
  int fd = -1;
  Request request;
  bool oversize = false;
  bool passedToHandler = false;
  bool suspended = false;
  bool responseQueued = false; // the response has been handed to libmicrohttpd
  // The caller has disconnected, the handler has dropped the exchange or the server is
  // being destroyed.
  bool callerGone = false;
  bool closed = false;
  ResponseState state = ResponseState::None;
  Response response;
  std::string buffer; // stream data not yet passed to libmicrohttpd
  std::function<void(bool)> onClosed;
};

/// Creates the handler's interface to an exchange. Not thread safe.
std::shared_ptr<Exchange>
makeExchange(std::shared_ptr<ExchangeCore> aCore);

} // namespace savoryrill::http
