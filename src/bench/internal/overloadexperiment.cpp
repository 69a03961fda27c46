#include "bench/experiments.h"

#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>

#include "bench/eventqueue.h"
#include "routing/admission.h"
#include "routing/circuitbreaker.h"
#include "routing/retrybudget.h"
#include "routing/upstreamchoice.h"
#include "routing/waitqueue.h"

namespace savoryrill::bench {

namespace {

constexpr std::size_t kRouters = 9;
constexpr std::size_t kEngines = 6;
constexpr std::uint32_t kPlaces = 16;
// An engine refuses requests, as not run, beyond this many waiting ones.
constexpr std::size_t kBoundedQueue = 64;
constexpr std::size_t kUnboundedQueue = 1000000;
constexpr Duration kDeadline = 10s;
constexpr double kServiceSeconds = 1.0;
constexpr double kCapacity = kEngines * kPlaces / kServiceSeconds;
constexpr double kNormalRate = 0.6 * kCapacity;
constexpr double kBurstRate = 4 * kCapacity;
constexpr Instant kBurstStart{ 60s };
constexpr Instant kBurstEnd{ 120s };
constexpr std::size_t kCallerTries = 4;
constexpr Duration kCallerPause = 1s;
constexpr std::uint32_t kRouterRetries = 3;
constexpr Duration kRetryBase = 20ms;
constexpr Duration kRetryLimit = 1s;
constexpr Duration kReportPeriod = 500ms;
constexpr double kRecovered = 0.95;
constexpr std::size_t kRecoveryWindow = 10; // seconds

/// Which protections are in use.
struct Protection
{
  std::string name;
  bool boundedQueue = false; // dispatch only to free places; bounded queue with shedding
  bool cancels = false;      // work of callers that have given up is cancelled
  bool admission = false;
  bool retryBudget = false; // and full jitter, in place of retries at once
};

struct OverloadResult
{
  std::vector<std::size_t> goodPerSecond;
  Samples answerTime;
  std::size_t requests = 0;
  std::size_t answered = 0;
  std::size_t attempts = 0; // at engines
  std::size_t highRequests = 0;
  std::size_t highAnswered = 0;
};

/// Callers that repeat, routers with the decision code, and engines with a bounded queue.
class OverloadModel
{
public:
  OverloadModel(const Protection& aProtection,
                std::size_t aEngineQueue,
                Duration aTime,
                std::uint64_t aSeed)
    : mProtection(aProtection)
    , mEngineQueue(aEngineQueue)
    , mEnd(Instant() + aTime)
    , mEngines(kEngines)
    , mRandom(aSeed)
  {
    for (std::size_t i = 0; i < kRouters; ++i) {
      mRouters.push_back(std::make_unique<Router>());
      mRouters.back()->random.seed(aSeed * 1000 + i);
    }
    mResult.goodPerSecond.resize(static_cast<std::size_t>(toSeconds(aTime)) + 1);
  }

  OverloadResult run()
  {
    report();
    arrive();
    mEvents.runUntil(mEnd);
    return mResult;
  }

private:
  struct Request
  {
    Instant firstTry;
    Instant arrival;
    Instant deadline;
    Instant dispatchedAt;
    config::Priority priority = config::Priority::Normal;
    std::size_t tries = 0; // by the caller
    std::uint32_t retries = 0;
    std::size_t router = 0;
    std::uint64_t queuedAs = 0; // in the router's queue, 0: not there
    bool open = true;           // the caller waits
  };
  using RequestPtr = std::shared_ptr<Request>;
  struct Router
  {
    routing::ChoicePolicy policy = routing::PowerOfTwoChoices{};
    routing::WaitQueue queue{ {} };
    routing::RetryBudget budget;
    routing::DurationEstimator times;
    std::mt19937_64 random;
    std::vector<std::uint32_t> inFlight = std::vector<std::uint32_t>(kEngines);
    std::vector<routing::CircuitBreaker> breakers =
      std::vector<routing::CircuitBreaker>(kEngines);
    std::map<std::uint64_t, RequestPtr> waiting;
  };
  struct Engine
  {
    std::uint32_t running = 0;
    std::deque<RequestPtr> queue;
    std::uint32_t reported = 0;
  };

  double uniform() { return static_cast<double>(mRandom() >> 11) * 0x1p-53; }

