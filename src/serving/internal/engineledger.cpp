#include "serving/engineledger.h"

#include <algorithm>

namespace savoryrill::serving {

namespace {

// Engines don't report the end of an adapter load, which takes some tens of milliseconds.
constexpr Duration kAdapterLoadTime = 60ms;
// Minimum time between two reports of an engine.
constexpr Duration kReportPeriod = 200ms;
// The state in a report may be this much older than the request for the report.
constexpr Duration kReportLag = 500ms;
// Entries of the upstream list are older than this only while the platform is
// unreachable.
constexpr Duration kListLag = 4s;
// Time after which an order without a response is sent again.
constexpr Duration kOrderRetryDelay = 600ms;
// Maximum time between two reports of an engine that stays busy.
constexpr Duration kMaxReportPeriod = 600ms;
// Expected time of an unload. Unloads without running requests end within
// `kIdleUnloadTime`; those with running requests rarely end before `kBusyUnloadTime`.
constexpr Duration kIdleUnloadTime = 120ms;
constexpr Duration kBusyUnloadTime = 400ms;
// Added to the expected load time.
constexpr Duration kLoadMargin = 40ms;

} // namespace

EngineLedger::EngineLedger(const UpstreamEntry& aEntry, const EngineProfile& aProfile)
  : mId(aEntry.id)
  , mBornMs(aEntry.bornMs)
  , mDataCentre(aEntry.dataCentre)
  , mProfile(&aProfile)
  , mLeaving(aEntry.leaving)
{
}

const ModelProfile*
EngineLedger::profileOf(const std::string& aModel) const
{
  const auto found = mProfile->models.find(aModel);
  return found == mProfile->models.end() ? nullptr : &found->second;
}

void
EngineLedger::applyListEntry(const UpstreamEntry& aEntry, Instant aNow)
{
  ++mRevision;
  mLeaving = mLeaving || aEntry.leaving;
  const auto& report = aEntry.engine;
  std::map<std::string, std::set<std::string>> models;
  for (const auto& model : report.models) {
    models[model.model] = model.adapters;
  }
  if (!mSettled && mOrdersAccepted == 0) {
    mModels = std::move(models);
    mInMemory = report.inMemory;
    mOnDisk = report.onDisk;
    return;
  }
  const bool same =
    std::ranges::equal(models, mModels, [](const auto& aOne, const auto& aOther) {
      return aOne.first == aOther.first;
    });
  if (!same && !mSentOrder && !mPending && aNow - mLastChange > kListLag) {
    mSettled = false;
  }
}

void
EngineLedger::applyReport(const EngineReport& aReport, Instant aSent, Instant aNow)
{
  if (aReport.ordersAccepted < mOrdersAccepted) {
    return; // older than the last accepted order
  }
  ++mRevision;
  mReportedLoad = aReport.running + aReport.waiting;
  if (!aReport.inMemory.empty() || !aReport.onDisk.empty()) {
    mInMemory = aReport.inMemory;
    mOnDisk = aReport.onDisk;
  }
  if (mSentOrder) {
    return; // the response to the order will show whether it was accepted
  }
  if (mUnknownOrder) {
    if (aReport.ordersAccepted > mUnknownOrder->expectedOrders) {
      const auto order = *mUnknownOrder;
      mUnknownOrder.reset();
      applyAccepted(order, false, mUnknownOrderSince);
      mOrdersAccepted = aReport.ordersAccepted;
    } else {
      return; // the engine may still carry out the order; it will be sent again
    }
  }
  const bool advanced = aReport.ordersAccepted > mOrdersAccepted;
  mOrdersAccepted = aReport.ordersAccepted;
  const bool may_predate_order = mPending && aSent - kReportLag < mPending->sent;
  if (mPending && !advanced && pendingInProgress(aReport) &&
      (may_predate_order || aReport.orderInProgress.value_or(true))) {
    return;
  }
  settle(aReport, aNow);
}

bool
EngineLedger::pendingInProgress(const EngineReport& aReport) const
{
  const bool reported = std::ranges::any_of(aReport.models, [&](const auto& aModel) {
    return aModel.model == mPending->order.model.model;
  });
  return aReport.orderInProgress.value_or(false) ||
         reported != (mPending->order.kind == OrderKind::Load);
}

void
EngineLedger::settle(const EngineReport& aReport, Instant aNow)
{
  const bool was_settled = mSettled;
  // An order of a previous leader may still be in progress; what it adds or removes is
  // known only after its end.
  mSettled = !aReport.orderInProgress.value_or(false);
  if (mSettled) {
    mLastChange = aNow;
  }
  mPending.reset();
  std::map<std::string, std::set<std::string>> models;
  for (const auto& model : aReport.models) {
    auto& adapters = models[model.model];
    adapters = model.adapters;
    if (was_settled && !mModels.contains(model.model)) {
      mReadySince[model.model] = aNow;
    }
  }
  for (const auto& adapter : aReport.adaptersChanging) {
    models[adapter.model].insert(adapter.adapter);
    mAdapterReadyAt.try_emplace(adapter, aNow + kAdapterLoadTime);
  }
  // Adapters ordered a moment ago may be missing from an outdated report.
  for (const auto& [adapter, ready_at] : mAdapterReadyAt) {
    const auto model = models.find(adapter.model);
    if (aNow - ready_at < kReportLag && model != models.end() &&
        mModels[adapter.model].contains(adapter.adapter)) {
      model->second.insert(adapter.adapter);
    }
  }
  mModels = std::move(models);
  std::erase_if(mAdapterReadyAt,
                [&](const auto& aItem) { return aNow - aItem.second > 2 * kReportLag; });
}

PlacementOrder
EngineLedger::makeOrder(OrderKind aKind, const ModelKey& aModel) const
{
  return { mId, aKind, aModel, mOrdersAccepted };
}

void
EngineLedger::orderSent(const PlacementOrder& aOrder, Instant aNow)
{
  ++mRevision;
  mSentOrder = aOrder;
  mOrderSentAt = aNow;
}

void
EngineLedger::orderDone(OrderOutcome aOutcome, Instant aNow)
{
  if (!mSentOrder) {
    return;
  }
  ++mRevision;
  const auto order = *mSentOrder;
  mSentOrder.reset();
  const bool retried = mUnknownOrder.has_value();
  switch (aOutcome) {
    case OrderOutcome::Accepted:
    case OrderOutcome::Done:
      mUnknownOrder.reset();
      ++mOrdersAccepted;
      applyAccepted(order, aOutcome == OrderOutcome::Done, mOrderSentAt);
      break;
    case OrderOutcome::AlreadyHolds:
      mUnknownOrder.reset();
      mSettled = false; // the engine's state differs from this ledger
      break;
    case OrderOutcome::Conflict:
      // The engine is busy or unreachable, or has accepted other orders. A report will
      // show its state and when the next order may be sent. An order that is being
      // retried waits for `kOrderRetryDelay` again.
      mSettled = false;
      mUnknownOrderSince = aNow;
      break;
    case OrderOutcome::Rejected:
    case OrderOutcome::WrongUpstream:
      mUnknownOrder.reset();
      mSettled = false;
      break;
    case OrderOutcome::Unknown:
      if (!retried) {
        mUnknownOrder = order;
      }
      mUnknownOrderSince = aNow;
      break;
  }
}

void
EngineLedger::applyAccepted(const PlacementOrder& aOrder, bool aDone, Instant aNow)
{
  mLastChange = aNow;
  const auto& key = aOrder.model;
  if (!key.adapter.empty()) {
    if (aOrder.kind == OrderKind::Load) {
      mModels[key.model].insert(key.adapter);
      mAdapterReadyAt[key] = aNow + kAdapterLoadTime;
    } else if (aDone) {
      mModels[key.model].erase(key.adapter);
      mAdapterReadyAt.erase(key);
    } else {
      mSettled = false; // still in use; a report will show when its slot is free
    }
    return;
  }
  const Duration unload_time =
    mExpectsRunningRequests ? kBusyUnloadTime : kIdleUnloadTime;
  Pending pending{ aOrder, sourceOf(key.model), aNow, aNow + unload_time };
  if (aOrder.kind == OrderKind::Load) {
    pending.expectedEnd = aNow + loadTime(key.model) + kLoadMargin;
  } else {
    mModels.erase(key.model);
    mReadySince.erase(key.model);
  }
  mPending = pending;
}

void
EngineLedger::assumeLoaded(Instant aNow)
{
  if (!mPending || mPending->order.kind != OrderKind::Load ||
      mPending->source == CheckpointSource::WeightStore || aNow < mPending->expectedEnd) {
    return;
  }
  ++mRevision;
  const auto& model = mPending->order.model.model;
  mModels[model];
  mReadySince[model] = aNow;
  mLastChange = aNow;
  mPending.reset();
}

bool
EngineLedger::mayOrderModel(Instant aNow) const
{
  // After the expected end of an unload the next order needs no report: the engine
  // refuses it if the unload is still in progress.
  const bool free = !mPending || (mPending->order.kind == OrderKind::Unload &&
                                  aNow >= mPending->expectedEnd);
  return mayOrder() && free;
}

const PlacementOrder*
EngineLedger::orderToRetry(Instant aNow) const
{
  return mUnknownOrder && !mSentOrder && !mLeaving &&
             aNow - mUnknownOrderSince >= kOrderRetryDelay
           ? &*mUnknownOrder
           : nullptr;
}

bool
EngineLedger::reportDue(Instant aNow) const
{
  if (mSentOrder || mLeaving || aNow - mReportRequestedAt < kReportPeriod) {
    return false;
  }
  // The longer an engine stays busy, the less often it is asked for a report.
  const auto pause_since = [&](Instant aStart) {
    return std::min(kMaxReportPeriod, (aNow - aStart) / 4);
  };
  if (!mSettled || mUnknownOrder) {
    return aNow - mReportRequestedAt >= pause_since(mLastChange);
  }
  return mPending && mPending->order.kind == OrderKind::Load &&
         aNow >= mPending->expectedEnd &&
         aNow - mReportRequestedAt >= pause_since(mPending->expectedEnd);
}

void
EngineLedger::reportRequested(Instant aNow)
{
  mReportRequestedAt = aNow;
}

bool
EngineLedger::ready(const std::string& aModel) const
{
  const bool pending = mPending && mPending->order.model.model == aModel;
  const bool unloading = mSentOrder && mSentOrder->model.adapter.empty() &&
                         mSentOrder->kind == OrderKind::Unload &&
                         mSentOrder->model.model == aModel;
  const bool unknown = mUnknownOrder && mUnknownOrder->model.adapter.empty() &&
                       mUnknownOrder->kind == OrderKind::Unload &&
                       mUnknownOrder->model.model == aModel;
  return !mLeaving && !pending && !unloading && !unknown && mModels.contains(aModel);
}

bool
EngineLedger::holds(const std::string& aModel) const
{
  const auto loads = [&](const PlacementOrder& aOrder) {
    return aOrder.kind == OrderKind::Load && aOrder.model.adapter.empty() &&
           aOrder.model.model == aModel;
  };
  return ready(aModel) || (mPending && loads(mPending->order)) ||
         (mSentOrder && loads(*mSentOrder)) || (mUnknownOrder && loads(*mUnknownOrder));
}

bool
EngineLedger::adapterReady(const ModelKey& aAdapter, Instant aNow) const
{
  const auto ready_at = mAdapterReadyAt.find(aAdapter);
  return ready(aAdapter.model) && mModels.at(aAdapter.model).contains(aAdapter.adapter) &&
         (ready_at == mAdapterReadyAt.end() || aNow >= ready_at->second);
}

bool
EngineLedger::adapterHeld(const ModelKey& aAdapter) const
{
  const auto model = mModels.find(aAdapter.model);
  const bool sent =
    mSentOrder && mSentOrder->model == aAdapter && mSentOrder->kind == OrderKind::Load;
  const bool unknown = mUnknownOrder && mUnknownOrder->model == aAdapter;
  return sent || unknown ||
         (model != mModels.end() && model->second.contains(aAdapter.adapter));
}

std::size_t
EngineLedger::adapterCount() const
{
  std::size_t count = 0;
  for (const auto& [model, adapters] : mModels) {
    count += adapters.size();
  }
  const auto loads = [](const std::optional<PlacementOrder>& aOrder) {
    return aOrder && !aOrder->model.adapter.empty() && aOrder->kind == OrderKind::Load;
  };
  return count + (loads(mSentOrder) || loads(mUnknownOrder) ? 1 : 0);
}

std::vector<ModelKey>
EngineLedger::adapters() const
{
  std::vector<ModelKey> keys;
  for (const auto& [model, adapters] : mModels) {
    for (const auto& adapter : adapters) {
      keys.push_back({ model, adapter });
    }
  }
  return keys;
}

std::vector<std::string>
EngineLedger::readyModels() const
{
  std::vector<std::string> models;
  for (const auto& [model, adapters] : mModels) {
    if (ready(model)) {
      models.push_back(model);
    }
  }
  return models;
}

std::set<std::string>
EngineLedger::heldModels() const
{
  std::set<std::string> models;
  for (const auto& model : readyModels()) {
    models.insert(model);
  }
  const auto add_load = [&](const PlacementOrder& aOrder) {
    if (aOrder.kind == OrderKind::Load && aOrder.model.adapter.empty()) {
      models.insert(aOrder.model.model);
    }
  };
  if (mPending) {
    add_load(mPending->order);
  }
  if (mSentOrder) {
    add_load(*mSentOrder);
  }
  if (mUnknownOrder) {
    add_load(*mUnknownOrder);
  }
  return models;
}

double
EngineLedger::memoryUsedMb() const
{
  double used = 0;
  const auto add = [&](const ModelKey& aKey) {
    const auto* profile = profileOf(aKey.model);
    // The size of a model missing from the configuration is unknown; count all memory.
    used += profile == nullptr     ? mProfile->memoryMb
            : aKey.adapter.empty() ? profile->footprintMb
                                   : profile->adapterMb;
  };
  for (const auto& [model, adapters] : mModels) {
    add({ model, "" });
    for (const auto& adapter : adapters) {
      add({ model, adapter });
    }
  }
  const auto add_load = [&](const PlacementOrder& aOrder) {
    if (aOrder.kind == OrderKind::Load && !mModels.contains(aOrder.model.model)) {
      add(aOrder.model);
    }
  };
  if (mPending) {
    add_load(mPending->order);
  }
  if (mSentOrder) {
    add_load(*mSentOrder);
  } else if (mUnknownOrder) {
    add_load(*mUnknownOrder);
  }
  return used;
}

bool
EngineLedger::fits(const std::string& aModel) const
{
  const auto* profile = profileOf(aModel);
  return profile != nullptr &&
         memoryUsedMb() + profile->footprintMb <= mProfile->memoryMb;
}

CheckpointSource
EngineLedger::sourceOf(const std::string& aModel) const
{
  if (mInMemory.contains(aModel)) {
    return CheckpointSource::Memory;
  }
  return mOnDisk.contains(aModel) ? CheckpointSource::Disk
                                  : CheckpointSource::WeightStore;
}

Duration
EngineLedger::loadTime(const std::string& aModel) const
{
  const auto* profile = profileOf(aModel);
  if (profile == nullptr) {
    return Duration::max() / 4;
  }
  switch (sourceOf(aModel)) {
    case CheckpointSource::Memory:
      return profile->memoryLoadTime;
    case CheckpointSource::Disk:
      return profile->diskLoadTime;
    case CheckpointSource::WeightStore:
      return profile->weightStoreLoadTime;
  }
  return profile->weightStoreLoadTime;
}

bool
EngineLedger::hasCheckpointCopy(const std::string& aModel) const
{
  return mInMemory.contains(aModel) || mOnDisk.contains(aModel);
}

std::set<std::string>
EngineLedger::checkpointCopies() const
{
  std::set<std::string> all = mOnDisk;
  all.insert(mInMemory.begin(), mInMemory.end());
  return all;
}

bool
EngineLedger::loadsFromWeightStore() const
{
  const auto from_weight_store = [&](const PlacementOrder& aOrder) {
    return aOrder.kind == OrderKind::Load && aOrder.model.adapter.empty() &&
           sourceOf(aOrder.model.model) == CheckpointSource::WeightStore;
  };
  return (mPending && mPending->order.kind == OrderKind::Load &&
          mPending->source == CheckpointSource::WeightStore) ||
         (mSentOrder && from_weight_store(*mSentOrder)) ||
         (mUnknownOrder && from_weight_store(*mUnknownOrder));
}

std::optional<Instant>
EngineLedger::readySince(const std::string& aModel) const
{
  const auto found = mReadySince.find(aModel);
  return found == mReadySince.end() ? std::nullopt : std::optional(found->second);
}

std::vector<ReplicaView>
EngineLedger::replicas(Instant aNow) const
{
  std::vector<ReplicaView> replicas;
  for (const auto& [model, adapters] : mModels) {
    ReplicaView replica;
    replica.model = model;
    replica.phase = ready(model) ? ReplicaPhase::Ready : ReplicaPhase::Unloading;
    for (const auto& adapter : adapters) {
      if (adapterReady({ model, adapter }, aNow)) {
        replica.adapters.push_back(adapter);
      }
    }
    replicas.push_back(std::move(replica));
  }
  if (mPending && mPending->order.kind == OrderKind::Load &&
      !mModels.contains(mPending->order.model.model)) {
    ReplicaView replica;
    replica.model = mPending->order.model.model;
    replica.phase = ReplicaPhase::Loading;
    replica.readyIn = std::max(Duration(50ms), mPending->expectedEnd - aNow);
    replicas.push_back(std::move(replica));
  }
  return replicas;
}

} // namespace savoryrill::serving
