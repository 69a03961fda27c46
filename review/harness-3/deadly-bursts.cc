// Requests with a prompt part that crashes runners come three at a time. Counts those that reach runners later than `contact_ms`
// after the fifth crash. Usage: deadly-bursts FOLDER RECORD TROUBLE
#include "standins.hpp"

#include <algorithm>
#include <set>

using namespace review;

namespace {

constexpr const char* kDeadly = "dead0bad";
constexpr int kRunners = 6;
constexpr int kSlots = 8;
constexpr int kBackAfterMs = 2500;
constexpr int kBurst = 3;
constexpr double kBurstPeriod = 4;
constexpr int kBursts = 7;
constexpr double kContactSeconds = 3;
constexpr int kEvents = 20;
constexpr int kEventPauseMs = 60;

std::mutex gMutex;
std::vector<double> gCrashes;
std::vector<double> gDeadlyArrivals;

/// A model runner that holds one model. It crashes when it begins to write an answer on the deadly part, and is back some seconds
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
    Json::Value model(Json::objectValue);
    model["name"] = "m1";
    model["version"] = 1;
    model["adapters"] = Json::Value(Json::arrayValue);
    Json::Value list(Json::arrayValue);
    list.append(model);
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
      crash(aIncarnation);
      return false;
    }
    if (!sendAll(aFd, "HTTP/1.1 200 OK\r\nX-Savoryrill-Attempt-Id: " + id + "\r\nX-Savoryrill-Response-Signature: " +
                        signatureFor(id) + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")) {
      return false;
    }
    for (int i = 1; i <= kEvents; ++i) {
      sleepMs(kEventPauseMs);
      const std::string event = "id: " + std::to_string(i) + "\ndata: " + id + " " + std::to_string(i) + "\n\n";
      char size[16];
      std::snprintf(size, sizeof size, "%zx\r\n", event.size());
      if (!sendAll(aFd, size + event + "\r\n")) {
        return false;
      }
    }
    return sendAll(aFd, "0\r\n\r\n");
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
bool ask(int aPort, const std::string& aId, const std::string& aPrefix, std::string& aEnd)
{
  const int fd = connectTo(aPort);
  const std::string body = "{\"q\":\"" + aId + "\"}";
  (void)sendAll(fd, "POST /advice/a HTTP/1.1\r\nHost: desk.example\r\nX-Savoryrill-Attempt-Id: " + aId +
                      "\r\nX-Savoryrill-Model: m1\r\nX-Savoryrill-Token-Usage: 700,60\r\nX-Savoryrill-Prompt-Prefix: " + aPrefix +
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
  const bool whole = received.find(aId + " " + std::to_string(kEvents) + "\n") != std::string::npos;
  if (!whole && aEnd.find(" 200") != std::string::npos) {
    aEnd += ", cut";
  }
  return whole;
}

} // namespace

int main(int argc, char** argv)
{
  if (argc != 4) {
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  gRecord.open(argv[2]);
  const bool trouble = std::string(argv[3]) != "0";
  Store store;
  std::vector<std::unique_ptr<Runner>> runners;
  for (int i = 1; i <= kRunners; ++i) {
    runners.push_back(std::make_unique<Runner>(store, i));
  }
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
  Json::Value model(Json::objectValue);
  model["name"] = "m1";
  model["weights_mb"] = 65100.0;
  model["load_s"] = 8.6;
  model["adapters"] = 0;
  model["adapter_mb"] = 12.0;
  model["warm_s"] = 1.1;
  model["disk_s"] = 2.0;
  engine["models"].append(model);
  config["services"].append(advisor);
  config["limits"] = limits();
  store.put("op", "config", config);

  std::vector<std::unique_ptr<Gateway>> gateways;
  for (int i = 1; i <= 2; ++i) {
    gateways.push_back(std::make_unique<Gateway>(argv[1], "edge-xela-" + std::to_string(i), store.port()));
    gateways.back()->start();
  }
  for (const auto& gateway : gateways) {
    if (!gateway->awaitReady(10)) {
      _exit(2);
    }
  }
  sleepMs(6000); // a leader is chosen and undisturbed; nothing has been disturbed for `contact_ms`

  std::atomic<bool> done = false;
  std::atomic<int> sound = 0, served = 0, cut = 0, refused = 0;
  std::vector<std::thread> threads;
  for (int client = 0; client < 4; ++client) {
    threads.emplace_back([&, client] {
      for (int n = 0; !done; ++n) {
        char id[32];
        std::snprintf(id, sizeof id, "50%02d%04d", client, n);
        std::string end;
        const bool whole = ask(gateways[static_cast<std::size_t>((client + n) % 2)]->callerPort(), id,
                               "5c1e07a2:210,a0" + std::to_string(n % 5) + ":140," + id + ":300", end);
        ++sound;
        served += whole ? 1 : 0;
        cut += !whole && end.find("cut") != std::string::npos ? 1 : 0;
        refused += !whole && end.find("cut") == std::string::npos ? 1 : 0;
        if (!whole) {
          gRecord.line("sound request %s ends: %s", id, end.empty() ? "closed without an answer" : end.c_str());
        }
        sleepMs(200);
      }
    });
  }
  const double begin = seconds() + 1;
  for (int burst = 0; burst < kBursts; ++burst) {
    while (seconds() < begin + burst * kBurstPeriod) {
      sleepMs(5);
    }
    for (int i = 0; trouble && i < kBurst; ++i) {
      threads.emplace_back([&, burst, i] {
        char id[32];
        std::snprintf(id, sizeof id, "de%02d%04d", burst, i);
        std::string end;
        // It shares its first part with all sound requests and is like no other.
        (void)ask(gateways[static_cast<std::size_t>(i % 2)]->callerPort(), id,
                  std::string("5c1e07a2:210,") + kDeadly + ":140,b" + id + ":90," + id + ":300", end);
        gRecord.line("deadly request %s ends: %s", id, end.empty() ? "closed without an answer" : end.c_str());
      });
    }
  }
  sleepMs(2500);
  done = true;
  for (auto& thread : threads) {
    thread.join();
  }
  int late = 0;
  if (gCrashes.size() >= 5) {
    std::sort(gCrashes.begin(), gCrashes.end());
    const double bound = gCrashes[4] + kContactSeconds;
    late = static_cast<int>(std::count_if(gDeadlyArrivals.begin(), gDeadlyArrivals.end(), [&](double aAt) { return aAt > bound; }));
    gRecord.line("fifth crash at %.3f, of %zu; %d deadly requests reached runners later than %.3f (more than 3 break the rule)",
                 gCrashes[4], gCrashes.size(), late, bound);
  }
  gRecord.line("sound requests: %d, whole %d, cut midway %d, other answers %d", sound.load(), served.load(), cut.load(), refused.load());
  const bool broken = late > 3;
  gRecord.line("%s", broken ? "BUDGET: the rule is broken" : "the rule held");
  for (const auto& gateway : gateways) {
    gateway->end();
  }
  const bool ran = trouble ? gCrashes.size() >= 5 : served > 0 && served == sound;
  _exit(broken ? 1 : ran ? 0 : 2);
}
