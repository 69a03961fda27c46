#include "testing/internal/orderdesk.h"

#include <algorithm>

#include "testing/internal/json.h"

namespace savoryrill::testing {

namespace {

using upstream::OrderKind;

constexpr std::size_t kMaxRemembered = 10000;

std::optional<Refusal>
malformed(const std::string& aDetail)
{
  return Refusal{ 400, "malformed", aDetail };
}

} // namespace

OrderDesk::OrderDesk(const EngineOptions& aOptions,
                     ModelStore& aModels,
                     Recorder& aRecorder)
  : mChecksFencing(aOptions.checksFencing)
  , mHonoursTimeToLive(aOptions.honoursTimeToLive)
  , mModels(aModels)
  , mRecorder(aRecorder)
  , mRole(aOptions.role)
{
}

std::optional<Refusal>
OrderDesk::handle(const Json::Value& aBody, Duration aAge, bool aLeaving)
{
  const bool repeated = mAccepted.count(textMember(aBody, "order_id")) != 0;
  mRecorder.write("order_received", fields({ { "order", aBody } }));
  const auto refusal = repeated ? std::nullopt : decide(aBody, aAge, aLeaving);
  mRecorder.write(
    "order",
    fields({ { "order_id", textMember(aBody, "order_id") },
             { "order_kind", textMember(aBody, "kind") },
             { "model", textMember(aBody, "model") },
             { "version", textMember(aBody, "version") },
             { "adapter", textMember(aBody, "adapter") },
             { "fencing_number", Json::UInt64(numberMember(aBody, "fencing_number")) },
             { "accepted", !refusal },
             { "repeated", repeated },
             { "code", refusal ? refusal->code : "" } }));
  return refusal;
}

std::optional<Refusal>
OrderDesk::decide(const Json::Value& aBody, Duration aAge, bool aLeaving)
{
  const std::string id = textMember(aBody, "order_id");
  const auto kind = fromName<OrderKind>(textMember(aBody, "kind"));
  if (id.empty() || !kind) {
    return malformed("an order needs \"order_id\" and a known \"kind\"");
  }
  const std::uint64_t fencing = numberMember(aBody, "fencing_number");
  if (mChecksFencing && fencing < mFencingNumber) {
    return Refusal{ 409,
                    "stale_fencing",
                    "the fencing number in force is " + std::to_string(mFencingNumber) };
  }
  const auto ttl_ms = numberMember(aBody, "ttl_ms");
  const bool expired = ttl_ms > 0 && std::uint64_t(toMs(aAge)) >= ttl_ms;
  if (mHonoursTimeToLive && expired) {
    return Refusal{ 410, "order_expired", "the order came too late" };
  }
  if (mChecksFencing) {
    // An order that is refused for lack of memory still proves its sender's ownership.
    mFencingNumber = std::max(mFencingNumber, fencing);
  }
  if (aLeaving && (*kind == OrderKind::Load || *kind == OrderKind::LoadAdapter)) {
    return Refusal{ 409, "leaving", "the engine is leaving" };
  }
  auto refusal = carryOut(*kind, aBody);
  if (!refusal) {
    remember(id);
  }
  return refusal;
}

std::optional<Refusal>
OrderDesk::carryOut(OrderKind aKind, const Json::Value& aBody)
{
  const std::string model =
    textMember(aBody, "model") + "@" + textMember(aBody, "version");
  const std::string adapter = textMember(aBody, "adapter");
  const auto size_mb = static_cast<std::uint32_t>(
    std::min<std::uint64_t>(numberMember(aBody, "footprint_mb"), UINT32_MAX));
  const bool names_model =
    model.size() > 2 && model.front() != '@' && model.back() != '@';
  const bool on_model = aKind != OrderKind::SetRole && aKind != OrderKind::Adopt;
  const bool on_adapter =
    aKind == OrderKind::LoadAdapter || aKind == OrderKind::UnloadAdapter;
  if (on_model && !names_model) {
    return malformed("the order needs \"model\" and \"version\"");
  }
  if (on_adapter && adapter.empty()) {
    return malformed("the order needs \"adapter\"");
  }
  switch (aKind) {
    case OrderKind::Load:
      return size_mb == 0 ? malformed("a load needs \"footprint_mb\"")
                          : mModels.load(model, size_mb);
    case OrderKind::Unload:
      return mModels.unload(model);
    case OrderKind::LoadAdapter:
      return mModels.loadAdapter(model, adapter, size_mb);
    case OrderKind::UnloadAdapter:
      return mModels.unloadAdapter(model, adapter);
    case OrderKind::SetRole:
      mRole = textMember(aBody, "role");
      return std::nullopt;
    case OrderKind::Adopt:
      return std::nullopt;
  }
  return std::nullopt;
}

void
OrderDesk::remember(const std::string& aOrderId)
{
  mAccepted.insert(aOrderId);
  mAcceptedOrder.push_back(aOrderId);
  if (mAcceptedOrder.size() > kMaxRemembered) {
    mAccepted.erase(mAcceptedOrder.front());
    mAcceptedOrder.pop_front();
  }
}

} // namespace savoryrill::testing
