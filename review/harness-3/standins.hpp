// Small stand-ins of the platform's store, of plain servers and of clients, for the scripts of the third review. They use
// blocking sockets and a thread for each connection, and speak what the users' pages say.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <functional>
#include <json/json.h>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <set>
#include <sodium.h>
#include <string>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;

inline Clock::time_point gStart = Clock::now();

inline double seconds()
{
  return std::chrono::duration<double>(Clock::now() - gStart).count();
}

inline void sleepMs(int aMs)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMs));
}

/// record.txt: what was sent, answered and run, with the time since the start.
class Record
{
public:
  void open(const std::string& aPath) { mFile = std::fopen(aPath.c_str(), "w"); }
  void line(const char* aFormat, ...) __attribute__((format(printf, 2, 3)))
  {
    const std::lock_guard lock(mMutex);
    va_list list;
    va_start(list, aFormat);
    std::fprintf(mFile, "%8.3f ", seconds());
    std::vfprintf(mFile, aFormat, list);
    std::fputc('\n', mFile);
    std::fflush(mFile);
    va_end(list);
  }

private:
  std::mutex mMutex;
  std::FILE* mFile = nullptr;
};

inline Record gRecord;

struct Request
{
  std::string method, target, body, head;
  std::string header(const char* aName) const
  {
    std::size_t at = head.find("\r\n");
    while (at != std::string::npos && at + 2 < head.size()) {
      at += 2;
      const auto end = head.find("\r\n", at);
      const auto colon = head.find(':', at);
      if (colon != std::string::npos && colon < end && colon - at == std::strlen(aName) &&
          strncasecmp(head.data() + at, aName, colon - at) == 0) {
        auto from = head.find_first_not_of(' ', colon + 1);
        return head.substr(from, end - from);
      }
      at = end;
    }
    return "";
  }
};

inline bool sendAll(int aFd, const char* aData, std::size_t aSize)
{
  while (aSize > 0) {
    const ssize_t sent = ::send(aFd, aData, aSize, MSG_NOSIGNAL);
    if (sent < 0 && errno == EINTR) {
      continue;
    }
    if (sent <= 0) {
      return false;
    }
    aData += sent;
    aSize -= static_cast<std::size_t>(sent);
  }
  return true;
}
inline bool sendAll(int aFd, const std::string& aText) { return sendAll(aFd, aText.data(), aText.size()); }

/// Reads one request with a body of a stated length; false at the end of the connection.
inline bool readRequest(int aFd, std::string& aBuffer, Request& aRequest)
{
  char data[65536];
  std::size_t end = 0;
  while ((end = aBuffer.find("\r\n\r\n")) == std::string::npos) {
    const ssize_t size = recv(aFd, data, sizeof data, 0);
    if (size <= 0) {
      return false;
    }
    aBuffer.append(data, static_cast<std::size_t>(size));
  }
  aRequest.head = aBuffer.substr(0, end + 2);
  aBuffer.erase(0, end + 4);
  const auto first = aRequest.head.find(' ');
  const auto second = aRequest.head.find(' ', first + 1);
  aRequest.method = aRequest.head.substr(0, first);
  aRequest.target = aRequest.head.substr(first + 1, second - first - 1);
  const std::string length = aRequest.header("Content-Length");
  const std::size_t needed = length.empty() ? 0 : std::stoul(length);
  while (aBuffer.size() < needed) {
    const ssize_t size = recv(aFd, data, sizeof data, 0);
    if (size <= 0) {
      return false;
    }
    aBuffer.append(data, static_cast<std::size_t>(size));
  }
  aRequest.body = aBuffer.substr(0, needed);
  aBuffer.erase(0, needed);
  return true;
}

/// A free port of loopback that this process has not given out yet.
inline int freePort()
{
  static std::set<int> given;
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  (void)bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address);
  socklen_t size = sizeof address;
  (void)getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  close(fd);
  const int port = ntohs(address.sin_port);
  return given.insert(port).second ? port : freePort();
}

