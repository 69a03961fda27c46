// Clients read long answers slowly; others send bookings to the same service.

#include "standins.hpp"

using namespace review;

namespace {

constexpr int kRunners = 3;
constexpr int kExports = 6;  // of a round, at the same time
constexpr int kBookings = 3; // after them, at the same time
constexpr int kRounds = 12;
// Between two rounds, so that the connections of a round have been closed as idle.
constexpr auto kRoundPause = 3500ms;
constexpr std::size_t kExportBytes = 530000;
constexpr std::size_t kBookingBytes = 800;

struct Count
{
  std::atomic<int> sent{ 0 };
  std::atomic<int> served{ 0 };

  double share() const { return sent == 0 ? 0 : double(served) / double(sent); }
};

} // namespace

int
main(int argc, char** argv)
{
  const auto setup = Case::fromArguments(argc, argv);
  const bool trouble = troubleWanted();
  Record record(setup.record);
  Store store;
  std::mutex mutex;
  std::set<std::string> ran;
  std::vector<std::unique_ptr<Listener>> runners;
  for (int number = 0; number < kRunners; ++number) {
    runners.push_back(std::make_unique<Listener>());
    runners.back()->serve([&](Connection& aConnection) {
      while (const auto head = aConnection.takeHead(60s)) {
        if (!aConnection.takeBytes(lengthOf(*head), 10s)) {
          return;
        }
        const auto id = headerOf(*head, "X-Savoryrill-Attempt-Id");
        {
          const std::lock_guard lock(mutex);
          ran.insert(id);
        }
        std::this_thread::sleep_for(30ms);
        const auto size = id.starts_with("export") ? kExportBytes : kBookingBytes;
        if (!aConnection.write(runnerHead(id) + "Content-Length: " +
                               std::to_string(size) + "\r\n\r\n" + bodyFor(id, size))) {
          record.line("runner's answer to " + id + " is cut off");
          return;
        }
        record.line("runner ran " + id + " and has answered it in full");
      }
    });
  }
  store.put("op",
            "config",
            configuration({ route("/export/", "safe", 15000, 2),
                            route("/book/", "unsafe", 800, 1) }));
  const auto born = wallMs();
  std::atomic<bool> stopped{ false };
  std::thread heartbeats([&] {
    for (int sequence = 1; !stopped; ++sequence) {
      for (int number = 0; number < kRunners; ++number) {
        store.put("servers",
                  "i-" + std::to_string(number),
                  runnerRow(runners[std::size_t(number)]->port(), born, sequence));
      }
      for (int step = 0; step < 12 && !stopped; ++step) {
        std::this_thread::sleep_for(100ms);
      }
    }
  });

  int result = kHeld;
  {
    Gateway gateway(setup.gateway, setup.folder, "edge-xela-1", store.port());
    if (!gateway.waitUntilReady(20s)) {
      record.line("the gateway does not become ready");
      result = kCouldNotRun;
    } else {
      std::this_thread::sleep_for(1s);
      Count exports;
      Count bookings;
      const auto send = [&](Count& aCount,
                            const std::string& aPath,
                            const std::string& aId,
                            int aDeadlineMs,
                            std::size_t aBytes,
                            bool aSlow) {
        const auto connection =
          aSlow ? connectTo(gateway.callerPort(), { kEthernetSegment, 8192 })
                : connectTo(gateway.callerPort());
        if (!connection) {
          return;
        }
        ++aCount.sent;
        connection->write(clientRequest(aPath, aId, aDeadlineMs, "visit"));
        // Slow: about 400 KB a second.
        const auto answer = readAnswer(*connection,
                                       std::chrono::milliseconds(aDeadlineMs + 500),
                                       aSlow ? 4096 : 65536,
                                       aSlow ? 9ms : 0ms);
        const bool good =
          answer.complete && answer.status == 200 && answer.body == bodyFor(aId, aBytes);
        aCount.served += good ? 1 : 0;
        record.line("client gets for " + aId + ": " + answer.text());
      };
      for (int round = 1; round <= kRounds; ++round) {
        std::vector<std::thread> clients;
        for (int number = 1; number <= kExports; ++number) {
          clients.emplace_back([&, number] {
            const auto id =
              "export-" + std::to_string(round) + "-" + std::to_string(number);
            send(exports, "/export/1", id, 9000, kExportBytes, trouble);
          });
        }
        for (auto& client : clients) {
          client.join();
        }
        clients.clear();
        for (int number = 1; number <= kBookings; ++number) {
          clients.emplace_back([&, number] {
            const auto id =
              "booking-" + std::to_string(round) + "-" + std::to_string(number);
            send(bookings, "/book/1", id, 1500, kBookingBytes, false);
          });
        }
        for (auto& client : clients) {
          client.join();
        }
        std::this_thread::sleep_for(kRoundPause);
      }
      Count all;
      all.sent = exports.sent + bookings.sent;
      all.served = exports.served + bookings.served;
      record.line("exports: " + std::to_string(exports.sent) + " sent, " +
                  std::to_string(exports.served) +
                  " served; bookings: " + std::to_string(bookings.sent) + " sent, " +
                  std::to_string(bookings.served) + " served");
      if (bookings.share() < 0.25 * all.share()) {
        record.line("Starved is broken: bookings are served less than a quarter as often "
                    "as all requests");
        result = kBroken;
      } else if (!trouble && all.served != all.sent) {
        record.line("without trouble all should have been served");
        result = kCouldNotRun;
      }
    }
  }
  stopped = true;
  heartbeats.join();
  record.line(result == kHeld     ? "the rule held"
              : result == kBroken ? "the rule was broken"
                                  : "the case could not run");
  _exit(result);
}