  void report()
  {
    for (auto& engine : mEngines) {
      engine.reported = engine.running + static_cast<std::uint32_t>(engine.queue.size());
    }
    mEvents.after(kReportPeriod, [this] { report(); });
  }

  void arrive()
  {
    const bool burst = mEvents.now() >= kBurstStart && mEvents.now() < kBurstEnd;
    const double gap = -std::log(1 - uniform()) / (burst ? kBurstRate : kNormalRate);
    mEvents.after(Duration(static_cast<std::int64_t>(gap * 1e6)), [this] {
      auto request = std::make_shared<Request>();
      request->firstTry = mEvents.now();
      const double kind = uniform();
      request->priority = kind < 0.2   ? config::Priority::High
                          : kind < 0.8 ? config::Priority::Normal
                                       : config::Priority::Low;
      ++mResult.requests;
      mResult.highRequests += request->priority == config::Priority::High ? 1 : 0;
      submit(request);
      arrive();
    });
  }

  // A try of a caller, at any router.
  void submit(const RequestPtr& aRequest)
  {
    aRequest->arrival = mEvents.now();
    aRequest->deadline = mEvents.now() + kDeadline;
    aRequest->router = mRandom() % kRouters;
    ++aRequest->tries;
    auto& router = *mRouters[aRequest->router];
    router.budget.requestArrived();
    mEvents.at(aRequest->deadline, [this, aRequest] { refuse(aRequest); });
    if (mProtection.admission && !admitted(router, *aRequest)) {
      refuse(aRequest);
      return;
    }
    if (!mProtection.boundedQueue) {
      dispatch(router, aRequest);
      return;
    }
    const std::uint64_t id = ++mLast;
    const auto offer = router.queue.offer(waitingOf(id, *aRequest, mEvents.now()));
    if (!offer.accepted) {
      refuse(aRequest);
      return;
    }
    router.waiting[id] = aRequest;
    aRequest->queuedAs = id;
    for (const auto shed : offer.shed) {
      const auto victim = router.waiting.at(shed);
      refuse(victim);
    }
    pump(router);
  }

  static routing::WaitingRequest waitingOf(std::uint64_t aId,
                                           const Request& aRequest,
                                           Instant aNotBefore)
  {
    routing::WaitingRequest waiting;
    waiting.request = aId;
    waiting.priority = aRequest.priority;
    waiting.arrival = aRequest.arrival;
    waiting.deadline = aRequest.deadline;
    waiting.notBefore = aNotBefore;
    return waiting;
  }

  bool admitted(Router& aRouter, const Request& aRequest)
  {
    const Instant now = mEvents.now();
    routing::AdmissionInput input;
    input.untilDeadline = aRequest.deadline - now;
    input.slots = kEngines * kPlaces;
    input.requestsAhead =
      aRouter.queue.countAheadOf(aRequest.priority, aRequest.deadline, now);
    input.serviceTime = aRouter.times.estimate("service", now).value_or(Duration::zero());
    return routing::admit(input).admitted;
  }

  // The caller gets no answer from this try, and tries again.
  void refuse(const RequestPtr& aRequest)
  {
    if (!aRequest->open) {
      return;
    }
    aRequest->open = false;
    auto& router = *mRouters[aRequest->router];
    router.queue.remove(aRequest->queuedAs);
    router.waiting.erase(aRequest->queuedAs);
    if (aRequest->tries < kCallerTries) {
      auto next = std::make_shared<Request>(*aRequest);
      next->open = true;
      next->queuedAs = 0;
      next->retries = 0;
      mEvents.after(kCallerPause, [this, next] { submit(next); });
    }
  }

  std::vector<routing::Candidate> candidates(const Router& aRouter) const
  {
    std::vector<routing::Candidate> result;
    for (std::size_t i = 0; i < kEngines; ++i) {
      const bool full = mProtection.boundedQueue && aRouter.inFlight[i] >= kPlaces;
      if (full || !aRouter.breakers[i].allows(mEvents.now())) {
        continue;
      }
      routing::Candidate candidate;
      candidate.upstream = std::to_string(i);
      candidate.reportedLoad = mEngines[i].reported;
      candidate.ownInFlight = aRouter.inFlight[i];
      result.push_back(std::move(candidate));
    }
    return result;
  }