/// Connects to a port on loopback; -1 on failure. Values above 0 set the receive buffer and the largest segment.
inline int connectTo(int aPort, int aReceiveBytes = 0, int aSegmentBytes = 0)
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (aReceiveBytes > 0) {
    (void)setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &aReceiveBytes, sizeof aReceiveBytes);
  }
  if (aSegmentBytes > 0) {
    (void)setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &aSegmentBytes, sizeof aSegmentBytes);
  }
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    close(fd);
    return -1;
  }
  const int one = 1;
  (void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  return fd;
}

/// An HTTP/1.1 server on a free port of loopback. The handler writes the answer and returns false to close.
class Server
{
public:
  using Handler = std::function<bool(int aFd, const Request& aRequest)>;

  explicit Server(Handler aHandler)
    : mHandler(std::move(aHandler))
  {
    mFd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (bind(mFd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || listen(mFd, 1024) != 0) {
      std::perror("listen");
      std::exit(2);
    }
    socklen_t size = sizeof address;
    (void)getsockname(mFd, reinterpret_cast<sockaddr*>(&address), &size);
    mPort = ntohs(address.sin_port);
    std::thread([this] {
      while (true) {
        const int fd = accept4(mFd, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) {
          continue;
        }
        const int one = 1;
        (void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        std::thread([this, fd] {
          std::string buffer;
          Request request;
          while (readRequest(fd, buffer, request) && mHandler(fd, request)) {
          }
          close(fd);
        }).detach();
      }
    }).detach();
  }
  int port() const { return mPort; }

private:
  Handler mHandler;
  int mFd = -1;
  int mPort = 0;
};

inline std::string compact(const Json::Value& aValue)
{
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, aValue);
}

inline std::string encodeBase64(const std::string& aBytes)
{
  std::string text(sodium_base64_encoded_len(aBytes.size(), sodium_base64_VARIANT_ORIGINAL), '\0');
  sodium_bin2base64(text.data(), text.size(), reinterpret_cast<const unsigned char*>(aBytes.data()), aBytes.size(),
                    sodium_base64_VARIANT_ORIGINAL);
  text.pop_back();
  return text;
}

/// The platform's store: rows with versions from one counter, conditional writes, reads of changes that wait.
class Store
{
public:
  Store()
    : mServer([this](int aFd, const Request& aRequest) { return answer(aFd, aRequest); })
  {
  }
  int port() const { return mServer.port(); }

  void put(const std::string& aTable, const std::string& aKey, const Json::Value& aValue)
  {
    const std::lock_guard lock(mMutex);
    write(aTable, aKey, { encodeBase64(compact(aValue)), 0, false });
  }
  void remove(const std::string& aTable, const std::string& aKey)
  {
    const std::lock_guard lock(mMutex);
    write(aTable, aKey, { "", 0, true });
  }
  /// While set, calls get 503, which says that nothing was done.
  void setBusy(bool aBusy) { mBusy = aBusy; }

private:
  struct Row
  {
    std::string value; // base64
    std::uint64_t version = 0;
    bool deleted = false;
  };

  void write(const std::string& aTable, const std::string& aKey, Row aRow)
  {
    aRow.version = ++mVersion;
    mTables[aTable][aKey] = std::move(aRow);
    mChanged.notify_all();
  }

  static std::string parameter(const std::string& aTarget, const std::string& aName)
  {
    const auto query = aTarget.find('?');
    std::size_t at = query == std::string::npos ? query : query + 1;
    while (at != std::string::npos && at < aTarget.size()) {
      const auto end = std::min(aTarget.find('&', at), aTarget.size());
      if (aTarget.compare(at, aName.size() + 1, aName + "=") == 0) {
        std::string value;
        for (std::size_t i = at + aName.size() + 1; i < end; ++i) {
          if (aTarget[i] == '%' && i + 2 < end) {
            value.push_back(static_cast<char>(std::stoi(aTarget.substr(i + 1, 2), nullptr, 16)));
            i += 2;
          } else {
            value.push_back(aTarget[i]);
          }
        }
        return value;
      }
      at = end + 1;
    }
    return "";
  }

