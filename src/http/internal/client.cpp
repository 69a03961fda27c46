#include "http/client.h"

#include <curl/curl.h>
#include <map>
#include <utility>
#include <vector>

#include "link/messagegrammar.h"

namespace savoryrill::http {

namespace {

constexpr long kMaxIdleConnections = 256;

class ClientImpl;

/// State of one request. Data arrives inside libcurl callbacks, where no handle may be
/// removed; it is stored here and passed to the user's callbacks afterwards.
struct Transfer
{
  ~Transfer()
  {
    curl_slist_free_all(headerList);
    if (easy != nullptr) {
      curl_easy_cleanup(easy);
    }
  }

  /// Adds the transfer to the client's list of those with something to deliver.
  void markReady()
  {
    if (!inReadyList) {
      inReadyList = true;
      ready->push_back(id);
    }
  }

  std::uint64_t id = 0;
  std::vector<std::uint64_t>* ready = nullptr; // the client's mReady
  bool inReadyList = false;
  CURL* easy = nullptr;
  curl_slist* headerList = nullptr;
  ClientRequest request;
  ClientCallbacks callbacks;
  Response response;
  link::MessageGrammar grammar{ link::MessageKind::Response };
  link::HeaderList fields; // of the current head, in the order of their arrival
  bool isHttp10 = false;
  bool malformed = false;
  bool headersComplete = false;
  bool headersDelivered = false;
  bool oversize = false;
  bool forbidden = false; // `maySend` returned false
  bool done = false;
  CURLcode result = CURLE_OK;
  std::string pendingData;
};

class RequestHandleImpl final : public RequestHandle
{
public:
  RequestHandleImpl(std::weak_ptr<ClientImpl*> aClient, std::uint64_t aId)
    : mClient(std::move(aClient))
    , mId(aId)
  {
  }
  ~RequestHandleImpl() override;

private:
  std::weak_ptr<ClientImpl*> mClient;
  std::uint64_t mId;
};

class ClientImpl final : public Client
{
public:
  ClientImpl(event::Loop& aLoop, CURLM* aMulti)
    : mLoop(aLoop)
    , mMulti(aMulti)
    , mSelf(std::make_shared<ClientImpl*>(this))
  {
    curl_multi_setopt(mMulti, CURLMOPT_SOCKETFUNCTION, &ClientImpl::watchSocket);
    curl_multi_setopt(mMulti, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(mMulti, CURLMOPT_TIMERFUNCTION, &ClientImpl::setTimer);
    curl_multi_setopt(mMulti, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(mMulti, CURLMOPT_MAXCONNECTS, kMaxIdleConnections);
  }

  ~ClientImpl() override
  {
    mSelf.reset();
    for (const auto& [id, transfer] : mTransfers) {
      curl_multi_remove_handle(mMulti, transfer->easy);
    }
    mTransfers.clear();
    curl_multi_cleanup(mMulti);
  }

  std::unique_ptr<RequestHandle> start(ClientRequest aRequest,
                                       ClientCallbacks aCallbacks) override;
  void cancel(std::uint64_t aId);

private:
  static int watchSocket(CURL*, curl_socket_t aFd, int aWhat, void* aSelf, void*);
  static int setTimer(CURLM*, long aTimeoutMs, void* aSelf);
  static int checkMaySend(void* aTransfer, char*, char*, int, int);
  static size_t readHeader(char* aData, size_t aSize, size_t aCount, void* aTransfer);
  static size_t readBody(char* aData, size_t aSize, size_t aCount, void* aTransfer);

  static void configure(Transfer& aTransfer);
  void socketAction(curl_socket_t aFd, int aEvents);
  void collectFinished();
  void deliver();
  void deliverTo(std::uint64_t aId);
  static ClientOutcome makeOutcome(Transfer& aTransfer);

  event::Loop& mLoop;
  CURLM* mMulti;
  std::shared_ptr<ClientImpl*> mSelf;
  std::uint64_t mNextId = 0;
  std::map<std::uint64_t, std::unique_ptr<Transfer>> mTransfers;
  std::vector<std::uint64_t> mReady; // transfers with something to deliver
  std::map<curl_socket_t, event::Watch> mSockets;
  event::Watch mTimer;
};

RequestHandleImpl::~RequestHandleImpl()
{
  if (const auto client = mClient.lock()) {
    (*client)->cancel(mId);
  }
}

void
ClientImpl::cancel(std::uint64_t aId)
{
  const auto found = mTransfers.find(aId);
  if (found != mTransfers.end()) {
    curl_multi_remove_handle(mMulti, found->second->easy);
    mTransfers.erase(found);
  }
}

int
ClientImpl::checkMaySend(void* aTransfer, char*, char*, int, int)
{
  auto& transfer = *static_cast<Transfer*>(aTransfer);
  transfer.forbidden = !transfer.callbacks.maySend();
  return transfer.forbidden ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

size_t
ClientImpl::readHeader(char* aData, size_t aSize, size_t aCount, void* aTransfer)
{
  auto& transfer = *static_cast<Transfer*>(aTransfer);
  const size_t size = aSize * aCount;
  // libcurl accepts more than the protocol allows, and passes header lines on as they
  // came. It finds the ends of chunks itself.
  if (transfer.headersComplete) {
    transfer.grammar.expectTrailers();
  }
  if (transfer.grammar.check({ aData, size }) < size) {
    transfer.malformed = true;
    return 0; // makes libcurl fail the transfer
  }
  if (transfer.headersComplete) {
    return size; // trailers are not passed on
  }
  std::string line(aData, size);
  while (!line.empty() && (line.back() == '\n' || line.back() == '\r')) {
    line.pop_back();
  }
  if (line.starts_with("HTTP/")) {
    // A new status line replaces that of an interim response (1xx).
    transfer.response = Response{};
    long status = 0;
    curl_easy_getinfo(transfer.easy, CURLINFO_RESPONSE_CODE, &status);
    transfer.response.status = static_cast<int>(status);
    transfer.fields.clear();
    transfer.isHttp10 = line.starts_with("HTTP/1.0");
  } else if (line.empty()) {
    const int status = transfer.response.status;
    if (!link::isResponseStatus(status) ||
        !link::isAllowedFraming(transfer.fields, status, transfer.isHttp10)) {
      transfer.malformed = true;
      return 0;
    }
    transfer.grammar.restart(); // the next response, if this is an interim one
    transfer.headersComplete = transfer.response.status >= 200;
    transfer.markReady();
  } else if (const auto colon = line.find(':'); colon != std::string::npos) {
    const auto begin = line.find_first_not_of(" \t", colon + 1);
    const auto name = line.substr(0, colon);
    const auto value = begin == std::string::npos ? "" : line.substr(begin);
    transfer.fields.push_back({ name, value });
    transfer.response.headers[name] = value;
  }
  return size;
}

size_t
ClientImpl::readBody(char* aData, size_t aSize, size_t aCount, void* aTransfer)
{
  auto& transfer = *static_cast<Transfer*>(aTransfer);
  const size_t size = aSize * aCount;
  if (transfer.callbacks.onData) {
    transfer.pendingData.append(aData, size);
    transfer.markReady();
    return size;
  }
  if (transfer.response.body.size() + size > transfer.request.maxBodyBytes) {
    transfer.oversize = true;
    return 0; // makes libcurl fail the transfer
  }
  transfer.response.body.append(aData, size);
  return size;
}

void
ClientImpl::configure(Transfer& aTransfer)
{
  CURL* easy = aTransfer.easy;
  const auto& request = aTransfer.request;
  curl_easy_setopt(easy, CURLOPT_PRIVATE, &aTransfer);
  curl_easy_setopt(easy, CURLOPT_URL, request.url.c_str());
  curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(easy, CURLOPT_PROXY, ""); // ignore proxies named in the environment
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(
    easy, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(toMs(request.connectTimeout)));
  curl_easy_setopt(easy,
                   CURLOPT_TIMEOUT_MS,
                   std::max(1L, static_cast<long>(toMs(request.totalTimeout))));
  if (request.freshConnection) {
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
  }
  if (request.method == "HEAD") {
    curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
  } else if (!request.body.empty() || request.method == "POST" ||
             request.method == "PUT") {
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, curl_off_t(request.body.size()));
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.body.data());
  }
  curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
  for (const auto& [name, value] : request.headers) {
    // libcurl sends "Name;" as a header with an empty value.
    const std::string line = value.empty() ? name + ";" : name + ": " + value;
    aTransfer.headerList = curl_slist_append(aTransfer.headerList, line.c_str());
  }
  // Keeps libcurl from adding an Expect header (100-continue) to requests with large
  // bodies.
  aTransfer.headerList = curl_slist_append(aTransfer.headerList, "Expect:");
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, aTransfer.headerList);
  if (aTransfer.callbacks.maySend) {
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &ClientImpl::checkMaySend);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, &aTransfer);
  }
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &ClientImpl::readHeader);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, &aTransfer);
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &ClientImpl::readBody);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, &aTransfer);
}