  void pump(Router& aRouter)
  {
    while (true) {
      const auto taken = aRouter.queue.take(
        mEvents.now(), [&](const auto&) { return !candidates(aRouter).empty(); });
      if (!taken) {
        return;
      }
      const auto request = aRouter.waiting.extract(taken->request).mapped();
      if (request->open) {
        dispatch(aRouter, request);
      }
    }
  }

  void dispatch(Router& aRouter, const RequestPtr& aRequest)
  {
    const auto found = candidates(aRouter);
    const auto chosen = routing::choose(aRouter.policy, found, aRouter.random);
    if (!chosen) {
      refuse(aRequest);
      return;
    }
    const auto index = static_cast<std::size_t>(std::stoul(found[*chosen].upstream));
    auto& engine = mEngines[index];
    aRouter.breakers[index].dispatched(mEvents.now());
    ++mResult.attempts;
    if (engine.queue.size() >= mEngineQueue) {
      // Overload is an answer: it does not open the circuit.
      aRouter.breakers[index].succeeded();
      retry(aRouter, aRequest);
      return;
    }
    ++aRouter.inFlight[index];
    aRequest->dispatchedAt = mEvents.now();
    engine.queue.push_back(aRequest);
    work(index);
  }

  void retry(Router& aRouter, const RequestPtr& aRequest)
  {
    const bool allowed = aRequest->retries < kRouterRetries &&
                         (!mProtection.retryBudget || aRouter.budget.takeRetry());
    if (!allowed) {
      refuse(aRequest);
      return;
    }
    Duration delay = Duration::zero();
    if (mProtection.retryBudget) {
      delay =
        routing::fullJitter(aRequest->retries, kRetryBase, kRetryLimit, aRouter.random);
    }
    ++aRequest->retries;
    if (!mProtection.boundedQueue) {
      mEvents.after(delay, [this, &aRouter, aRequest] {
        if (aRequest->open) {
          dispatch(aRouter, aRequest);
        }
      });
      return;
    }
    const std::uint64_t id = ++mLast;
    aRouter.waiting[id] = aRequest;
    aRequest->queuedAs = id;
    aRouter.queue.putBack(waitingOf(id, *aRequest, mEvents.now() + delay));
    mEvents.after(delay, [this, &aRouter] { pump(aRouter); });
  }

  void work(std::size_t aIndex)
  {
    auto& engine = mEngines[aIndex];
    while (engine.running < kPlaces && !engine.queue.empty()) {
      const auto request = engine.queue.front();
      engine.queue.pop_front();
      if (mProtection.cancels && !request->open) {
        leave(aIndex, request);
        continue;
      }
      ++engine.running;
      const double service = kServiceSeconds * (0.5 + uniform());
      mEvents.after(Duration(static_cast<std::int64_t>(service * 1e6)),
                    [this, aIndex, request] {
                      --mEngines[aIndex].running;
                      leave(aIndex, request);
                      answer(request);
                      work(aIndex);
                    });
    }
  }

  // Frees the router's place later, so that queues are not changed while they are walked.
  void leave(std::size_t aIndex, const RequestPtr& aRequest)
  {
    auto* router = mRouters[aRequest->router].get();
    --router->inFlight[aIndex];
    router->breakers[aIndex].succeeded();
    mEvents.after(Duration::zero(), [this, router] { pump(*router); });
  }

  void answer(const RequestPtr& aRequest)
  {
    auto& router = *mRouters[aRequest->router];
    router.times.observe(
      "service", mEvents.now() - aRequest->dispatchedAt, mEvents.now());
    if (!aRequest->open) {
      return;
    }
    aRequest->open = false;
    ++mResult.answered;
    mResult.highAnswered += aRequest->priority == config::Priority::High ? 1 : 0;
    mResult.answerTime.add(toSeconds(mEvents.now() - aRequest->firstTry));
    ++mResult.goodPerSecond[static_cast<std::size_t>(
      toSeconds(mEvents.now().time_since_epoch()))];
  }