  static Json::Value rowObject(const std::string& aTable, const std::string& aKey, const Row& aRow)
  {
    Json::Value value(Json::objectValue);
    value["table"] = aTable;
    value["part"] = "";
    value["key"] = aKey;
    value["row_version"] = Json::UInt64(aRow.version);
    if (aRow.deleted) {
      value["deleted"] = true;
    } else {
      value["value"] = aRow.value;
    }
    return value;
  }

  bool respond(int aFd, int aStatus, Json::Value aBody)
  {
    aBody["row_version"] = Json::UInt64(mVersion);
    aBody["now_ms"] = Json::UInt64(static_cast<std::uint64_t>(seconds() * 1000));
    const std::string body = compact(aBody);
    return sendAll(aFd, "HTTP/1.1 " + std::to_string(aStatus) + " x\r\nContent-Type: application/json\r\nContent-Length: " +
                          std::to_string(body.size()) + "\r\n\r\n" + body);
  }

  bool answer(int aFd, const Request& aRequest)
  {
    sleepMs(4);
    const std::string path = aRequest.target.substr(0, aRequest.target.find('?'));
    std::unique_lock lock(mMutex);
    if (mBusy) {
      return respond(aFd, 503, Json::Value(Json::objectValue));
    }
    Json::Value body(Json::objectValue);
    const std::string table = parameter(aRequest.target, "table");
    if (path == "/savoryrill/rows-get") {
      const std::string from = parameter(aRequest.target, "from");
      const std::string limit = parameter(aRequest.target, "limit");
      const std::size_t most = limit.empty() ? 500 : std::min<std::size_t>(500, std::stoul(limit));
      body["rows"] = Json::Value(Json::arrayValue);
      body["has_more"] = false;
      for (const auto& [key, row] : mTables[table]) {
        if (row.deleted || key < from) {
          continue;
        }
        if (body["rows"].size() >= most) {
          body["has_more"] = true;
          break;
        }
        body["rows"].append(rowObject(table, key, row));
      }
      return respond(aFd, 200, body);
    }
    if (path == "/savoryrill/rows-feed") {
      const auto after = std::stoull(parameter(aRequest.target, "after"));
      const std::string wait = parameter(aRequest.target, "wait_ms");
      const auto until = Clock::now() + std::chrono::milliseconds(wait.empty() ? 0 : std::stoi(wait));
      const auto changed = [&] {
        std::map<std::uint64_t, Json::Value> rows;
        for (const auto& [key, row] : mTables[table]) {
          if (row.version > after) {
            rows[row.version] = rowObject(table, key, row);
          }
        }
        return rows;
      };
      auto rows = changed();
      while (rows.empty() && mChanged.wait_until(lock, until) != std::cv_status::timeout) {
        rows = changed();
      }
      body["rows"] = Json::Value(Json::arrayValue);
      for (const auto& [version, row] : rows) {
        body["rows"].append(row);
      }
      return respond(aFd, 200, body);
    }
    if (path == "/savoryrill/rows-tx") {
      Json::Value call;
      Json::CharReaderBuilder builder;
      std::string errors;
      const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
      if (!reader->parse(aRequest.body.data(), aRequest.body.data() + aRequest.body.size(), &call, &errors)) {
        return respond(aFd, 400, body);
      }
      bool holds = true;
      for (const auto& row : call["precondition"]) {
        const auto& known = mTables[row["table"].asString()][row["key"].asString()];
        holds = holds && (known.deleted ? 0 : known.version) == row["row_version"].asUInt64();
      }
      if (!holds) {
        return respond(aFd, 412, body);
      }
      for (const auto& row : call["puts"]) {
        write(row["table"].asString(), row["key"].asString(), { row["value"].asString(), 0, false });
      }
      for (const auto& row : call["remove"]) {
        write(row["table"].asString(), row["key"].asString(), { "", 0, true });
      }
      return respond(aFd, 200, body);
    }
    return respond(aFd, 400, body);
  }