std::unique_ptr<RequestHandle>
ClientImpl::start(ClientRequest aRequest, ClientCallbacks aCallbacks)
{
  auto transfer = std::make_unique<Transfer>();
  transfer->id = ++mNextId;
  transfer->ready = &mReady;
  transfer->easy = curl_easy_init();
  transfer->request = std::move(aRequest);
  transfer->callbacks = std::move(aCallbacks);
  configure(*transfer);
  const std::uint64_t id = transfer->id;
  CURL* easy = transfer->easy;
  mTransfers[id] = std::move(transfer);
  curl_multi_add_handle(mMulti, easy);
  return std::make_unique<RequestHandleImpl>(mSelf, id);
}

int
ClientImpl::watchSocket(CURL*, curl_socket_t aFd, int aWhat, void* aSelf, void*)
{
  auto& self = *static_cast<ClientImpl*>(aSelf);
  // Removes the descriptor's previous watch first: the events of a libev watch cannot be
  // changed while it is active.
  self.mSockets.erase(aFd);
  if (aWhat == CURL_POLL_REMOVE) {
    return 0;
  }
  const event::Interest interest{ (aWhat & CURL_POLL_IN) != 0,
                                  (aWhat & CURL_POLL_OUT) != 0 };
  self.mSockets[aFd] =
    self.mLoop.watch(aFd, interest, [&self, aFd](event::Interest aReady) {
      self.socketAction(aFd,
                        (aReady.readable ? CURL_CSELECT_IN : 0) |
                          (aReady.writable ? CURL_CSELECT_OUT : 0));
    });
  return 0;
}

