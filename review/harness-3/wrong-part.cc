// A prompt part crashes three runners. It is followed by a sound part that other requests have, too. Counts how many sound requests
// begin before and after. Usage: wrong-part FOLDER RECORD TROUBLE
#include "runners.hpp"

using namespace review;

namespace {

constexpr int kRunners = 8;
constexpr double kSoundPeriod = 0.6;
// Nobody asks for a rarely used model for a while.
constexpr double kQuiet = 62;
constexpr int kBefore = 22; // sound requests before the first crash; the rule asks for 20
constexpr int kAfter = 22;  // later than 2 x `contact_ms` after the last crash
constexpr int kCrashing = 3;
constexpr int kCrashingPauseMs = 300;
constexpr double kStillComePeriod = 4;

struct Counts
{
  int sent = 0;
  int begun = 0;
};

const char* modelOf(int aNumber)
{
  return aNumber % 2 == 0 ? "m1" : "m2";
}

} // namespace

int main(int argc, char** argv)
{
  if (argc != 4) {
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  gRecord.open(argv[2]);
  gEvents = 8;
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
  sleepMs(6000); // a leader is chosen, and nothing has been disturbed for `contact_ms`

  std::atomic<double> last_crash = 0; // 0: there was none yet
  std::atomic<bool> done = false;
  Counts before, after;
  // Sound callers reach the first machine, those with the deadly part the second one.
  const auto sound_request = [&](int aNumber) {
    char id[32];
    std::snprintf(id, sizeof id, "50%06d", aNumber);
    std::string end;
    const double sent = seconds();
    const double crash = last_crash;
    const bool begun = ask(gateways[0]->callerPort(), id, std::string("5c1e07a2:210,700150f7:90,") + id + ":300", end,
                           modelOf(aNumber)) ||
                       end.find(" 200") != std::string::npos;
    gRecord.line("sound request %s, sent at %.3f, ends: %s", id, sent, end.empty() ? "closed without an answer" : end.c_str());
    auto* counts = crash == 0 ? &before : sent > crash + 2 * kContactSeconds ? &after : nullptr;
    if (counts != nullptr) {
      ++counts->sent;
      counts->begun += begun ? 1 : 0;
    }
  };
  const auto deadly_request = [&](int aNumber) {
    char id[32];
    std::snprintf(id, sizeof id, "de%06d", aNumber);
    std::string end;
    // It shares all parts with sound requests but one, which is not the last.
    (void)ask(gateways[1]->callerPort(), id, std::string("5c1e07a2:210,") + kDeadly + ":140,700150f7:90," + id + ":300", end,
              modelOf(aNumber));
    gRecord.line("deadly request %s ends: %s", id, end.empty() ? "closed without an answer" : end.c_str());
  };
  std::vector<std::thread> threads;
  int sound = 0;
  double begin = seconds();
  const auto send_sound_until = [&](int aCount) {
    for (; sound < aCount; ++sound) {
      while (seconds() < begin + sound * kSoundPeriod) {
        sleepMs(2);
      }
      threads.emplace_back(sound_request, sound);
    }
  };
  send_sound_until(kBefore);
  gRecord.line("no requests for %.0f s", kQuiet);
  sleepMs(static_cast<int>(kQuiet * 1000));
  for (int i = 0; trouble && i < kCrashing; ++i) {
    threads.emplace_back(deadly_request, i);
    sleepMs(kCrashingPauseMs);
  }
  last_crash = gCrashes.empty() ? seconds() : gCrashes.back();
  // Requests with the part still come.
  std::thread still([&] {
    for (int i = kCrashing; trouble && !done; ++i) {
      for (int wait = 0; wait < static_cast<int>(kStillComePeriod * 10) && !done; ++wait) {
        sleepMs(100);
      }
      deadly_request(i);
    }
  });
  begin = seconds() - sound * kSoundPeriod;
  const int skipped = static_cast<int>(2 * kContactSeconds / kSoundPeriod) + 2;
  send_sound_until(kBefore + skipped + kAfter);
  done = true;
  still.join();
  for (auto& thread : threads) {
    thread.join();
  }
  gRecord.line("%zu crashes; sound requests that began: %d of %d before, %d of %d later than 6 s after the last crash",
               gCrashes.size(), before.begun, before.sent, after.begun, after.sent);
  const bool enough = before.sent >= 20 && after.sent >= 20 && before.begun > 0;
  const bool broken = enough && trouble && 2 * after.begun * before.sent < before.begun * after.sent;
  gRecord.line("%s", broken ? "LOST: the rule is broken" : "the rule held");
  for (const auto& gateway : gateways) {
    gateway->end();
  }
  _exit(broken ? 1 : enough && (!trouble || gCrashes.size() >= kCrashing) ? 0 : 2);
}