  std::mutex mMutex;
  std::condition_variable mChanged;
  std::map<std::string, std::map<std::string, Row>> mTables;
  std::uint64_t mVersion = 0;
  std::atomic<bool> mBusy = false;
  Server mServer; // last: its threads use the others
};

/// A plain server. `onRequest` writes the answer to requests that are meant for it.
class PlainServer
{
public:
  PlainServer(Store& aStore, std::string aId, std::string aService, int aSlots, Server::Handler aOnRequest)
    : mStore(aStore)
    , mId(std::move(aId))
    , mService(std::move(aService))
    , mSlots(aSlots)
    , mBorn(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
              .count())
    , mServer([this, handle = std::move(aOnRequest)](int aFd, const Request& aRequest) {
      const std::string expected = aRequest.header("X-Savoryrill-Expect-Instance");
      if (!expected.empty() && expected != mId) {
        return sendAll(aFd, "HTTP/1.1 421 Misdirected Request\r\nX-Savoryrill-Instance-Id: " + mId +
                              "\r\nContent-Length: 0\r\n\r\n");
      }
      if (aRequest.target == "/healthz") {
        return sendAll(aFd, "HTTP/1.1 200 OK\r\nX-Savoryrill-Instance-Id: " + mId + "\r\nContent-Length: 0\r\n\r\n");
      }
      return handle(aFd, aRequest);
    })
  {
    beat();
    std::thread([this] {
      while (true) {
        sleepMs(1200);
        beat();
      }
    }).detach();
  }
  const std::string& id() const { return mId; }
  int port() const { return mServer.port(); }

private:
  void beat()
  {
    Json::Value entry(Json::objectValue);
    entry["service"] = mService;
    entry["address"] = "127.0.0.1:" + std::to_string(mServer.port());
    entry["zone"] = "xela";
    entry["version"] = "v1";
    entry["slots"] = mSlots;
    entry["state"] = "ready";
    entry["cold_remaining_ms"] = 0;
    entry["sequence"] = Json::UInt64(++mSequence);
    entry["born"] = Json::Int64(mBorn);
    mStore.put("servers", mId, entry);
  }

  Store& mStore;
  std::string mId;
  std::string mService;
  int mSlots;
  std::int64_t mBorn;
  std::uint64_t mSequence = 0;
  Server mServer;
};

inline Json::Value route(const char* aName, const char* aPrefix, const char* aType, const char* aService, int aAttempts,
                         int aTimeoutMs)
{
  Json::Value value(Json::objectValue);
  value["name"] = aName;
  value["hostname"] = "desk.example";
  value["prefix"] = aPrefix;
  value["route_type"] = aType;
  value["timeout_ms"] = aTimeoutMs;
  value["target_latency_ms"] = 150;
  value["priority"] = 2;
  value["service"] = aService;
  value["max_attempts"] = aAttempts;
  return value;
}

inline Json::Value service(const char* aName, int aMaxConnections)
{
  Json::Value value(Json::objectValue);
  value["name"] = aName;
  value["health_path"] = "/healthz";
  value["max_connections"] = aMaxConnections;
  value["protocol"] = "h1";
  value["tls"] = false;
  return value;
}

inline Json::Value limits()
{
  Json::Value value(Json::objectValue);
  value["max_header_bytes"] = 16384;
  value["max_body_bytes"] = 4194304;
  value["header_timeout_ms"] = 3000;
  value["idle_timeout_ms"] = 15000;
  return value;
}

/// A gateway, started with the command of the deploy file and settings as its template makes them.
class Gateway
{
public:
  Gateway(const std::string& aFolder, const std::string& aName, int aStorePort, int aMemoryMb = 260)
    : mName(aName)
    , mCallerPort(freePort())
    , mReadyPort(freePort())
    , mPath(aFolder + "/" + aName + ".jsonc")
    , mLog(aFolder + "/" + aName + ".log")
  {
    const auto address = [](int aPort) { return "127.0.0.1:" + std::to_string(aPort); };
    Json::Value settings(Json::objectValue);
    settings["host"] = aName;
    settings["data_centre"] = "xela";
    settings["caller_address"] = address(mCallerPort);
    settings["readiness_address"] = address(mReadyPort);
    settings["peer_address"] = address(freePort());
    settings["metrics_address"] = address(freePort());
    settings["store_address"] = address(aStorePort);
    settings["drain_limit_ms"] = 8000;
    settings["leave_notice_ms"] = 2000;
    settings["order_turn_ms"] = 3000;
    settings["retry_share"] = 0.2;
    settings["retry_reserve"] = 58;
    settings["link_mbps"] = 1000.0;
    settings["host_memory_mb"] = aMemoryMb;
    settings["max_descriptors"] = 4100;
    std::FILE* file = std::fopen(mPath.c_str(), "w");
    std::fputs(compact(settings).c_str(), file);
    std::fclose(file);
  }
  ~Gateway() { end(); }

