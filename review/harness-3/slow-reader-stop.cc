// A client reads a long answer steadily while the machine is stopped (SIGTERM). The answer has been passed on from a sound
// server; it must arrive whole, or fail before `grace_s` is nearly over. Usage: slow-reader-stop FOLDER RECORD TROUBLE
#include "standins.hpp"

using namespace review;

namespace {

constexpr int kGateways = 4;
// Sizes in steps, since what is left unsent at the end of an answer depends on the room in the kernel's buffers then.
constexpr std::size_t kAnswerBytes = 3000UL * 1024;
constexpr std::size_t kStepBytes = 60UL * 1024;
// About 4.8 Mbit/s: a client behind a slow line, which takes 5 s for the answer.
constexpr std::size_t kReadBytes = 6UL * 1024;
constexpr int kReadPauseMs = 10;
// Size of a segment on Ethernet. On loopback it would be 64 KB, and the kernel would hold megabytes for a connection.
constexpr int kSegmentBytes = 1460;
// Between two stops, as in a rolling restart.
constexpr int kGapMs = 1000;
constexpr int kBeforeStopMs = 500;
constexpr double kGraceSeconds = 8;

struct Outcome
{
  bool answered = false;
  bool whole = false;
  std::size_t bytes = 0;
  std::size_t stated = 0;
  std::string signature;
  double ended = 0;
};

/// Sends one safe request and reads its answer at a steady rate.
Outcome fetch(int aPort, const std::string& aId, std::size_t aBytes)
{
  Outcome outcome;
  const int fd = connectTo(aPort, 16 * 1024, kSegmentBytes);
  (void)sendAll(fd, "GET /plans/" + std::to_string(aBytes) + " HTTP/1.1\r\nHost: desk.example\r\nX-Savoryrill-Attempt-Id: " + aId +
                      "\r\nX-Savoryrill-Deadline-Ms: 30000\r\n\r\n");
  gRecord.line("client sends request %s for %zu bytes", aId.c_str(), aBytes);
  std::string received;
  std::string data(kReadBytes, '\0');
  while (true) {
    const ssize_t size = recv(fd, data.data(), data.size(), 0);
    if (size <= 0) {
      gRecord.line("client of %s: connection ends, %s", aId.c_str(), size == 0 ? "in order" : std::strerror(errno));
      break;
    }
    received.append(data.data(), static_cast<std::size_t>(size));
    const auto head = received.find("\r\n\r\n");
    if (head != std::string::npos && !outcome.answered) {
      outcome.answered = true;
      const Request parsed{ "", "", "", received.substr(0, head + 2) };
      outcome.stated = std::stoul("0" + parsed.header("Content-Length"));
      outcome.signature = parsed.header("X-Savoryrill-Response-Signature");
      gRecord.line("client of %s gets the head: %s, length %zu", aId.c_str(), received.substr(0, received.find('\r')).c_str(), outcome.stated);
    }
    if (outcome.answered && outcome.stated > 0 && received.size() >= head + 4 + outcome.stated) {
      break;
    }
    sleepMs(kReadPauseMs);
  }
  const auto head = received.find("\r\n\r\n");
  const std::string body = head == std::string::npos ? "" : received.substr(head + 4);
  outcome.bytes = body.size();
  outcome.whole = body == bodyFor(aId, aBytes) && outcome.signature == signatureFor(aId);
  outcome.ended = seconds();
  close(fd);
  return outcome;
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
  PlainServer server(store, "i-1", "desk", 6, [](int aFd, const Request& aRequest) {
    const std::string id = aRequest.header("X-Savoryrill-Attempt-Id");
    gRecord.line("server runs request %s", id.c_str());
    const std::string body = bodyFor(id, std::stoul(aRequest.target.substr(7)));
    const bool sent = sendAll(aFd, "HTTP/1.1 200 OK\r\nX-Savoryrill-Attempt-Id: " + id +
                                     "\r\nX-Savoryrill-Response-Signature: " + signatureFor(id) +
                                     "\r\nContent-Type: application/octet-stream\r\nContent-Length: " +
                                     std::to_string(body.size()) + "\r\n\r\n") &&
                      sendAll(aFd, body);
    gRecord.line("server has %s its answer to %s", sent ? "sent" : "NOT sent", id.c_str());
    return sent;
  });
  Json::Value config(Json::objectValue);
  config["version"] = 7;
  config["routes"].append(route("plans", "/plans/", "safe", "desk", 2, 30000));
  config["services"].append(service("desk", 110));
  config["limits"] = limits();
  store.put("op", "config", config);

  std::vector<std::unique_ptr<Gateway>> gateways;
  for (int i = 0; i < kGateways; ++i) {
    gateways.push_back(std::make_unique<Gateway>(argv[1], "edge-xela-" + std::to_string(i + 1), store.port()));
    gateways.back()->start();
  }
  for (const auto& gateway : gateways) {
    if (!gateway->awaitReady(10)) {
      _exit(2);
    }
  }
  sleepMs(500);
  bool broken = false;
  bool whole = true;
  std::mutex mutex;
  std::vector<std::thread> clients;
  for (int i = 0; i < kGateways; ++i) {
    auto& gateway = *gateways[static_cast<std::size_t>(i)];
    const double stop_at = seconds() + kBeforeStopMs / 1000.0;
    clients.emplace_back([&, i, stop_at] {
      const std::string id = "5a0" + std::to_string(i);
      const std::size_t bytes = kAnswerBytes + static_cast<std::size_t>(i) * kStepBytes;
      const auto outcome = fetch(gateway.callerPort(), id, bytes);
      const std::lock_guard lock(mutex);
      gRecord.line("client of %s has %zu of %zu bytes, %s; %.2f s after the time of the stop", id.c_str(), outcome.bytes,
                   bytes, outcome.whole ? "whole" : "NOT whole", outcome.ended - stop_at);
      // By the rule: the request was passed on, and its connection ended without a complete answer, long before `grace_s`
      // was over. The deadline and the route's timeout were 30 s, and the server had sent all.
      broken = broken || (outcome.answered && !outcome.whole && outcome.ended - stop_at < kGraceSeconds * 5 / 6);
      whole = whole && outcome.whole;
    });
    sleepMs(kBeforeStopMs);
    if (trouble) {
      gRecord.line("SIGTERM to edge-xela-%d, grace_s is %.0f", i + 1, kGraceSeconds);
      gateway.signal(SIGTERM);
    }
    sleepMs(kGapMs - kBeforeStopMs);
  }
  std::atomic<bool> done = false;
  std::thread watch([&] {
    while (!done) {
      for (const auto& gateway : gateways) {
        (void)gateway->ended();
      }
      sleepMs(5);
    }
  });
  for (auto& client : clients) {
    client.join();
  }
  done = true;
  watch.join();
  gRecord.line("%s", broken ? "LOST: the rule is broken" : "the rule held");
  for (const auto& gateway : gateways) {
    gateway->end();
  }
  _exit(broken ? 1 : whole ? 0 : 2);
}
