#include "bench/experiments.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <random>

#include "placement/loadscheduler.h"
#include "placement/memoryledger.h"
#include "routing/servingview.h"
#include "routing/upstreamloads.h"
#include "state/statemap.h"

namespace savoryrill::bench {

namespace {

constexpr std::size_t kBatches = 9;
constexpr auto kBatchTime = std::chrono::milliseconds(4);

// Keeps results alive, so that the compiler does not remove the measured code.
std::size_t sSink = 0;

double
nanosecondsOf(const std::function<void()>& aOperation, std::size_t aCount)
{
  const auto start = std::chrono::steady_clock::now();
  for (std::size_t i = 0; i < aCount; ++i) {
    aOperation();
  }
  const std::chrono::duration<double, std::nano> time =
    std::chrono::steady_clock::now() - start;
  return time.count() / static_cast<double>(aCount);
}

/// The least time of several batches: other work on the machine only adds time.
double
measure(const std::function<void()>& aOperation)
{
  std::size_t count = 1;
  const double wanted = std::chrono::duration<double, std::nano>(kBatchTime).count();
  while (nanosecondsOf(aOperation, count) * static_cast<double>(count) < wanted) {
    count *= 2;
  }
  double least = nanosecondsOf(aOperation, count);
  for (std::size_t i = 1; i < kBatches; ++i) {
    least = std::min(least, nanosecondsOf(aOperation, count));
  }
  return least;
}

// The unit of the ratios: sorting 64 fixed numbers.
void
referenceOperation()
{
  std::vector<std::uint64_t> numbers(64);
  std::uint64_t value = 1;
  for (auto& number : numbers) {
    value = value * 6364136223846793005ULL + 1442695040888963407ULL;
    number = value;
  }
  std::sort(numbers.begin(), numbers.end());
  sSink += numbers[7];
}

config::Loadable
loadable(std::size_t aIndex)
{
  return { "deployment-" + std::to_string(aIndex), "1" };
}

using Operation = std::function<void()>;

Operation
routingDecision(std::size_t aUpstreams)
{
  auto configuration = std::make_shared<config::Configuration>();
  std::vector<std::string> names;
  for (std::size_t i = 0; i < aUpstreams; ++i) {
    names.push_back("upstream-" + std::to_string(i));
    configuration->upstreams[names.back()].dataCentre = i % 2 == 0 ? "a" : "b";
  }
  auto view = std::make_shared<routing::ServingView>();
  view->setConfiguration(configuration);
  auto loads = std::make_shared<routing::UpstreamLoads>();
  for (const auto& name : names) {
    loads->dispatched(name, Instant());
  }
  auto random = std::make_shared<std::mt19937_64>(1);
  return [=] {
    routing::ChoicePolicy policy = routing::PowerOfTwoChoices{};
    const auto found = loads->candidates(names, *view, "a", { 1, 2, 3, 4 }, Instant());
    sSink += *routing::choose(policy, found, *random);
  };
}

std::shared_ptr<placement::MemoryLedger>
ledgerWith(std::size_t aModels, std::size_t aAdapters)
{
  constexpr placement::MemoryLedger::Capacity kCapacity{ 1000000, 1000000 };
  auto ledger = std::make_shared<placement::MemoryLedger>(kCapacity, 3s);
  upstream::Inventory inventory;
  inventory.memoryMb = kCapacity.modelsMb + kCapacity.adaptersMb;
  std::map<config::ModelReference, std::uint32_t> sizes;
  for (std::size_t i = 0; i < std::max<std::size_t>(1, aModels); ++i) {
    upstream::ResidentModel model;
    model.loadable = loadable(i);
    model.state = upstream::ReplicaState::Loaded;
    model.footprintMb = 10;
    inventory.models.push_back(std::move(model));
  }
  for (std::size_t i = 0; i < aAdapters; ++i) {
    const std::string name = "adapter-" + std::to_string(i);
    inventory.models.front().adapters.push_back(name);
    sizes[{ loadable(0), name }] = 10;
  }
  ledger->inventoryReceived(inventory, sizes, Instant() + 1s);
  return ledger;
}

// A reservation that is freed again.
Operation
modelReservation(std::size_t aModels)
{
  const auto ledger = ledgerWith(aModels, 0);
  const config::Loadable added{ "added", "1" };
  return [=] {
    sSink += ledger->reserveModel(added, 10, "order", Instant() + 2s) ? 1 : 0;
    ledger->orderDone("order", upstream::OrderOutcome::NotSent, Instant() + 2s);
  };
}

Operation
adapterReservation(std::size_t aAdapters)
{
  const auto ledger = ledgerWith(1, aAdapters);
  const config::ModelReference added{ loadable(0), "added" };
  return [=] {
    sSink += ledger->reserveAdapter(added, 10, "order", Instant() + 2s) ? 1 : 0;
    ledger->orderDone("order", upstream::OrderOutcome::NotSent, Instant() + 2s);
  };
}

Operation
loadQueueChoice(std::size_t aModels)
{
  std::vector<placement::LoadCandidate> candidates;
  for (std::size_t i = 0; i < aModels; ++i) {
    placement::LoadCandidate candidate;
    candidate.loadable = loadable(i);
    candidate.upstream = "upstream-" + std::to_string(i % 18);
    candidate.expectedDuration = Duration(1000000 + i * 7919 % 5000000);
    candidates.push_back(std::move(candidate));
  }
  return [=, queue = placement::LoadScheduler(placement::ShortestWithCredit{})] {
    sSink += queue.sorted(candidates, Instant() + 5s).size();
  };
}

peer::Entry
memberEntry(std::size_t aHost, std::uint64_t aSequence)
{
  peer::Entry entry;
  entry.set_kind(peer::ENTRY_KIND_MEMBER);
  entry.set_key("host-" + std::to_string(aHost));
  entry.set_origin(entry.key());
  entry.set_epoch(1);
  entry.set_sequence(aSequence);
  entry.set_ttl_ms(10000);
  entry.set_payload(std::string(120, 'x'));
  return entry;
}

std::shared_ptr<state::StateMap>
mapOf(std::size_t aHosts)
{
  auto map = std::make_shared<state::StateMap>();
  for (std::size_t i = 0; i < aHosts; ++i) {
    map->apply(memberEntry(i, 1), Instant());
  }
  return map;
}

Operation
mapApply(std::size_t aHosts)
{
  const auto map = mapOf(aHosts);
  const auto sequence = std::make_shared<std::uint64_t>(1);
  return [=, entry = memberEntry(aHosts / 2, 1)]() mutable {
    entry.set_sequence(++*sequence);
    sSink += map->apply(entry, Instant()) ? 1 : 0;
  };
}

Operation
mapDigest(std::size_t aHosts)
{
  const auto map = mapOf(aHosts);
  return [=] { sSink += static_cast<std::size_t>(map->digest().items_size()); };
}

peer::Envelope
envelopeOf(std::size_t aHosts)
{
  peer::Envelope envelope;
  envelope.set_sender("host-0");
  envelope.set_incarnation(1);
  for (std::size_t i = 0; i < aHosts; ++i) {
    *envelope.mutable_delta()->add_entries() = memberEntry(i, 1);
  }
  return envelope;
}

Operation
frameEncode(std::size_t aHosts)
{
  return
    [envelope = envelopeOf(aHosts)] { sSink += envelope.SerializeAsString().size(); };
}

Operation
frameDecode(std::size_t aHosts)
{
  return [bytes = envelopeOf(aHosts).SerializeAsString()] {
    peer::Envelope envelope;
    sSink += envelope.ParseFromString(bytes) ? 1 : 0;
  };
}

struct CostCase
{
  const char* name;
  const char* unit;
  Operation (*make)(std::size_t);
  std::vector<std::size_t> sizes;
};

const std::vector<CostCase>&
costCases()
{
  static const std::vector<CostCase> sCases{
    { "routing decision", "upstream", routingDecision, { 6, 18, 72, 330 } },
    { "ledger: reserve and free a model",
      "model",
      modelReservation,
      { 5, 20, 100, 760 } },
    { "ledger: reserve and free an adapter",
      "adapter",
      adapterReservation,
      { 20, 100, 1000, 5300 } },
    { "load queue order", "waiting model", loadQueueChoice, { 10, 50, 200, 760 } },
    { "state map apply", "host", mapApply, { 9, 36, 110, 330 } },
    { "state map digest", "host", mapDigest, { 9, 36, 110, 330 } },
    { "envelope encode", "entry", frameEncode, { 1, 9, 36, 330 } },
    { "envelope decode", "entry", frameDecode, { 1, 9, 36, 330 } },
  };
  return sCases;
}

struct Line
{
  double start = 0;
  double slope = 0;
};

/// Least squares.
Line
fit(const std::vector<std::pair<double, double>>& aPoints)
{
  double x = 0;
  double y = 0;
  double xx = 0;
  double xy = 0;
  for (const auto& [px, py] : aPoints) {
    x += px;
    y += py;
    xx += px * px;
    xy += px * py;
  }
  const auto n = static_cast<double>(aPoints.size());
  Line line;
  line.slope = (n * xy - x * y) / (n * xx - x * x);
  line.start = (y - line.slope * x) / n;
  return line;
}

} // namespace

Report
measureCosts(const Inputs& /*aInputs*/)
{
  Report report{ "6 cost of single decisions", {}, {} };
  Table table{ "ratio to sorting 64 numbers; nanoseconds depend on the machine",
               { "operation",
                 "per",
                 "sizes",
                 "ratios",
                 "ratio at 0 (fit)",
                 "ratio slope (fit)",
                 "ns (machine-dependent)" },
               {} };
  const double reference = measure(referenceOperation);
  for (const auto& item : costCases()) {
    std::vector<std::pair<double, double>> points;
    std::string sizes;
    std::string ratios;
    std::string nanoseconds;
    for (const auto size : item.sizes) {
      const double time = measure(item.make(size));
      points.emplace_back(static_cast<double>(size), time / reference);
      sizes += (sizes.empty() ? "" : " ") + std::to_string(size);
      ratios += (ratios.empty() ? "" : " ") + format(time / reference);
      nanoseconds += (nanoseconds.empty() ? "" : " ") + format(time, 0);
    }
    const Line line = fit(points);
    table.rows.push_back({ item.name,
                           item.unit,
                           sizes,
                           ratios,
                           format(line.start, 3),
                           format(line.slope, 5),
                           nanoseconds });
    report.plots.push_back({ item.name, item.unit, "ratio", { { "", points } }, true });
  }
  table.rows.push_back({ "reference", "", "", "1.00", "", "", format(reference, 0) });
  report.tables.push_back(std::move(table));
  return report;
}

} // namespace savoryrill::bench