  void start()
  {
    mProcess = fork();
    if (mProcess == 0) {
      // However the script ends, the process ends with it.
      (void)prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int log = ::open(mLog.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      (void)dup2(log, STDOUT_FILENO);
      (void)dup2(log, STDERR_FILENO);
      (void)execl("target/savoryrill-gateway", "target/savoryrill-gateway", "--settings", mPath.c_str(), nullptr);
      _exit(127);
    }
    gRecord.line("%s is started", mName.c_str());
  }
  /// Asks as the platform does, until it says that it is ready; false after `aSeconds`.
  bool awaitReady(double aSeconds)
  {
    const double until = seconds() + aSeconds;
    while (seconds() < until) {
      const int fd = connectTo(mReadyPort);
      if (fd >= 0) {
        char data[512] = {};
        (void)sendAll(fd, "GET /savoryrill/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        (void)recv(fd, data, sizeof data - 1, 0);
        close(fd);
        if (std::strstr(data, " 200 ") != nullptr) {
          gRecord.line("%s is ready", mName.c_str());
          return true;
        }
      }
      sleepMs(100);
    }
    return false;
  }
  void signal(int aSignal) const { (void)kill(mProcess, aSignal); }
  /// True once the process has ended; -1 as status while it runs.
  bool ended()
  {
    if (mProcess > 0 && waitpid(mProcess, &mStatus, WNOHANG) == mProcess) {
      gRecord.line("%s has ended, %s %d", mName.c_str(), WIFSIGNALED(mStatus) ? "signal" : "status",
                   WIFSIGNALED(mStatus) ? WTERMSIG(mStatus) : WEXITSTATUS(mStatus));
      mProcess = -1;
    }
    return mProcess <= 0;
  }
  void end()
  {
    if (!ended()) {
      (void)kill(mProcess, SIGKILL);
      (void)waitpid(mProcess, &mStatus, 0);
      mProcess = -1;
    }
  }
  int callerPort() const { return mCallerPort; }
  pid_t process() const { return mProcess; }

private:
  std::string mName;
  int mCallerPort;
  int mReadyPort;
  std::string mPath;
  std::string mLog;
  pid_t mProcess = -1;
  int mStatus = 0;
};

inline std::string signatureFor(const std::string& aId) { return "rv." + aId; }

/// The body that a server makes for an id: `aSize` bytes that depend on the id and their place.
inline std::string bodyFor(const std::string& aId, std::size_t aSize)
{
  std::string body;
  body.reserve(aSize + 32);
  for (std::size_t block = 0; body.size() < aSize; ++block) {
    body += aId + ":" + std::to_string(block) + "\n";
  }
  body.resize(aSize);
  return body;
}

} // namespace review
