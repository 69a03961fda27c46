// Model runners that crash when they begin to write an answer on a deadly prompt part, and clients of streams.
#pragma once

#include "standins.hpp"

#include <algorithm>
#include <set>

namespace review {

constexpr const char* kDeadly = "dead0bad";
constexpr int kSlots = 8;
constexpr int kBackAfterMs = 2500;
constexpr double kContactSeconds = 3;
constexpr int kEventPauseMs = 60;
inline int gEvents = 20; // of each stream
/// Events that a runner has written on the deadly part when it crashes.
inline int gEventsBeforeCrash = 0;

inline std::mutex gMutex;
inline std::vector<double> gCrashes;
inline std::vector<double> gDeadlyArrivals;

/// A model runner that holds all models. It crashes when it begins to write an answer on the deadly part, and is back some seconds
/// later as a new incarnation with a new id.
class Runner
{
public:
  Runner(Store& aStore, int aNumber)
    : mStore(aStore)
    , mNumber(aNumber)
  {
    start();
    std::thread([this] { run(); }).detach();
  }

private:
  void start()
  {
    mId = "i-" + std::to_string(mNumber) + "-" + std::to_string(++mStarts);
    mBorn = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    mSequence = 0;
    mFd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    (void)setsockopt(mFd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(mPort));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (bind(mFd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || listen(mFd, 256) != 0) {
      std::perror("runner");
      _exit(2);
    }
    socklen_t size = sizeof address;
    (void)getsockname(mFd, reinterpret_cast<sockaddr*>(&address), &size);
    mPort = ntohs(address.sin_port);
    mUp = true;
    beat();
  }

  void beat()
  {
    Json::Value entry(Json::objectValue);
    entry["service"] = "advisor";
    entry["address"] = "127.0.0.1:" + std::to_string(mPort);
    entry["zone"] = "xela";
    entry["version"] = "v1";
    entry["slots"] = kSlots;
    entry["state"] = "ready";
    entry["cold_remaining_ms"] = 0;
    entry["stage"] = "unified";
    entry["models"] = models();
    entry["sequence"] = Json::UInt64(++mSequence);
    entry["born"] = Json::Int64(mBorn);
    mStore.put("servers", mId, entry);
  }
  static Json::Value models()
  {
    Json::Value list(Json::arrayValue);
    for (const char* name : { "m1", "m2" }) {
      Json::Value model(Json::objectValue);
      model["name"] = name;
      model["version"] = 1;
      model["adapters"] = Json::Value(Json::arrayValue);
      list.append(model);
    }
    return list;
  }

  void run()
  {
    double next_beat = seconds() + 1.2;
    while (true) {
      if (!mUp) {
        const std::string former = mId;
        std::thread([this, former] {
          sleepMs(3600); // three heartbeats of silence
          mStore.remove("servers", former);
        }).detach();
        sleepMs(kBackAfterMs);
        close(mFd);
        start();
        gRecord.line("runner %d is back as %s", mNumber, mId.c_str());
        next_beat = seconds() + 1.2;
      }
      if (seconds() > next_beat) {
        next_beat += 1.2;
        beat();
      }
      pollfd waiting{ mFd, POLLIN, 0 };
      if (poll(&waiting, 1, 20) <= 0 || !mUp) {
        continue;
      }
      const int fd = accept4(mFd, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        continue;
      }
      const int one = 1;
      (void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      {
        const std::lock_guard lock(mConnections);
        mFds.insert(fd);
      }
      std::thread([this, fd, id = mId] {
        std::string buffer;
        Request request;
        while (readRequest(fd, buffer, request) && answer(fd, request, id)) {
        }
        const std::lock_guard lock(mConnections);
        mFds.erase(fd);
        close(fd);
      }).detach();
    }
  }

  /// The process ends: its port refuses connections, and its connections are reset.
  void crash(const std::string& aIncarnation)
  {
    const std::lock_guard lock(mConnections);
    if (!mUp || aIncarnation != mId) {
      return; // a request of the same moment, whose process has gone already
    }
    mUp = false;
    // As at the end of a process: the port refuses connections at once, then all connections end. A mere `close` would leave the
    // port open while the other thread waits for connections.
    (void)shutdown(mFd, SHUT_RDWR);
    const linger reset{ 1, 0 };
    for (const int fd : mFds) {
      (void)setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
      (void)shutdown(fd, SHUT_RDWR);
    }
    const std::lock_guard record(gMutex);
    gCrashes.push_back(seconds());
    gRecord.line("crash %zu: %s ends, %zu connections with it", gCrashes.size(), mId.c_str(), mFds.size());
  }

  bool answer(int aFd, const Request& aRequest, const std::string& aIncarnation)
  {
    const std::string expected = aRequest.header("X-Savoryrill-Expect-Instance");
    if (!expected.empty() && expected != aIncarnation) {
      return sendAll(aFd, "HTTP/1.1 421 Misdirected Request\r\nX-Savoryrill-Instance-Id: " + aIncarnation +
                            "\r\nContent-Length: 0\r\n\r\n");
    }
    if (aRequest.target == "/healthz") {
      return sendAll(aFd, "HTTP/1.1 200 OK\r\nX-Savoryrill-Instance-Id: " + aIncarnation + "\r\nContent-Length: 0\r\n\r\n");
    }
    if (aRequest.target == "/savoryrill/report") {
      Json::Value report(Json::objectValue);
      report["stage"] = "unified";
      report["models"] = models();
      report["busy"] = false;
      report["sequence"] = 0;
      report["queued"] = 0;
      report["active"] = 0;
      report["kv_used"] = 0;
      report["kv_total"] = 100000;
      report["handles"] = 0;
      const std::string body = compact(report);
      return sendAll(aFd, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                            std::to_string(body.size()) + "\r\n\r\n" + body);
    }
    if (aRequest.target == "/savoryrill/order") {
      return sendAll(aFd, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}");
    }
    const std::string id = aRequest.header("X-Savoryrill-Attempt-Id");
    if (aRequest.header("X-Savoryrill-Prompt-Prefix").find(kDeadly) != std::string::npos) {
      {
        const std::lock_guard lock(gMutex);
        gDeadlyArrivals.push_back(seconds());
        gRecord.line("deadly request %s reaches %s", id.c_str(), aIncarnation.c_str());
      }
      sleepMs(40); // the prompt is read; then it begins to write
      if (gEventsBeforeCrash > 0) {
        (void)writeStream(aFd, id, gEventsBeforeCrash);
      }
      crash(aIncarnation);
      return false;
    }
    return writeStream(aFd, id, gEvents) && sendAll(aFd, "0\r\n\r\n");
  }

  static bool writeStream(int aFd, const std::string& aId, int aEvents)
  {
    if (!sendAll(aFd, "HTTP/1.1 200 OK\r\nX-Savoryrill-Attempt-Id: " + aId + "\r\nX-Savoryrill-Response-Signature: " +
                        signatureFor(aId) + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")) {
      return false;
    }
    for (int i = 1; i <= aEvents; ++i) {
      sleepMs(kEventPauseMs);
      const std::string event = "id: " + std::to_string(i) + "\ndata: " + aId + " " + std::to_string(i) + "\n\n";
      char size[16];
      std::snprintf(size, sizeof size, "%zx\r\n", event.size());
      if (!sendAll(aFd, size + event + "\r\n")) {
        return false;
      }
    }
    return true;
  }

  Store& mStore;
  int mNumber;
  int mStarts = 0;
  int mPort = 0;
  int mFd = -1;
  std::atomic<bool> mUp = false;
  std::string mId;
  std::int64_t mBorn = 0;
  std::uint64_t mSequence = 0;
  std::mutex mConnections;
  std::set<int> mFds;
};

/// Sends one streaming request; true if its answer is whole. The text says how it ended.
inline bool ask(int aPort,
                const std::string& aId,
                const std::string& aPrefix,
                std::string& aEnd,
                const std::string& aModel = "m1")
{
  const int fd = connectTo(aPort);
  const std::string body = "{\"q\":\"" + aId + "\"}";
  (void)sendAll(fd, "POST /advice/a HTTP/1.1\r\nHost: desk.example\r\nX-Savoryrill-Attempt-Id: " + aId +
                      "\r\nX-Savoryrill-Model: " + aModel +
                      "\r\nX-Savoryrill-Token-Usage: 700,60\r\nX-Savoryrill-Prompt-Prefix: " + aPrefix +
                      "\r\nX-Savoryrill-Deadline-Ms: 10000\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  std::string received;
  char data[4096];
  ssize_t size = 0;
  while (received.find("0\r\n\r\n") == std::string::npos && (size = recv(fd, data, sizeof data, 0)) > 0) {
    received.append(data, static_cast<std::size_t>(size));
    const auto head = received.find("\r\n\r\n");
    if (head != std::string::npos && received.compare(0, 12, "HTTP/1.1 200") != 0) {
      break;
    }
  }
  close(fd);
  aEnd = received.substr(0, received.find('\r'));
  const bool whole = received.find(aId + " " + std::to_string(gEvents) + "\n") != std::string::npos;
  if (!whole && aEnd.find(" 200") != std::string::npos) {
    aEnd += ", cut";
  }
  return whole;
}

inline Json::Value modelConfig()
{
  Json::Value config(Json::objectValue);
  config["version"] = 7;
  auto advice = route("advice", "/advice/", "streaming", "advisor", 1, 10000);
  advice["target_latency_ms"] = 800;
  advice["session_affinity"] = true;
  advice["resumable"] = false;
  advice["gap_target_ms"] = 300;
  config["routes"].append(advice);
  auto advisor = service("advisor", 310);
  auto& engine = advisor["engine"];
  engine["slots"] = kSlots;
  engine["kv_capacity_tokens"] = 100000;
  engine["weights_mb"] = 230000.0;
  engine["adapter_slots"] = 8;
  engine["loads_per_s"] = 4.2;
  for (const char* name : { "m1", "m2" }) {
    Json::Value model(Json::objectValue);
    model["name"] = name;
    model["weights_mb"] = 65100.0;
    model["load_s"] = 8.6;
    model["adapters"] = 0;
    model["adapter_mb"] = 12.0;
    model["warm_s"] = 1.1;
    model["disk_s"] = 2.0;
    engine["models"].append(model);
  }
  config["services"].append(advisor);
  config["limits"] = limits();
  return config;
}

} // namespace review
