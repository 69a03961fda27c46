#include "controller/internal/enginetask.h"

#include "controller/types/controllerevents.h"

// The part of EngineTask that sends orders to engines.

namespace savoryrill::controller {

using upstream::Order;
using upstream::OrderKind;
using upstream::OrderOutcome;

namespace {

// Two poll periods.
constexpr Duration kMaxInventoryAge = 2s;

} // namespace

void
EngineTask::on(OrderLoad&& aMessage)
{
  auto* engine = find(aMessage.upstream);
  if (engine == nullptr) {
    return;
  }
  const auto withhold = [&](const char* aReason) {
    mContext.log.write(kOrderWithheld,
                       { { "model", config::toString(aMessage.loadable) },
                         { "upstream", aMessage.upstream },
                         { "reason", aReason } });
  };
  if (!placement::AssignmentPlanner::mayLoad(
        mView, aMessage.loadable, aMessage.upstream)) {
    withhold("the assignment row does not allow this load");
    return;
  }
  if (!mayLoad(*engine->state)) {
    withhold("engine is not ready");
    return;
  }
  const auto* deployment = placement::deploymentOf(*mConfiguration, aMessage.loadable);
  const Instant now = mContext.loop.now();
  const auto order = engine->state->load(aMessage.loadable, deployment->footprintMb, now);
  if (!order) {
    withhold("not enough free memory, or the same order is in flight");
    return;
  }
  engine->loads[aMessage.loadable] = { now,
                                       aMessage.expectedDuration,
                                       aMessage.fromWeightStore };
  mContext.log.write(kLoadOrdered,
                     { { "model", config::toString(aMessage.loadable) },
                       { "upstream", aMessage.upstream },
                       { "order", order->orderId } });
  mContext.metrics.add("savoryrill_controller_loads_ordered_total");
  send(*engine, *order);
}

void
EngineTask::on(OrderUnload&& aMessage)
{
  auto* engine = find(aMessage.upstream);
  if (engine == nullptr) {
    return;
  }
  const auto order = engine->state->unload(aMessage.loadable, mContext.loop.now());
  if (!order) {
    return;
  }
  mContext.log.write(kUnloadOrdered,
                     { { "model", config::toString(aMessage.loadable) },
                       { "upstream", aMessage.upstream },
                       { "reason", aMessage.reason },
                       { "order", order->orderId } });
  mContext.metrics.add("savoryrill_controller_unloads_ordered_total{reason=\"" +
                       aMessage.reason + "\"}");
  send(*engine, *order);
}

void
EngineTask::on(OrderAdapter&& aMessage)
{
  auto* engine = find(aMessage.upstream);
  if (engine == nullptr || !mConfiguration) {
    return;
  }
  const auto sizes = adapterSizes();
  const auto size = sizes.find(aMessage.adapter);
  if (aMessage.load && size == sizes.end()) {
    return;
  }
  const Instant now = mContext.loop.now();
  const auto order = aMessage.load
                       ? engine->state->loadAdapter(aMessage.adapter, size->second, now)
                       : engine->state->unloadAdapter(aMessage.adapter, now);
  if (!order) {
    return;
  }
  mContext.log.write(kAdapterOrdered,
                     { { "model", config::toString(aMessage.adapter) },
                       { "upstream", aMessage.upstream },
                       { "kind", nameOf(order->kind) } });
  send(*engine, *order);
}

bool
EngineTask::hasRecentInventory(const std::string& aName)
{
  const auto* engine = find(aName);
  if (engine == nullptr) {
    return false;
  }
  const auto inventory_sent_at = engine->state->ledger().inventorySentAt();
  return engine->reachable && inventory_sent_at &&
         mContext.loop.now() - *inventory_sent_at < kMaxInventoryAge;
}

void
EngineTask::send(Engine& aEngine, const Order& aOrder)
{
  const std::string name = aEngine.state->name();
  const bool checks_fencing = aEngine.state->properties().checksFencing;
  const std::uint64_t fencing = aOrder.fencingNumber;
  const bool adopts = aOrder.kind == OrderKind::Adopt;
  // The check uses the fencing number of the order, so that it fails if the ownership
  // was lost and taken again in the meantime. With an expired lease, only the engine's
  // own check of fencing numbers protects it from orders of a former owner, and a restart
  // may have erased the engine's number. Orders are then sent only to engines with a
  // recent inventory, and `adopt` orders are not sent.
  auto may_send = [this, name, checks_fencing, adopts, fencing] {
    return mMayOrder(name, false, fencing) ||
           (checks_fencing && !adopts && hasRecentInventory(name) &&
            mMayOrder(name, true, fencing));
  };
  mContext.engines.order(aEngine.state->properties().address,
                         aOrder,
                         std::move(may_send),
                         mGuard.wrap([this, name, aOrder](OrderOutcome aOutcome) {
                           orderDone(name, aOrder, aOutcome);
                         }));
  report(aEngine);
}

void
EngineTask::orderDone(const std::string& aName,
                      const Order& aOrder,
                      OrderOutcome aOutcome)
{
  auto* engine = find(aName);
  if (engine == nullptr ||
      engine->state->ownership().fencingNumber != aOrder.fencingNumber) {
    return;
  }
  const Instant now = mContext.loop.now();
  const bool superseded = engine->state->orderDone(aOrder, aOutcome, now);
  engine->nextPoll = now;
  if (aOutcome != OrderOutcome::Accepted) {
    mContext.log.write(kOrderRefused,
                       { { "model", config::toString(aOrder.loadable) },
                         { "upstream", aName },
                         { "kind", nameOf(aOrder.kind) },
                         { "reason", nameOf(aOutcome) } });
    mContext.metrics.add("savoryrill_controller_orders_refused_total{reason=\"" +
                         std::string(nameOf(aOutcome)) + "\"}");
    if (aOrder.kind == OrderKind::Load && aOutcome != OrderOutcome::Unknown) {
      engine->loads.erase(aOrder.loadable);
    }
  } else if (aOrder.kind == OrderKind::Adopt) {
    mContext.log.write(
      kEngineAdopted,
      { { "upstream", aName }, { "fencing_number", aOrder.fencingNumber } });
  }
  if (superseded) {
    mContext.outbox.session(OwnerSuperseded{ aName });
  }
  report(*engine);
}

} // namespace savoryrill::controller
