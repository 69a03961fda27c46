#include "http/internal/exchange.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <map>
#include <microhttpd.h>
#include <netinet/in.h>
#include <set>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

#include "link/messagegrammar.h"

namespace savoryrill::http {

namespace {

/// Response to an oversize body, sent by the server without calling the handler.
Response
makeBodyTooLargeResponse()
{
  return { 413,
           { { "Content-Type", "application/problem+json" } },
           R"({"type":"urn:savoryrill:problem:body-too-large",)"
           R"("title":"The request body is too large.","status":413,"ran":"no"})"
           "\n" };
}

/// Response to a request whose header lines violate the protocol. The connection is
/// closed, since it is not known where the next request begins.
Response
makeMalformedRequestResponse()
{
  return {
    400,
    { { "Content-Type", "application/problem+json" }, { "Connection", "close" } },
    R"({"type":"urn:savoryrill:problem:malformed-header",)"
    R"("title":"The request's header lines are malformed.","status":400,"ran":"no"})"
    "\n"
  };
}

constexpr Duration kSweepPeriod = 100ms;
constexpr std::size_t kStreamBlockBytes = 16 * 1024;
// Space for the read buffer in a connection's memory pool, in addition to the headers.
constexpr std::size_t kConnectionPoolExtraBytes = 8 * 1024;

struct ConnectionState
{
  int fd = -1;
  bool hasDeadline = true;
  Instant deadline;
};

class ServerImpl final
  : public Server
  , private IExchangeOwner
{
public:
  ServerImpl(event::Loop& aLoop, ServerOptions aOptions, Handler aHandler)
    : mLoop(aLoop)
    , mOptions(std::move(aOptions))
    , mHandler(std::move(aHandler))
  {
  }
  ~ServerImpl() override;

  Result<void> start();

  std::uint16_t port() const override { return mPort; }
  void stopAccepting() override;
  std::size_t activeExchanges() const override { return mExchanges.size(); }

  void resume(ExchangeCore& aCore) override;
  void scheduleRun();

private:
  static MHD_Result handleAccess(void* aSelf,
                                 MHD_Connection* aConnection,
                                 const char* aUrl,
                                 const char* aMethod,
                                 const char* aVersion,
                                 const char* aUploadData,
                                 size_t* aUploadSize,
                                 void** aContext);
  static void handleCompleted(void* aSelf,
                              MHD_Connection* aConnection,
                              void** aContext,
                              MHD_RequestTerminationCode aCode);
  static void handleConnection(void* aSelf,
                               MHD_Connection* aConnection,
                               void** aSocketContext,
                               MHD_ConnectionNotificationCode aCode);
  static void* handleUri(void* aSelf, const char* aUri, MHD_Connection* aConnection);
  static ssize_t readStream(void* aCore, uint64_t aPosition, char* aBuffer, size_t aMax);

  MHD_Result beginRequest(MHD_Connection* aConnection,
                          const char* aUrl,
                          const char* aMethod,
                          const char* aVersion,
                          void** aContext);
  MHD_Result continueRequest(const std::shared_ptr<ExchangeCore>& aCore,
                             const char* aUploadData,
                             size_t* aUploadSize);
  MHD_Result queueResponse(const std::shared_ptr<ExchangeCore>& aCore);
  MHD_Result queueBufferedResponse(MHD_Connection* aConnection,
                                   const Response& aResponse);
  void addHeaders(MHD_Response* aResponse, const Headers& aHeaders) const;
  void setDeadline(MHD_Connection* aConnection, bool aActive, Duration aTime);
  void run();
  void sweep();

  event::Loop& mLoop;
  ServerOptions mOptions;
  Handler mHandler;
  MHD_Daemon* mDaemon = nullptr;
  std::uint16_t mPort = 0;
  bool mStopping = false;
  bool mRunScheduled = false;
  event::Watch mReady;
  event::Watch mTimer;
  event::Watch mSweep;
  std::set<std::shared_ptr<ExchangeCore>> mExchanges;
  std::map<MHD_Connection*, ConnectionState> mConnections;
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

ServerImpl::~ServerImpl()
{
  *mAlive = false;
  for (const auto& core : mExchanges) {
    core->callerGone = true;
    resume(*core);
  }
  if (mDaemon != nullptr) {
    // libmicrohttpd must not be stopped while connections are suspended; MHD_run carries
    // out the resumptions requested above.
    MHD_run(mDaemon);
    MHD_stop_daemon(mDaemon);
  }
  for (const auto& core : mExchanges) {
    core->owner = nullptr;
  }
}

Result<void>
ServerImpl::start()
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(mOptions.port);
  if (inet_pton(AF_INET, mOptions.address.c_str(), &address.sin_addr) != 1) {
    return fail(ErrorCode::InvalidArgument,
                "not a numeric IPv4 address: " + mOptions.address);
  }
  const auto& limits = mOptions.limits;
  const auto idle_seconds = static_cast<unsigned>(toSeconds(limits.idleTimeout));
  mDaemon = MHD_start_daemon(MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME,
                             mOptions.port,
                             nullptr,
                             nullptr,
                             &ServerImpl::handleAccess,
                             this,
                             MHD_OPTION_SOCK_ADDR,
                             reinterpret_cast<sockaddr*>(&address),
                             MHD_OPTION_CONNECTION_LIMIT,
                             static_cast<unsigned>(limits.maxConnections),
                             MHD_OPTION_CONNECTION_MEMORY_LIMIT,
                             limits.maxHeaderBytes + kConnectionPoolExtraBytes,
                             MHD_OPTION_CONNECTION_TIMEOUT,
                             idle_seconds,
                             MHD_OPTION_NOTIFY_COMPLETED,
                             &ServerImpl::handleCompleted,
                             this,
                             MHD_OPTION_NOTIFY_CONNECTION,
                             &ServerImpl::handleConnection,
                             this,
                             MHD_OPTION_URI_LOG_CALLBACK,
                             &ServerImpl::handleUri,
                             this,
                             MHD_OPTION_END);
  if (mDaemon == nullptr) {
    return fail(ErrorCode::Unavailable,
                "cannot listen on " + mOptions.address + ":" +
                  std::to_string(mOptions.port) + ": " + std::strerror(errno));
  }
  mPort = MHD_get_daemon_info(mDaemon, MHD_DAEMON_INFO_BIND_PORT)->port;
  const int epoll_fd = MHD_get_daemon_info(mDaemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
  mReady = mLoop.watch(epoll_fd, { .readable = true }, [this](auto) { run(); });
  mSweep = mLoop.every(kSweepPeriod, [this] { sweep(); });
  return outcome::success();
}

void
ServerImpl::run()
{
  MHD_run(mDaemon);
  MHD_UNSIGNED_LONG_LONG timeout_ms = 0;
  if (MHD_get_timeout(mDaemon, &timeout_ms) != MHD_YES) {
    mTimer.reset();
    return;
  }
  if (timeout_ms == 0) {
    scheduleRun();
    return;
  }
  mTimer = mLoop.after(std::chrono::milliseconds(timeout_ms), [this] { run(); });
}

void
ServerImpl::scheduleRun()
{
  if (mRunScheduled) {
    return;
  }
  mRunScheduled = true;
  mLoop.post([this, alive = mAlive] {
    if (*alive) {
      mRunScheduled = false;
      run();
    }
  });
}

void
ServerImpl::resume(ExchangeCore& aCore)
{
  if (aCore.suspended && !aCore.closed) {
    aCore.suspended = false;
    MHD_resume_connection(aCore.connection);
    if (*mAlive) {
      scheduleRun();
    }
  }
}

void
ServerImpl::stopAccepting()
{
  if (mStopping) {
    return;
  }
  mStopping = true;
  const int listener = MHD_quiesce_daemon(mDaemon);
  if (listener >= 0) {
    ::close(listener);
  }
}

void
ServerImpl::setDeadline(MHD_Connection* aConnection, bool aActive, Duration aTime)
{
  const auto found = mConnections.find(aConnection);
  if (found != mConnections.end()) {
    found->second.hasDeadline = aActive;
    found->second.deadline = mLoop.now() + aTime;
  }
}

/// Closes connections whose request did not arrive in time, and detects callers that
/// disconnected while their connection is suspended: libmicrohttpd does not poll
/// suspended connections.
void
ServerImpl::sweep()
{
  const Instant now = mLoop.now();
  for (const auto& [connection, state] : mConnections) {
    if (state.hasDeadline && now >= state.deadline) {
      ::shutdown(state.fd, SHUT_RDWR);
    }
  }
  for (const auto& core : mExchanges) {
    if (!core->suspended) {
      continue;
    }
    char byte = 0;
    const ssize_t got = ::recv(core->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    const bool gone =
      got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
    if (gone) {
      core->callerGone = true;
      resume(*core);
    }
  }
}

void*
ServerImpl::handleUri(void* aSelf, const char*, MHD_Connection* aConnection)
{
  auto& self = *static_cast<ServerImpl*>(aSelf);
  self.setDeadline(aConnection, true, self.mOptions.limits.receiveTimeout);
  return nullptr;
}

void
ServerImpl::handleConnection(void* aSelf,
                             MHD_Connection* aConnection,
                             void**,
                             MHD_ConnectionNotificationCode aCode)
{
  auto& self = *static_cast<ServerImpl*>(aSelf);
  if (aCode == MHD_CONNECTION_NOTIFY_CLOSED) {
    self.mConnections.erase(aConnection);
    return;
  }
  ConnectionState state;
  state.fd =
    MHD_get_connection_info(aConnection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
  state.deadline = self.mLoop.now() + self.mOptions.limits.receiveTimeout;
  self.mConnections[aConnection] = state;
}

MHD_Result
ServerImpl::handleAccess(void* aSelf,
                         MHD_Connection* aConnection,
                         const char* aUrl,
                         const char* aMethod,
                         const char* aVersion,
                         const char* aUploadData,
                         size_t* aUploadSize,
                         void** aContext)
{
  auto& self = *static_cast<ServerImpl*>(aSelf);
  if (*aContext == nullptr) {
    return self.beginRequest(aConnection, aUrl, aMethod, aVersion, aContext);
  }
  const auto core = *static_cast<std::shared_ptr<ExchangeCore>*>(*aContext);
  return self.continueRequest(core, aUploadData, aUploadSize);
}

MHD_Result
ServerImpl::beginRequest(MHD_Connection* aConnection,
                         const char* aUrl,
                         const char* aMethod,
                         const char* aVersion,
                         void** aContext)
{
  auto core = std::make_shared<ExchangeCore>();
  core->owner = this;
  core->connection = aConnection;
  core->fd =
    MHD_get_connection_info(aConnection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
  core->request.method = aMethod;
  core->request.path = aUrl;
  link::HeaderList fields;
  MHD_get_connection_values_n(
    aConnection,
    MHD_HEADER_KIND,
    [](void* aFields,
       MHD_ValueKind,
       const char* aKey,
       size_t aKeySize,
       const char* aValue,
       size_t aValueSize) {
      const std::string value(aValue == nullptr ? "" : aValue, aValueSize);
      static_cast<link::HeaderList*>(aFields)->push_back({ { aKey, aKeySize }, value });
      return MHD_YES;
    },
    &fields);
  for (const auto& field : fields) {
    core->request.headers[field.name] = field.value;
  }
  MHD_get_connection_values(
    aConnection,
    MHD_GET_ARGUMENT_KIND,
    [](void* aRequest, MHD_ValueKind, const char* aKey, const char* aValue) {
      auto& query = static_cast<Request*>(aRequest)->query;
      query[aKey] = aValue == nullptr ? "" : aValue;
      return MHD_YES;
    },
    &core->request);
  const auto* peer =
    MHD_get_connection_info(aConnection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
  if (peer != nullptr && peer->client_addr->sa_family == AF_INET) {
    char text[INET_ADDRSTRLEN] = {};
    const auto* address = reinterpret_cast<const sockaddr_in*>(peer->client_addr);
    inet_ntop(AF_INET, &address->sin_addr, text, sizeof text);
    core->request.remoteAddress = text;
  }
  mExchanges.insert(core);
  *aContext = new std::shared_ptr<ExchangeCore>(core);

  // libmicrohttpd accepts more than the protocol allows.
  const bool fields_allowed = std::ranges::all_of(fields, [](const link::Header& aField) {
    return link::isAllowedField(aField.name, aField.value);
  });
  if (!fields_allowed ||
      !link::isAllowedFraming(fields, 0, std::string_view(aVersion) == "HTTP/1.0")) {
    core->responseQueued = true;
    setDeadline(aConnection, true, mOptions.limits.receiveTimeout);
    return queueBufferedResponse(aConnection, makeMalformedRequestResponse());
  }
  const std::string length(core->request.header("Content-Length"));
  const bool too_long = !length.empty() && std::strtoull(length.c_str(), nullptr, 10) >
                                             mOptions.limits.maxBodyBytes;
  if (too_long) {
    // Rejected before the body is read; libmicrohttpd closes the connection afterwards.
    core->responseQueued = true;
    setDeadline(aConnection, true, mOptions.limits.receiveTimeout);
    return queueBufferedResponse(aConnection, makeBodyTooLargeResponse());
  }
  return MHD_YES;
}

MHD_Result
ServerImpl::continueRequest(const std::shared_ptr<ExchangeCore>& aCore,
                            const char* aUploadData,
                            size_t* aUploadSize)
{
  if (*aUploadSize > 0) {
    if (aCore->request.body.size() + *aUploadSize > mOptions.limits.maxBodyBytes) {
      aCore->oversize = true;
      aCore->request.body.clear();
    } else if (!aCore->oversize) {
      aCore->request.body.append(aUploadData, *aUploadSize);
    }
    *aUploadSize = 0;
    return MHD_YES;
  }
  if (aCore->callerGone) {
    return MHD_NO;
  }
  if (!aCore->passedToHandler) {
    aCore->passedToHandler = true;
    setDeadline(aCore->connection, false, Duration::zero());
    if (aCore->oversize) {
      aCore->responseQueued = true;
      return queueBufferedResponse(aCore->connection, makeBodyTooLargeResponse());
    }
    mHandler(makeExchange(aCore));
    if (aCore->callerGone) {
      return MHD_NO; // the handler has dropped the exchange
    }
  }
  if (aCore->state == ResponseState::None) {
    aCore->suspended = true;
    MHD_suspend_connection(aCore->connection);
    return MHD_YES;
  }
  if (!aCore->responseQueued) {
    aCore->responseQueued = true;
    return queueResponse(aCore);
  }
  return MHD_YES;
}

void
ServerImpl::addHeaders(MHD_Response* aResponse, const Headers& aHeaders) const
{
  for (const auto& [name, value] : aHeaders) {
    MHD_add_response_header(aResponse, name.c_str(), value.c_str());
  }
  if (mStopping && aHeaders.count("Connection") == 0) {
    MHD_add_response_header(aResponse, "Connection", "close");
  }
}

MHD_Result
ServerImpl::queueBufferedResponse(MHD_Connection* aConnection, const Response& aResponse)
{
  auto* data = const_cast<char*>(aResponse.body.data()); // copied by the library
  MHD_Response* response =
    MHD_create_response_from_buffer(aResponse.body.size(), data, MHD_RESPMEM_MUST_COPY);
  addHeaders(response, aResponse.headers);
  const MHD_Result result =
    MHD_queue_response(aConnection, static_cast<unsigned>(aResponse.status), response);
  MHD_destroy_response(response);
  return result;
}

MHD_Result
ServerImpl::queueResponse(const std::shared_ptr<ExchangeCore>& aCore)
{
  if (aCore->state == ResponseState::Buffered) {
    return queueBufferedResponse(aCore->connection, aCore->response);
  }
  auto* reference = new std::shared_ptr<ExchangeCore>(aCore);
  MHD_Response* response = MHD_create_response_from_callback(
    MHD_SIZE_UNKNOWN,
    kStreamBlockBytes,
    &ServerImpl::readStream,
    reference,
    [](void* aRef) { delete static_cast<std::shared_ptr<ExchangeCore>*>(aRef); });
  addHeaders(response, aCore->response.headers);
  const MHD_Result result = MHD_queue_response(
    aCore->connection, static_cast<unsigned>(aCore->response.status), response);
  MHD_destroy_response(response);
  return result;
}

ssize_t
ServerImpl::readStream(void* aCore, uint64_t, char* aBuffer, size_t aMax)
{
  auto& core = **static_cast<std::shared_ptr<ExchangeCore>*>(aCore);
  if (core.callerGone) {
    return MHD_CONTENT_READER_END_WITH_ERROR;
  }
  if (!core.buffer.empty()) {
    const size_t count = std::min(aMax, core.buffer.size());
    std::memcpy(aBuffer, core.buffer.data(), count);
    core.buffer.erase(0, count);
    return static_cast<ssize_t>(count);
  }
  if (core.state == ResponseState::Finished) {
    return MHD_CONTENT_READER_END_OF_STREAM;
  }
  if (core.state == ResponseState::Aborted) {
    return MHD_CONTENT_READER_END_WITH_ERROR;
  }
  core.suspended = true;
  MHD_suspend_connection(core.connection);
  return 0;
}

void
ServerImpl::handleCompleted(void* aSelf,
                            MHD_Connection* aConnection,
                            void** aContext,
                            MHD_RequestTerminationCode aCode)
{
  if (*aContext == nullptr) {
    return;
  }
  auto& self = *static_cast<ServerImpl*>(aSelf);
  auto* reference = static_cast<std::shared_ptr<ExchangeCore>*>(*aContext);
  const auto core = *reference;
  delete reference;
  *aContext = nullptr;
  core->closed = true;
  core->owner = nullptr;
  core->suspended = false;
  self.mExchanges.erase(core);
  const auto& limits = self.mOptions.limits;
  // Applies until the next request line on this connection, which restarts the deadline.
  self.setDeadline(aConnection, true, limits.idleTimeout + limits.receiveTimeout);
  const bool whole = aCode == MHD_REQUEST_TERMINATED_COMPLETED_OK;
  if (core->onClosed) {
    // Runs outside libmicrohttpd's callbacks, so that it may use any function of the
    // server or destroy it.
    self.mLoop.post([callback = std::move(core->onClosed), whole] { callback(whole); });
    core->onClosed = nullptr;
  }
}

} // namespace

Result<std::unique_ptr<Server>>
Server::create(event::Loop& aLoop, ServerOptions aOptions, Handler aHandler)
{
  auto server =
    std::make_unique<ServerImpl>(aLoop, std::move(aOptions), std::move(aHandler));
  BOOST_OUTCOME_TRYV(server->start());
  return std::unique_ptr<Server>(std::move(server));
}

} // namespace savoryrill::http