int
ClientImpl::setTimer(CURLM*, long aTimeoutMs, void* aSelf)
{
  auto& self = *static_cast<ClientImpl*>(aSelf);
  if (aTimeoutMs < 0) {
    self.mTimer.reset();
    return 0;
  }
  self.mTimer = self.mLoop.after(std::chrono::milliseconds(aTimeoutMs),
                                 [&self] { self.socketAction(CURL_SOCKET_TIMEOUT, 0); });
  return 0;
}

void
ClientImpl::socketAction(curl_socket_t aFd, int aEvents)
{
  int running = 0;
  curl_multi_socket_action(mMulti, aFd, aEvents, &running);
  collectFinished();
  deliver();
}

void
ClientImpl::collectFinished()
{
  int left = 0;
  while (CURLMsg* message = curl_multi_info_read(mMulti, &left)) {
    if (message->msg != CURLMSG_DONE) {
      continue;
    }
    void* data = nullptr;
    curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &data);
    auto* transfer = static_cast<Transfer*>(data);
    transfer->result = message->data.result;
    transfer->done = true;
    transfer->markReady();
  }
}

void
ClientImpl::deliver()
{
  const std::vector<std::uint64_t> ready = std::exchange(mReady, {});
  // A callback may destroy the client.
  const std::weak_ptr<ClientImpl*> self = mSelf;
  for (const std::uint64_t id : ready) {
    if (self.expired()) {
      return;
    }
    deliverTo(id);
  }
}

