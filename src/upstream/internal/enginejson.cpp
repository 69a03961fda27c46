#include "upstream/internal/enginejson.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <set>

#include "base/jsontext.h"

namespace savoryrill::upstream {

namespace {

constexpr int kAccepted = 202;
constexpr int kConflict = 409;
constexpr int kGone = 410;
constexpr int kInsufficientStorage = 507;
constexpr int kFirstClientError = 400;
constexpr int kFirstServerError = 500;

// Well above what one engine can list, so that a faulty engine cannot exhaust memory.
constexpr std::size_t kMaxModels = 10000;
constexpr std::size_t kMaxAdapters = 10000;
constexpr std::size_t kMaxNameBytes = 512;

auto
malformed(const std::string& aWhat)
{
  return fail(ErrorCode::Malformed, "invalid engine response: " + aWhat);
}

std::optional<std::string>
nameMember(const Json::Value& aObject, std::string_view aName)
{
  auto name = stringMember(aObject, aName);
  if (!name || name->empty() || name->size() > kMaxNameBytes) {
    return std::nullopt;
  }
  return name;
}

std::optional<config::Loadable>
loadableOf(const Json::Value& aObject)
{
  const auto deployment = nameMember(aObject, "model");
  const auto version = nameMember(aObject, "version");
  if (!deployment || !version) {
    return std::nullopt;
  }
  return config::Loadable{ *deployment, *version };
}

Result<std::vector<std::string>>
adaptersOf(const Json::Value& aModel)
{
  const Json::Value& list = memberOf(aModel, "adapters");
  if (!list.isArray() || list.size() > kMaxAdapters) {
    return malformed("a model has no list of adapters, or one that is too long");
  }
  std::set<std::string> names;
  std::vector<std::string> adapters;
  for (const auto& item : list) {
    const bool usable = item.isString() && !item.asString().empty() &&
                        item.asString().size() <= kMaxNameBytes;
    if (!usable || !names.insert(item.asString()).second) {
      return malformed("a model has an invalid or repeated adapter");
    }
    adapters.push_back(item.asString());
  }
  return adapters;
}

Result<ResidentModel>
modelOf(const Json::Value& aModel)
{
  const auto loadable = loadableOf(aModel);
  const auto footprint = unsignedMember<std::uint32_t>(aModel, "footprint_mb");
  const auto state = fromName<ReplicaState>(stringMember(aModel, "state").value_or(""));
  const auto locality =
    fromName<CheckpointLocality>(stringMember(aModel, "locality").value_or(""));
  if (!loadable || !footprint || !state || !locality) {
    return malformed("a model has an invalid name, footprint, state or locality");
  }
  BOOST_OUTCOME_TRY(adapters, adaptersOf(aModel));
  const bool resident =
    *state == ReplicaState::Loaded || *state == ReplicaState::Unloading;
  if (!resident && !adapters.empty()) {
    return malformed("model " + toString(*loadable) + " has adapters but is not loaded");
  }
  return ResidentModel{ *loadable, *state, *footprint, *locality, adapters };
}

Result<LoadReport>
loadReportOf(const Json::Value& aValue)
{
  const auto running = unsignedMember<std::uint32_t>(aValue, "running");
  const auto waiting = unsignedMember<std::uint32_t>(aValue, "waiting");
  const Json::Value& cache = memberOf(aValue, "kv_cache_used");
  if (!running || !waiting || !cache.isNumeric()) {
    return malformed("the load report is incomplete");
  }
  const double used = cache.asDouble();
  if (!std::isfinite(used) || used < 0 || used > 1) {
    return malformed("kv_cache_used is not a number from 0 to 1");
  }
  return LoadReport{ *running, *waiting, used };
}

Result<std::vector<ResidentModel>>
modelsOf(const Json::Value& aList)
{
  if (!aList.isArray() || aList.size() > kMaxModels) {
    return malformed("the list of models is missing or too long");
  }
  std::set<config::Loadable> seen;
  std::vector<ResidentModel> models;
  for (const auto& item : aList) {
    BOOST_OUTCOME_TRY(model, modelOf(item));
    if (!seen.insert(model.loadable).second) {
      return malformed("model " + toString(model.loadable) + " is listed twice");
    }
    models.push_back(std::move(model));
  }
  return models;
}

std::optional<std::uint64_t>
decimalMember(const Json::Value& aObject, std::string_view aName)
{
  const auto text = stringMember(aObject, aName);
  if (!text) {
    return std::nullopt;
  }
  std::uint64_t value = 0;
  const auto [end, error] =
    std::from_chars(text->data(), text->data() + text->size(), value);
  if (error != std::errc() || end != text->data() + text->size()) {
    return std::nullopt;
  }
  return value;
}

Result<CacheEvent>
cacheEventOf(const Json::Value& aValue)
{
  const auto sequence = unsignedMember<std::uint64_t>(aValue, "sequence");
  const auto kind = stringMember(aValue, "kind");
  const auto loadable = loadableOf(aValue);
  const auto hash = decimalMember(aValue, "prefix_hash");
  const bool known_kind = kind && (*kind == "stored" || *kind == "evicted");
  if (!sequence || !known_kind || !loadable || !hash) {
    return malformed("a cache event is incomplete or of unknown kind");
  }
  return CacheEvent{ *sequence, *kind == "stored", *loadable, *hash };
}

} // namespace

std::string
encodeOrder(const Order& aOrder)
{
  Json::Value body(Json::objectValue);
  body["order_id"] = aOrder.orderId;
  body["kind"] = std::string(nameOf(aOrder.kind));
  body["model"] = aOrder.loadable.deployment;
  body["version"] = aOrder.loadable.version;
  body["adapter"] = aOrder.adapter;
  body["role"] = aOrder.role;
  body["footprint_mb"] = aOrder.footprintMb;
  body["fencing_number"] = Json::UInt64(aOrder.fencingNumber);
  body["ttl_ms"] = Json::Int64(toMs(aOrder.timeToLive));
  return toCompactJson(body);
}

OrderOutcome
decodeOrderResponse(int aStatus, const std::string& aBody)
{
  if (aStatus == kAccepted) {
    return OrderOutcome::Accepted;
  }
  const auto body = parseJson(aBody);
  const std::string code =
    body ? stringMember(body.value(), "code").value_or("") : std::string();
  if (aStatus == kConflict && code == nameOf(OrderOutcome::StaleFencing)) {
    return OrderOutcome::StaleFencing;
  }
  if (aStatus == kGone && code == nameOf(OrderOutcome::Expired)) {
    return OrderOutcome::Expired;
  }
  if (aStatus == kInsufficientStorage && code == nameOf(OrderOutcome::OutOfMemory)) {
    return OrderOutcome::OutOfMemory;
  }
  if (aStatus >= kFirstClientError && aStatus < kFirstServerError) {
    return OrderOutcome::Rejected;
  }
  // Also for success statuses other than 202, which do not tell what the engine did.
  return OrderOutcome::Unknown;
}

Result<Inventory>
decodeInventory(std::string_view aBody)
{
  BOOST_OUTCOME_TRY(body, parseJson(aBody));
  const auto incarnation = unsignedMember<std::uint64_t>(body, "incarnation");
  const auto fencing = unsignedMember<std::uint64_t>(body, "fencing_number");
  const auto memory = unsignedMember<std::uint32_t>(body, "memory_mb");
  const Json::Value& leaving = memberOf(body, "leaving");
  const auto role = stringMember(body, "role");
  if (!incarnation || !fencing || !memory || !leaving.isBool() || !role ||
      role->size() > kMaxNameBytes) {
    return malformed("the inventory is incomplete");
  }
  BOOST_OUTCOME_TRY(models, modelsOf(memberOf(body, "models")));
  BOOST_OUTCOME_TRY(load, loadReportOf(memberOf(body, "load")));
  return Inventory{
    *incarnation, *fencing, *memory, leaving.asBool(), *role, models, load
  };
}

Result<std::vector<CacheEvent>>
decodeCacheEvents(std::string_view aBody, std::uint64_t aAfter)
{
  BOOST_OUTCOME_TRY(body, parseJson(aBody));
  const Json::Value& list = memberOf(body, "events");
  if (!list.isArray()) {
    return malformed("the list of cache events is missing");
  }
  std::vector<CacheEvent> events;
  for (const auto& item : list) {
    BOOST_OUTCOME_TRY(event, cacheEventOf(item));
    if (event.sequence > aAfter) {
      events.push_back(std::move(event));
    }
  }
  std::stable_sort(
    events.begin(), events.end(), [](const CacheEvent& aLeft, const CacheEvent& aRight) {
      return aLeft.sequence < aRight.sequence;
    });
  return events;
}

} // namespace savoryrill::upstream
