// Clients read answers slowly, and the machine that answers them is stopped as planned.

#include "standins.hpp"

using namespace review;

namespace {

constexpr int kClients = 6;
constexpr std::size_t kAnswerBytes = 480000;
constexpr std::size_t kStep = 1400; // bytes that a client reads at a time
constexpr auto kPause = 22ms;       // after each: 60 KB a second, 8 s for an answer
constexpr auto kGrace = 8s;
constexpr int kDeadlineMs = 14000;

} // namespace

int
main(int argc, char** argv)
{
  const auto setup = Case::fromArguments(argc, argv);
  const bool trouble = troubleWanted();
  Record record(setup.record);
  Store store;
  Listener runner;
  std::mutex mutex;
  std::set<std::string> finished; // requests whose whole answer the runner has sent
  runner.serve([&](Connection& aConnection) {
    while (const auto head = aConnection.takeHead(60s)) {
      if (!aConnection.takeBytes(lengthOf(*head), 10s)) {
        return;
      }
      const auto id = headerOf(*head, "X-Savoryrill-Attempt-Id");
      std::this_thread::sleep_for(30ms);
      const bool sent = aConnection.write(
        runnerHead(id) + "Content-Length: " + std::to_string(kAnswerBytes) + "\r\n\r\n" +
        bodyFor(id, kAnswerBytes));
      record.line("runner ran " + id + (sent ? ", answer sent" : ", answer cut off"));
      const std::lock_guard lock(mutex);
      if (sent) {
        finished.insert(id);
      }
    }
  });
  store.put("op", "config", configuration({ route("/book/", "unsafe", 15000, 1) }));
  const auto born = wallMs();
  std::atomic<bool> stopped{ false };
  std::thread heartbeats([&] {
    for (int sequence = 1; !stopped; ++sequence) {
      store.put("servers", "i-1", runnerRow(runner.port(), born, sequence));
      for (int step = 0; step < 12 && !stopped; ++step) {
        std::this_thread::sleep_for(100ms);
      }
    }
  });

  int result = kHeld;
  {
    // The second machine goes on running, as in a rolling stop.
    Gateway stopping(setup.gateway, setup.folder, "edge-xela-1", store.port());
    Gateway other(setup.gateway, setup.folder, "edge-xela-2", store.port());
    if (!stopping.waitUntilReady(20s) || !other.waitUntilReady(20s)) {
      record.line("the gateways do not become ready");
      result = kCouldNotRun;
    } else {
      std::this_thread::sleep_for(4s); // longer than contact_ms
      std::vector<std::thread> clients;
      std::atomic<int> lost{ 0 };
      std::atomic<int> failed{ 0 };
      std::atomic<std::int64_t> stopped_at{ 0 };
      const auto begin = Clock::now();
      const auto since = [&] {
        return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - begin)
          .count();
      };
      for (int number = 1; number <= kClients; ++number) {
        clients.emplace_back([&, number] {
          const std::string id = "read-" + std::to_string(number);
          const auto connection =
            connectTo(stopping.callerPort(), { kEthernetSegment, 4096 });
          if (!connection ||
              !connection->write(clientRequest("/book/1", id, kDeadlineMs, "visit"))) {
            ++failed;
            return;
          }
          record.line("client sends " + id);
          const auto answer = readAnswer(
            *connection, std::chrono::milliseconds(kDeadlineMs), kStep, kPause);
          const auto at = since();
          record.line("client gets for " + id + ": " + answer.text() + ", after " +
                      std::to_string(at) + " ms");
          const std::lock_guard lock(mutex);
          if (answer.complete && answer.body == bodyFor(id, kAnswerBytes)) {
            return;
          }
          const bool in_time =
            stopped_at > 0 &&
            at <= stopped_at + std::chrono::milliseconds(kGrace + 1s).count();
          if (!answer.complete && finished.contains(id) && in_time) {
            ++lost;
            record.line("LOST is broken: " + id +
                        " was passed on to a runner, which has answered it in full, and "
                        "its connection ends without a complete answer");
          } else {
            ++failed;
          }
        });
      }
      std::this_thread::sleep_for(1s);
      if (trouble) {
        stopped_at = since();
        stopping.signal(SIGTERM);
        record.line("SIGTERM to edge-xela-1");
        while (!stopping.ended() && since() < stopped_at + 10000) {
          std::this_thread::sleep_for(20ms);
        }
        record.line("edge-xela-1 has ended " + std::to_string(since() - stopped_at) +
                    " ms after SIGTERM");
      }
      for (auto& client : clients) {
        client.join();
      }
      result = lost > 0 ? kBroken : failed > 0 ? kCouldNotRun : kHeld;
    }
  }
  stopped = true;
  heartbeats.join();
  record.line(result == kHeld     ? "the rule held"
              : result == kBroken ? "the rule was broken"
                                  : "the case could not run");
  _exit(result);
}