/// Delivers headers, data and the end of one transfer; each callback may cancel the
/// transfer or destroy the client.
void
ClientImpl::deliverTo(std::uint64_t aId)
{
  const std::weak_ptr<ClientImpl*> self = mSelf;
  auto find = [&]() -> Transfer* {
    if (self.expired()) {
      return nullptr;
    }
    const auto found = mTransfers.find(aId);
    return found == mTransfers.end() ? nullptr : found->second.get();
  };
  Transfer* transfer = find();
  if (transfer != nullptr) {
    transfer->inReadyList = false;
  }
  if (transfer != nullptr && transfer->headersComplete && !transfer->headersDelivered) {
    transfer->headersDelivered = true;
    if (const auto callback = transfer->callbacks.onHeaders) {
      const Response response = transfer->response;
      callback(response);
    }
  }
  transfer = find();
  if (transfer != nullptr && !transfer->pendingData.empty()) {
    const std::string data = std::exchange(transfer->pendingData, {});
    const auto callback = transfer->callbacks.onData;
    callback(data);
  }
  transfer = find();
  if (transfer != nullptr && transfer->done) {
    auto outcome = makeOutcome(*transfer);
    const auto callback = std::move(transfer->callbacks.onDone);
    cancel(aId);
    if (callback) {
      callback(std::move(outcome));
    }
  }
}

ClientOutcome
ClientImpl::makeOutcome(Transfer& aTransfer)
{
  long request_bytes = 0;
  curl_off_t upload_bytes = 0;
  curl_easy_getinfo(aTransfer.easy, CURLINFO_REQUEST_SIZE, &request_bytes);
  curl_easy_getinfo(aTransfer.easy, CURLINFO_SIZE_UPLOAD_T, &upload_bytes);
  const bool sent = request_bytes > 0 || upload_bytes > 0;
  if (aTransfer.result == CURLE_OK && !aTransfer.headersComplete) {
    // libcurl reports success if the connection ends within the headers.
    return { fail(ErrorCode::Unavailable,
                  aTransfer.request.url + ": the answer was cut within its headers"),
             sent };
  }
  if (aTransfer.result == CURLE_OK) {
    return { std::move(aTransfer.response), sent };
  }
  ErrorCode code = ErrorCode::Unavailable;
  std::string message = curl_easy_strerror(aTransfer.result);
  if (aTransfer.oversize) {
    code = ErrorCode::LimitExceeded;
    message = "the answer body is above the limit";
  } else if (aTransfer.malformed) {
    code = ErrorCode::Malformed;
    message = "the answer's head or a trailer is malformed";
  } else if (aTransfer.forbidden) {
    code = ErrorCode::PermissionDenied;
    message = "the check before sending refused the request";
  } else if (aTransfer.result == CURLE_OPERATION_TIMEDOUT) {
    code = ErrorCode::Timeout;
  } else if (aTransfer.result == CURLE_URL_MALFORMAT ||
             aTransfer.result == CURLE_UNSUPPORTED_PROTOCOL) {
    code = ErrorCode::InvalidArgument;
  }
  return { fail(code, aTransfer.request.url + ": " + message), sent };
}

} // namespace

Result<std::unique_ptr<Client>>
Client::create(event::Loop& aLoop)
{
  static const CURLcode sInitialised = curl_global_init(CURL_GLOBAL_DEFAULT);
  CURLM* multi = sInitialised == CURLE_OK ? curl_multi_init() : nullptr;
  if (multi == nullptr) {
    return fail(ErrorCode::Internal, "libcurl cannot be set up");
  }
  return std::unique_ptr<Client>(std::make_unique<ClientImpl>(aLoop, multi));
}

} // namespace savoryrill::http
