// A runner that works on a stream's request reads the rest of its long body only after
// some seconds. It stops work as soon as its connection is closed or reset.

#include "standins.hpp"

using namespace review;

namespace {

constexpr int kRunners = 3;
constexpr int kRequests = 4;
constexpr std::size_t kRequestBytes = 1024UL * 1024;
constexpr int kReceiveBuffer = 128 * 1024;
constexpr std::size_t kReadAtOnce = 100UL * 1024; // of the body, before the pause
constexpr auto kShortPause = 500ms;
constexpr auto kLongPause = 4s;  // of a runner that reads slowly
constexpr auto kAllowed = 400ms; // RULES.md, TWICE: "still works on it 400 ms later"
constexpr int kEvents = 5;

/// One request at one runner.
struct Run
{
  std::string id;
  std::string runner;
  Clock::time_point begun;
  std::optional<Clock::time_point> ended; // the runner works on it until then
};

class Runs
{
public:
  std::size_t begin(const std::string& aId, const std::string& aRunner)
  {
    const std::lock_guard lock(mMutex);
    mRuns.push_back({ aId, aRunner, Clock::now(), {} });
    return mRuns.size() - 1;
  }
  bool isFirst(const std::string& aId)
  {
    const std::lock_guard lock(mMutex);
    int count = 0;
    for (const auto& run : mRuns) {
      count += run.id == aId ? 1 : 0;
    }
    return count == 1;
  }
  void end(std::size_t aRun)
  {
    const std::lock_guard lock(mMutex);
    mRuns[aRun].ended = Clock::now();
  }
  std::vector<Run> all()
  {
    const std::lock_guard lock(mMutex);
    return mRuns;
  }

private:
  std::mutex mMutex;
  std::vector<Run> mRuns;
};

/// True if the other side closes or resets the connection within the time. Reads nothing.
bool
closedWithin(Connection& aConnection, std::chrono::milliseconds aTime)
{
  pollfd waiting{ aConnection.fd(), POLLRDHUP, 0 };
  return poll(&waiting, 1, static_cast<int>(aTime.count())) > 0 &&
         (waiting.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

std::string
chunk(const std::string& aText)
{
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", aText.size());
  return size + aText + "\r\n";
}

} // namespace

int
main(int argc, char** argv)
{
  const auto setup = Case::fromArguments(argc, argv);
  const bool trouble = troubleWanted();
  Record record(setup.record);
  Store store;
  Runs runs;
  std::vector<std::unique_ptr<Listener>> runners;
  for (int number = 0; number < kRunners; ++number) {
    const std::string runner = "i-" + std::to_string(number);
    runners.push_back(
      std::make_unique<Listener>(SocketOptions{ kEthernetSegment, kReceiveBuffer }));
    runners.back()->serve([&, runner](Connection& aConnection) {
      const auto head = aConnection.takeHead(60s);
      if (!head) {
        return;
      }
      const auto id = headerOf(*head, "X-Savoryrill-Attempt-Id");
      const auto run = runs.begin(id, runner);
      const bool slow = trouble && runs.isFirst(id);
      const auto after = headerOf(*head, "Last-Event-Id");
      record.line("runner " + runner + " begins to work on " + id +
                  (after.empty() ? "" : ", after event " + after));
      const auto length = lengthOf(*head);
      const auto event = [&](int aNumber) {
        return aConnection.write(
          chunk("id: " + std::to_string(aNumber) + "\ndata: " + id + "\n\n"));
      };
      // It answers before it has read the body: the head and one event.
      int next = std::atoi(after.c_str()) + 1;
      aConnection.write("HTTP/1.1 200 -\r\nContent-Type: text/event-stream\r\n"
                        "X-Savoryrill-Attempt-Id: " +
                        id + "\r\nX-Savoryrill-Response-Signature: s." + id +
                        "\r\nTransfer-Encoding: chunked\r\n\r\n");
      event(next++);
      // The next event needs the rest of the body.
      bool gone = !aConnection.takeBytes(kReadAtOnce, 5s) ||
                  closedWithin(aConnection, slow ? kLongPause : kShortPause) ||
                  !aConnection.takeBytes(length - kReadAtOnce, 10s);
      while (!gone && next <= kEvents) {
        gone = !event(next++);
        std::this_thread::sleep_for(20ms);
      }
      gone = gone || !aConnection.write("0\r\n\r\n");
      runs.end(run);
      record.line("runner " + runner + (gone ? " drops " : " has answered ") + id);
    });
  }
  auto estimate = route("/estimate/", "streaming", 20000, 2);
  estimate["resumable"] = true;
  estimate["gap_target_ms"] = 300;
  estimate["target_latency_ms"] = 4000;
  store.put("op", "config", configuration({ estimate }));
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
      std::this_thread::sleep_for(4s); // longer than contact_ms
      for (int number = 1; number <= kRequests; ++number) {
        const auto id = "estimate-" + std::to_string(number);
        const auto connection = connectTo(gateway.callerPort());
        if (!connection) {
          result = kCouldNotRun;
          break;
        }
        record.line("client sends " + id + " with " + std::to_string(kRequestBytes) +
                    " bytes of body");
        connection->write(
          clientRequest("/estimate/1", id, 19000, std::string(kRequestBytes, 'x')));
        const auto answer = readAnswer(*connection, 20s);
        record.line("client gets for " + id + ": " + answer.text());
        if (!trouble && (!answer.complete || answer.status != 200)) {
          record.line("without trouble it should have been served");
          result = kCouldNotRun;
        }
        std::this_thread::sleep_for(kLongPause); // until the first runner is through
      }
      const auto all = runs.all();
      for (const auto& first : all) {
        for (const auto& second : all) {
          const auto overlap = std::min(first.ended.value_or(Clock::now()),
                                        second.ended.value_or(Clock::now())) -
                               second.begun;
          const auto still = first.ended.value_or(Clock::now()) - second.begun;
          if (first.id != second.id || second.begun <= first.begun || still <= kAllowed) {
            continue;
          }
          record.line(
            "TWICE is broken: runner " + second.runner + " works on " + second.id +
            " while runner " + first.runner + " still works on it " +
            std::to_string(
              std::chrono::duration_cast<std::chrono::milliseconds>(still).count()) +
            " ms later, both at the same time for " +
            std::to_string(
              std::chrono::duration_cast<std::chrono::milliseconds>(overlap).count()) +
            " ms");
          result = std::max(result, kBroken);
        }
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
