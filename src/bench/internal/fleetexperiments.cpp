#include "bench/experiments.h"

#include <algorithm>
#include <functional>
#include <optional>

#include "bench/fleetmodel.h"

namespace savoryrill::bench {

namespace {

constexpr Duration kRest = 600s;
constexpr Duration kBurstWindow = 90s;
constexpr std::size_t kBurstModels = 60;
constexpr double kSlowStore = 4;

/// Results of one policy over all seeds.
struct Pooled
{
  Samples coldStart;
  Samples wait;
  std::size_t requests = 0;
  std::size_t late = 0;
  std::size_t unreachable = 0;
  std::size_t dawnRequests = 0;
  std::size_t dawnCold = 0;
  std::size_t loads = 0;
  double idleHours = 0;
  std::vector<double> p99; // of each seed
};

Pooled
runSeeds(const Inputs& aInputs,
         const config::Configuration& aConfiguration,
         const FleetOptions& aOptions,
         const std::function<std::vector<Arrival>(std::uint64_t)>& aTrace)
{
  Pooled pooled;
  for (const auto seed : aInputs.seeds) {
    const auto trace = aTrace(seed);
    const auto result = FleetModel(aConfiguration, aOptions).run(trace, kRest);
    pooled.coldStart.add(result.coldStart);
    pooled.wait.add(result.wait);
    pooled.requests += result.requests;
    pooled.late += result.late;
    pooled.unreachable += result.unreachable;
    pooled.dawnRequests += result.dawnRequests;
    pooled.dawnCold += result.dawnCold;
    pooled.loads += result.loads;
    pooled.idleHours += result.idleHours;
    pooled.p99.push_back(result.coldStart.quantile(0.99));
  }
  return pooled;
}

std::string
bySeed(const std::vector<double>& aValues)
{
  std::string text;
  for (const double value : aValues) {
    text += (text.empty() ? "" : " ") + format(value, 1);
  }
  return text;
}

/// In how many seeds the p99 is lower and higher than that of the baseline.
std::string
lowerAndHigher(const Pooled& aPooled, const Pooled& aBaseline)
{
  std::size_t lower = 0;
  std::size_t higher = 0;
  for (std::size_t i = 0; i < aPooled.p99.size(); ++i) {
    lower += aPooled.p99[i] < aBaseline.p99[i] ? 1 : 0;
    higher += aPooled.p99[i] > aBaseline.p99[i] ? 1 : 0;
  }
  return std::to_string(lower) + "/" + std::to_string(higher);
}

std::string
percent(std::size_t aPart, std::size_t aWhole)
{
  return format(100.0 * static_cast<double>(aPart) /
                static_cast<double>(std::max<std::size_t>(1, aWhole)));
}

const std::vector<std::string> kBurstColumns{
  "cold",        "p50 s",  "p99 s", "max s",  "mean s",
  "p99 by seed", "late %", "loads", "idle h", "p99 lower/higher in seeds"
};

std::vector<std::string>
burstCells(const Pooled& aPooled, const Pooled& aBaseline)
{
  return { std::to_string(aPooled.coldStart.count()),
           format(aPooled.coldStart.quantile(0.5), 1),
           format(aPooled.coldStart.quantile(0.99), 1),
           format(aPooled.coldStart.quantile(1), 1),
           format(aPooled.coldStart.mean(), 1),
           bySeed(aPooled.p99),
           percent(aPooled.late, aPooled.coldStart.count()),
           std::to_string(aPooled.loads),
           format(aPooled.idleHours, 1),
           lowerAndHigher(aPooled, aBaseline) };
}

std::vector<std::string>
joined(std::vector<std::string> aFirst, const std::vector<std::string>& aSecond)
{
  aFirst.insert(aFirst.end(), aSecond.begin(), aSecond.end());
  return aFirst;
}

/// A keep-alive policy under test.
struct KeepAliveCase
{
  std::string name;
  config::KeepAlive policy;
  double weight = 0.5;
  bool prewarm = false;
};

// Pre-warming is configured for the models of high priority only: all models together do
// not fit into the memory.
config::Configuration
withKeepAlive(const User& aUser, const KeepAliveCase& aCase)
{
  auto configuration = aUser.configuration;
  for (auto& [name, deployment] : configuration.deployments) {
    deployment.keepAlive = aCase.policy;
    deployment.coldStartWeight = aCase.weight;
    deployment.prewarm.clear();
    if (aCase.prewarm && deployment.priority == config::Priority::High) {
      deployment.prewarm.push_back({ aUser.dawnMinute, 300s });
    }
  }
  return configuration;
}

std::vector<KeepAliveCase>
keepAliveCases()
{
  std::vector<KeepAliveCase> cases;
  for (const auto idle : { 60s, 600s, 1800s }) {
    const std::string name = "fixed " + std::to_string(idle.count()) + " s";
    cases.push_back({ name, config::FixedKeepAlive{ idle }, 0.5, false });
  }
  for (const double weight : { 0.2, 0.5, 0.8 }) {
    const std::string name = "histogram " + format(weight, 1);
    cases.push_back({ name, config::HistogramKeepAlive{ 60s, 1800s }, weight, false });
  }
  const auto without = cases;
  for (auto item : without) {
    item.name += " + pre-warm";
    item.prewarm = true;
    cases.push_back(item);
  }
  return cases;
}

} // namespace

Report
compareLoadOrders(const Inputs& aInputs)
{
  const std::vector<std::pair<std::string, placement::LoadPolicy>> orders{
    { "fifo (baseline)", placement::FirstInFirstOut{} },
    { "shortest first", placement::ShortestFirst{} },
    { "shortest, credit 0.1", placement::ShortestWithCredit{ 0.1 } },
    { "shortest, credit 0.5", placement::ShortestWithCredit{ 0.5 } },
    { "shortest, credit 2", placement::ShortestWithCredit{ 2 } },
    { "deadline slack", placement::LeastSlackFirst{} },
  };
  Report report{ "1 load queue order", {}, {} };
  Table table{ "cold start in a dawn burst",
               joined({ "user", "store", "order" }, kBurstColumns),
               {} };
  for (const auto& user : aInputs.users) {
    for (const double slowdown : selected<double>({ 1.0, 2.0, kSlowStore }, aInputs)) {
      const std::string store =
        slowdown > 1 ? "slowed by " + format(slowdown, 0) : "normal";
      std::optional<Pooled> baseline;
      Plot plot{
        "Cold start, " + user.name + ", store " + store, "quantile %", "seconds", {}, true
      };
      for (const auto& [name, order] : selected(orders, aInputs)) {
        FleetOptions options;
        options.order = order;
        options.storeSlowdown = slowdown;
        const auto pooled =
          runSeeds(aInputs, user.configuration, options, [&](std::uint64_t aSeed) {
            const std::size_t models = aInputs.shortRun ? 15 : kBurstModels;
            return dawnBurst(user, models, kBurstWindow, aSeed);
          });
        baseline = baseline ? baseline : pooled;
        table.rows.push_back(
          joined({ user.name, store, name }, burstCells(pooled, *baseline)));
        plot.series.push_back(distribution(name, pooled.coldStart));
      }
      report.plots.push_back(std::move(plot));
    }
  }
  report.tables.push_back(std::move(table));
  return report;
}

Report
compareKeepAlive(const Inputs& aInputs)
{
  Report report{ "2 keep-alive", {}, {} };
  Table table{ "a week with regular hours (idle hours per week and seed)",
               { "user",
                 "policy",
                 "requests",
                 "cold %",
                 "cold p50 s",
                 "cold p99 s",
                 "cold max s",
                 "p99 by seed",
                 "p99 of all s",
                 "mean of all s",
                 "dawn cold %",
                 "loads",
                 "idle h" },
               {} };
  for (const auto& user : aInputs.users) {
    Plot plot{ "Trade-off, " + user.name, "idle hours a week", "mean wait s", {}, false };
    const auto add = [&](const std::string& aName,
                         const config::Configuration& aConfiguration) {
      FleetOptions options;
      options.dawnMinute = user.dawnMinute;
      const auto pooled =
        runSeeds(aInputs, aConfiguration, options, [&](std::uint64_t aSeed) {
          return regularDays(user, aInputs.shortRun ? 1 : 7, aSeed);
        });
      const double idle = pooled.idleHours / static_cast<double>(aInputs.seeds.size());
      table.rows.push_back({ user.name,
                             aName,
                             std::to_string(pooled.requests),
                             percent(pooled.coldStart.count(), pooled.requests),
                             format(pooled.coldStart.quantile(0.5), 1),
                             format(pooled.coldStart.quantile(0.99), 1),
                             format(pooled.coldStart.quantile(1), 1),
                             bySeed(pooled.p99),
                             format(pooled.wait.quantile(0.99), 1),
                             format(pooled.wait.mean(), 2),
                             percent(pooled.dawnCold, pooled.dawnRequests),
                             std::to_string(pooled.loads),
                             format(idle, 1) });
      plot.series.push_back({ aName, { { idle, pooled.wait.mean() } } });
    };
    for (const auto& item : selected(keepAliveCases(), aInputs)) {
      add(item.name, withKeepAlive(user, item));
    }
    add("as configured", user.configuration);
    report.plots.push_back(std::move(plot));
  }
  report.tables.push_back(std::move(table));
  return report;
}

Report
compareStoreShares(const Inputs& aInputs)
{
  const std::vector<std::pair<std::string, ShareMode>> modes{
    { "unlimited (baseline)", ShareMode::Unlimited },
    { "fixed split (baseline)", ShareMode::Fixed },
    { "published loads", ShareMode::Published },
  };
  Report report{ "3 weight store share", {}, {} };
  Table table{ "cold start in a dawn burst over three data centres",
               joined({ "user", "network", "callers", "share" }, kBurstColumns),
               {} };
  table.columns.emplace_back("unreachable");
  for (const auto& user : aInputs.users) {
    for (const bool cut_off : { false, true }) {
      for (const bool skewed : { false, true }) {
        std::optional<Pooled> baseline;
        for (const auto& [name, mode] : modes) {
          FleetOptions options;
          options.share = mode;
          options.firstDataCentreCutOff = cut_off;
          const auto pooled =
            runSeeds(aInputs, user.configuration, options, [&](std::uint64_t aSeed) {
              const std::size_t models = aInputs.shortRun ? 15 : kBurstModels;
              auto trace = dawnBurst(user, models, kBurstWindow, aSeed);
              for (auto& arrival : trace) {
                arrival.dataCentre = skewed ? 0 : arrival.dataCentre;
              }
              return trace;
            });
          baseline = baseline ? baseline : pooled;
          auto cells = joined({ user.name,
                                cut_off ? "one cut off" : "normal",
                                skewed ? "at one site" : "spread",
                                name },
                              burstCells(pooled, *baseline));
          cells.push_back(std::to_string(pooled.unreachable));
          table.rows.push_back(std::move(cells));
        }
      }
    }
  }
  report.tables.push_back(std::move(table));
  return report;
}

} // namespace savoryrill::bench