  Protection mProtection;
  std::size_t mEngineQueue;
  Instant mEnd;
  EventQueue mEvents;
  std::vector<Engine> mEngines;
  std::vector<std::unique_ptr<Router>> mRouters;
  std::mt19937_64 mRandom;
  std::uint64_t mLast = 0;
  OverloadResult mResult;
};

std::vector<Protection>
protections()
{
  return {
    { "none (baseline)", false, false, false, false },
    { "cancellation", false, true, false, false },
    { "queue bounds, shedding, cancellation", true, true, false, false },
    { "+ admission", true, true, true, false },
    { "+ retry budget (all)", true, true, true, true },
    { "all but cancellation", true, false, true, true },
    { "all but admission", true, true, false, true },
  };
}

double
meanGoodput(const OverloadResult& aResult, std::size_t aFrom, std::size_t aTo)
{
  double sum = 0;
  for (std::size_t i = aFrom; i < aTo; ++i) {
    sum += static_cast<double>(aResult.goodPerSecond[i]);
  }
  return sum / static_cast<double>(aTo - aFrom);
}

/// Seconds from the end of the burst until the goodput of the next ten seconds is 95% of
/// the normal rate; nothing if that does not come.
std::optional<std::size_t>
recoveryTime(const OverloadResult& aResult)
{
  const auto end = static_cast<std::size_t>(toSeconds(kBurstEnd.time_since_epoch()));
  for (std::size_t i = end; i + kRecoveryWindow < aResult.goodPerSecond.size(); ++i) {
    if (meanGoodput(aResult, i, i + kRecoveryWindow) >= kRecovered * kNormalRate) {
      return i - end;
    }
  }
  return std::nullopt;
}

std::string
shareOf(std::size_t aPart, std::size_t aWhole)
{
  return format(100.0 * static_cast<double>(aPart) / static_cast<double>(aWhole), 1);
}

} // namespace

Report
compareOverload(const Inputs& aInputs)
{
  Report report{ "5 overload and recovery", {}, {} };
  Table table{
    "capacity 96/s, normal 57.6/s, 384/s for 60 s; goodput in answers per second",
    { "engine queue",
      "protection",
      "goodput before",
      "in burst",
      "120 s after",
      "recovery s by seed",
      "answered %",
      "high answered %",
      "p50 s",
      "p99 s",
      "max s",
      "attempts per request" },
    {}
  };
  const Duration time = aInputs.shortRun ? 140s : 300s;
  for (const std::size_t limit : { kBoundedQueue, kUnboundedQueue }) {
    const std::string engines = limit == kBoundedQueue ? "64" : "unbounded";
    Plot plot{ "Goodput, engine queue " + engines + ", first seed",
               "s",
               "answers per second",
               {},
               true };
    for (const auto& protection : selected(protections(), aInputs)) {
      OverloadResult sum;
      std::string recovery;
      double before = 0;
      double burst = 0;
      double after = 0;
      for (const auto seed : aInputs.seeds) {
        const auto result = OverloadModel(protection, limit, time, seed).run();
        const auto recovered = recoveryTime(result);
        recovery += (recovery.empty() ? "" : " ") +
                    (recovered ? std::to_string(*recovered) : std::string("never"));
        before += meanGoodput(result, 20, 60);
        burst += meanGoodput(result, 60, 120);
        after += meanGoodput(result, 120, aInputs.shortRun ? 140 : 240);
        sum.answerTime.add(result.answerTime);
        sum.requests += result.requests;
        sum.answered += result.answered;
        sum.attempts += result.attempts;
        sum.highRequests += result.highRequests;
        sum.highAnswered += result.highAnswered;
        if (seed == aInputs.seeds.front()) {
          Series series{ protection.name, {} };
          for (std::size_t i = 0; i + 5 < result.goodPerSecond.size(); i += 5) {
            series.points.emplace_back(static_cast<double>(i),
                                       meanGoodput(result, i, i + 5));
          }
          plot.series.push_back(std::move(series));
        }
      }
      const auto seeds = static_cast<double>(aInputs.seeds.size());
      table.rows.push_back({ engines,
                             protection.name,
                             format(before / seeds, 1),
                             format(burst / seeds, 1),
                             format(after / seeds, 1),
                             recovery,
                             shareOf(sum.answered, sum.requests),
                             shareOf(sum.highAnswered, sum.highRequests),
                             format(sum.answerTime.quantile(0.5), 1),
                             format(sum.answerTime.quantile(0.99), 1),
                             format(sum.answerTime.quantile(1), 1),
                             format(static_cast<double>(sum.attempts) /
                                    static_cast<double>(sum.requests)) });
    }
    report.plots.push_back(std::move(plot));
  }
  report.tables.push_back(std::move(table));
  return report;
}

} // namespace savoryrill::bench
