// Requests with a prompt part that crashes runners come one at a time; the part stands behind the turns of a long conversation.
// Counts those that reach runners later than `contact_ms` after the fifth crash. Usage: deadly-long FOLDER RECORD TROUBLE
#include "runners.hpp"

using namespace review;

namespace {

constexpr int kRunners = 6;
constexpr int kBurst = 1;
constexpr double kBurstPeriod = 2;
constexpr int kBursts = 16;
// Parts of the conversation before the deadly one.
constexpr int kTurns = 35;

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
  store.put("op", "config", modelConfig());

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
        std::string prefix = "5c1e07a2:210";
        for (int turn = 0; turn < kTurns; ++turn) {
          prefix += std::string(",c") + id + std::to_string(turn) + ":20";
        }
        (void)ask(gateways[static_cast<std::size_t>(burst % 2)]->callerPort(), id,
                  prefix + "," + kDeadly + ":140," + id + ":300", end);
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
