#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "event/loop.h"
#include "gossip/statesync.h"
#include "placement/tests/faketable.h"
#include "platform/iplatform.h"
#include "upstream/iengine.h"

namespace savoryrill::controller {

/// Platform in memory. Calls its completions in the next iteration of the loop. Several
/// controllers may share it.
class FakePlatform final : public platform::IPlatform
{
public:
  explicit FakePlatform(event::Loop& aLoop)
    : mLoop(aLoop)
  {
  }

  void transact(platform::Transaction aTransaction,
                platform::Completion<platform::TransactionOutcome> aDone) override
  {
    respond<platform::TransactionOutcome>(aDone,
                                          [&] { return table.transact(aTransaction); });
  }
  void readRow(std::string aKey,
               platform::Completion<std::optional<platform::Row>> aDone) override
  {
    respond<std::optional<platform::Row>>(aDone, [&] { return table.read(aKey); });
  }
  void readRows(std::string aPrefix,
                platform::Completion<std::vector<platform::Row>> aDone) override
  {
    respond<std::vector<platform::Row>>(aDone, [&] { return table.readAll(aPrefix); });
  }
  void putObject(std::string aKey,
                 std::string aBytes,
                 platform::Completion<bool> aDone) override
  {
    respond<bool>(aDone, [&] {
      objects[aKey] = aBytes;
      return true;
    });
  }
  void readObject(std::string aKey,
                  platform::Completion<std::optional<std::string>> aDone) override
  {
    respond<std::optional<std::string>>(aDone, [&]() -> std::optional<std::string> {
      const auto found = objects.find(aKey);
      return found == objects.end() ? std::nullopt : std::optional(found->second);
    });
  }
  void readHosts(platform::Completion<std::vector<platform::HostEntry>> aDone) override
  {
    respond<std::vector<platform::HostEntry>>(aDone, [&] { return hosts; });
  }

  placement::FakeTable table;
  std::map<std::string, std::string> objects;
  std::vector<platform::HostEntry> hosts;
  bool unreachable = false;

private:
  template<typename T, typename F>
  void respond(platform::Completion<T>& aDone, F aCall)
  {
    Result<T> result = fail(ErrorCode::Unavailable, "platform is unreachable");
    if (!unreachable) {
      result = aCall();
    }
    mLoop.post([done = std::move(aDone), result = std::move(result)] { done(result); });
  }

  event::Loop& mLoop;
};

/// Engines in memory, by address. The first inventory after a load order shows the
/// replica as loading, the second one as loaded.
class FakeEngines final : public upstream::IEngineControl
{
public:
  struct Engine
  {
    bool checksFencing = false;
    upstream::Inventory inventory;
    std::vector<upstream::Order> orders; // accepted ones
    std::vector<upstream::CacheEvent> cacheEvents;
  };

  explicit FakeEngines(event::Loop& aLoop)
    : mLoop(aLoop)
  {
  }

  void order(std::string aAddress,
             upstream::Order aOrder,
             std::function<bool()> aMaySend,
             std::function<void(upstream::OrderOutcome)> aDone) override
  {
    const auto outcome =
      aMaySend() ? accept(engines[aAddress], aOrder) : upstream::OrderOutcome::NotSent;
    mLoop.post([done = std::move(aDone), outcome] { done(outcome); });
  }

  void readInventory(std::string aAddress,
                     upstream::Completion<upstream::Inventory> aDone) override
  {
    auto& inventory = engines[aAddress].inventory;
    const auto response = inventory;
    for (auto& model : inventory.models) {
      if (model.state == upstream::ReplicaState::Loading) {
        model.state = upstream::ReplicaState::Loaded;
      }
    }
    std::erase_if(inventory.models, [](const auto& aModel) {
      return aModel.state == upstream::ReplicaState::Unloading;
    });
    mLoop.post([done = std::move(aDone), response] { done(response); });
  }

  void readCacheEvents(
    std::string aAddress,
    std::uint64_t aAfter,
    upstream::Completion<std::vector<upstream::CacheEvent>> aDone) override
  {
    std::vector<upstream::CacheEvent> events;
    for (const auto& event : engines[aAddress].cacheEvents) {
      if (event.sequence > aAfter) {
        events.push_back(event);
      }
    }
    mLoop.post([done = std::move(aDone), events] { done(events); });
  }

  std::map<std::string, Engine> engines;

private:
  static upstream::OrderOutcome accept(Engine& aEngine, const upstream::Order& aOrder)
  {
    auto& inventory = aEngine.inventory;
    if (aEngine.checksFencing) {
      if (aOrder.fencingNumber < inventory.fencingNumber) {
        return upstream::OrderOutcome::StaleFencing;
      }
      inventory.fencingNumber = aOrder.fencingNumber;
    }
    aEngine.orders.push_back(aOrder);
    auto model = std::find_if(
      inventory.models.begin(), inventory.models.end(), [&](const auto& aModel) {
        return aModel.loadable == aOrder.loadable;
      });
    switch (aOrder.kind) {
      case upstream::OrderKind::Load:
        inventory.models.push_back(
          { aOrder.loadable, upstream::ReplicaState::Loading, aOrder.footprintMb });
        break;
      case upstream::OrderKind::Unload:
        if (model != inventory.models.end()) {
          model->state = upstream::ReplicaState::Unloading;
        }
        break;
      case upstream::OrderKind::LoadAdapter:
        if (model != inventory.models.end()) {
          model->adapters.push_back(aOrder.adapter);
        }
        break;
      default:
        break;
    }
    return upstream::OrderOutcome::Accepted;
  }

  event::Loop& mLoop;
};

/// State exchange without a network: each published entry is applied at once by all
/// linked peers.
class FakeSync final : public gossip::StateSync
{
public:
  explicit FakeSync(event::Loop& aLoop)
    : mLoop(aLoop)
  {
  }

  void publish(peer::EntryKind aKind,
               const std::string& aKey,
               std::uint64_t aEpoch,
               std::uint64_t aSequence,
               std::string aPayload,
               Duration aTimeToLive = Duration::zero()) override
  {
    peer::Entry entry;
    entry.set_kind(aKind);
    entry.set_key(aKey);
    entry.set_origin("test");
    entry.set_epoch(aEpoch);
    entry.set_sequence(aSequence);
    entry.set_payload(std::move(aPayload));
    entry.set_ttl_ms(static_cast<std::uint32_t>(toMs(aTimeToLive)));
    apply(entry);
    for (auto* peer : linkedPeers) {
      peer->apply(entry);
    }
  }
  const state::StateMap& entries() const override { return mEntries; }
  void onChange(ChangeCallback aCallback) override { mCallback = std::move(aCallback); }
  std::vector<transport::RemotePeer> peers() const override { return {}; }
  void leave() override { left = true; }

  std::vector<FakeSync*> linkedPeers;
  bool left = false;

private:
  void apply(const peer::Entry& aEntry)
  {
    if (mEntries.apply(aEntry, mLoop.now()) && mCallback) {
      mCallback(aEntry);
    }
  }

  event::Loop& mLoop;
  state::StateMap mEntries;
  ChangeCallback mCallback;
};

} // namespace savoryrill::controller
