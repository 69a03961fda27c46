#include "gateway/internal/peercodec.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>

#include "transport/proto/peer.pb.h"

namespace savoryrill::gateway {

using serving::ReplicaPhase;

namespace {

// More than any host asks for at once; bounds what a message can make this host do.
constexpr std::uint32_t kMaxPermits = 64;

std::uint32_t
milliseconds(Duration aDuration)
{
  constexpr std::int64_t kMaxMilliseconds = std::numeric_limits<std::int32_t>::max();
  return static_cast<std::uint32_t>(
    std::clamp<std::int64_t>(toMs(aDuration), 0, kMaxMilliseconds));
}

bool
isRate(double aPerSecond)
{
  return std::isfinite(aPerSecond) && aPerSecond >= 0;
}

peer::ReplicaState
toMessage(ReplicaPhase aPhase)
{
  switch (aPhase) {
    case ReplicaPhase::Loading:
      return peer::REPLICA_STATE_LOADING;
    case ReplicaPhase::Ready:
      return peer::REPLICA_STATE_LOADED;
    case ReplicaPhase::Unloading:
      return peer::REPLICA_STATE_UNLOADING;
  }
  return peer::REPLICA_STATE_UNSPECIFIED;
}

} // namespace

std::string
encodeDemand(const HostDemand& aDemand)
{
  peer::DemandContent content;
  for (const auto& [upstream, in_flight] : aDemand.loads) {
    auto* load = content.add_loads();
    load->set_upstream(upstream);
    load->set_in_flight(in_flight);
  }
  for (const auto& item : aDemand.items) {
    auto* encoded = content.add_items();
    encoded->set_deployment(item.model.model);
    encoded->set_adapter(item.model.adapter);
    encoded->set_waiting(item.waiting);
    encoded->set_in_flight(item.inFlight);
    encoded->set_arrivals(item.arrivals);
    encoded->set_finished(item.finished);
    encoded->set_in_time_ms(milliseconds(item.timeToObjective));
    if (item.firstLeavesIn) {
      encoded->set_earliest_deadline_ms(milliseconds(*item.firstLeavesIn));
    }
  }
  content.set_stamp(aDemand.reportNumber);
  content.set_list_version(aDemand.listVersion);
  content.set_uptime_ms(milliseconds(aDemand.uptime));
  return content.SerializeAsString();
}

Result<HostDemand>
decodeDemand(const std::string& aPayload)
{
  peer::DemandContent content;
  if (!content.ParseFromString(aPayload)) {
    return fail(ErrorCode::Malformed, "demand report cannot be parsed");
  }
  HostDemand demand;
  demand.reportNumber = content.stamp();
  demand.listVersion = content.list_version();
  // Bounded, so that a malformed number cannot overflow.
  demand.uptime = std::chrono::milliseconds(std::min<std::uint64_t>(
    content.uptime_ms(), std::numeric_limits<std::int32_t>::max()));
  for (const auto& load : content.loads()) {
    demand.loads[load.upstream()] = load.in_flight();
  }
  for (const auto& encoded : content.items()) {
    serving::DemandItem item;
    item.model = { encoded.deployment(), encoded.adapter() };
    item.waiting = encoded.waiting();
    item.inFlight = encoded.in_flight();
    item.arrivals = encoded.arrivals();
    item.finished = encoded.finished();
    item.timeToObjective = std::chrono::milliseconds(encoded.in_time_ms());
    if (item.waiting > 0) {
      item.firstLeavesIn = std::chrono::milliseconds(encoded.earliest_deadline_ms());
    }
    demand.items.push_back(std::move(item));
  }
  return demand;
}

std::string
encodeReplicas(const std::vector<serving::ReplicaView>& aReplicas)
{
  peer::UpstreamContent content;
  for (const auto& replica : aReplicas) {
    auto* encoded = content.add_replicas();
    encoded->set_deployment(replica.model);
    encoded->set_state(toMessage(replica.phase));
    encoded->set_ready_in_ms(milliseconds(replica.readyIn));
    for (const auto& adapter : replica.adapters) {
      encoded->add_adapters(adapter);
    }
  }
  return content.SerializeAsString();
}

Result<std::vector<serving::ReplicaView>>
decodeReplicas(const std::string& aPayload)
{
  peer::UpstreamContent content;
  if (!content.ParseFromString(aPayload)) {
    return fail(ErrorCode::Malformed, "replica views cannot be parsed");
  }
  std::vector<serving::ReplicaView> replicas;
  for (const auto& encoded : content.replicas()) {
    serving::ReplicaView replica;
    replica.model = encoded.deployment();
    switch (encoded.state()) {
      case peer::REPLICA_STATE_LOADED:
        replica.phase = ReplicaPhase::Ready;
        break;
      case peer::REPLICA_STATE_LOADING:
        replica.phase = ReplicaPhase::Loading;
        break;
      default:
        // An unknown state counts as one that accepts no requests.
        replica.phase = ReplicaPhase::Unloading;
        break;
    }
    replica.readyIn = std::chrono::milliseconds(encoded.ready_in_ms());
    replica.adapters.assign(encoded.adapters().begin(), encoded.adapters().end());
    replicas.push_back(std::move(replica));
  }
  return replicas;
}

std::string
encodeLeaderStatus(const LeaderStatus& aStatus)
{
  peer::LeaderContent content;
  content.set_host(aStatus.host);
  content.set_fencing_number(aStatus.fencingNumber);
  content.set_hosts(aStatus.hostCount);
  const auto add = [](auto& aList, const std::map<std::string, Duration>& aTimes) {
    for (const auto& [model, time] : aTimes) {
      auto* encoded = aList.Add();
      encoded->set_deployment(model);
      encoded->set_ready_in_ms(milliseconds(time));
    }
  };
  add(*content.mutable_waits(), aStatus.readyTimes);
  add(*content.mutable_queues(), aStatus.backlogs);
  for (const auto& [upstream, in_flight] : aStatus.loads) {
    auto* load = content.add_loads();
    load->set_upstream(upstream);
    load->set_in_flight(in_flight);
  }
  content.set_config_version(aStatus.configVersion);
  content.set_row_version(aStatus.rowVersion);
  content.set_released(aStatus.released);
  content.set_successor(aStatus.successor);
  for (const auto& [upstream, per_second] : aStatus.limits) {
    auto* limit = content.add_limits();
    limit->set_upstream(upstream);
    limit->set_per_second(per_second);
  }
  return content.SerializeAsString();
}

Result<LeaderStatus>
decodeLeaderStatus(const std::string& aPayload)
{
  peer::LeaderContent content;
  if (!content.ParseFromString(aPayload)) {
    return fail(ErrorCode::Malformed, "leader status cannot be parsed");
  }
  LeaderStatus status;
  status.host = content.host();
  status.fencingNumber = content.fencing_number();
  status.hostCount = content.hosts();
  for (const auto& encoded : content.waits()) {
    status.readyTimes[encoded.deployment()] =
      std::chrono::milliseconds(encoded.ready_in_ms());
  }
  for (const auto& encoded : content.queues()) {
    status.backlogs[encoded.deployment()] =
      std::chrono::milliseconds(encoded.ready_in_ms());
  }
  for (const auto& load : content.loads()) {
    status.loads[load.upstream()] = load.in_flight();
  }
  status.configVersion = content.config_version();
  status.rowVersion = content.row_version();
  status.released = content.released();
  status.successor = content.successor();
  for (const auto& limit : content.limits()) {
    if (isRate(limit.per_second())) {
      status.limits[limit.upstream()] = limit.per_second();
    }
  }
  return status;
}

std::string
encodePermits(const PermitMessage& aMessage)
{
  peer::PermitContent content;
  for (const auto& request : aMessage.requests) {
    auto* encoded = content.add_requests();
    encoded->set_upstream(request.upstream);
    encoded->set_per_second(request.perSecond);
    if (request.age) {
      encoded->set_age_ms(milliseconds(*request.age));
    }
  }
  const auto add = [](const serving::PermitGrant& aGrant,
                      peer::PermitContent::Grant& aEncoded) {
    aEncoded.set_upstream(aGrant.upstream);
    aEncoded.set_count(aGrant.count);
  };
  for (const auto& grant : aMessage.grants) {
    add(grant, *content.add_grants());
  }
  for (const auto& unused : aMessage.unused) {
    add(unused, *content.add_unused());
  }
  for (const auto& upstream : aMessage.lifted) {
    content.add_lifted(upstream);
  }
  return content.SerializeAsString();
}

Result<PermitMessage>
decodePermits(const std::string& aPayload)
{
  peer::PermitContent content;
  if (!content.ParseFromString(aPayload)) {
    return fail(ErrorCode::Malformed, "message on permits cannot be parsed");
  }
  PermitMessage message;
  for (const auto& encoded : content.requests()) {
    if (encoded.upstream().empty() || !isRate(encoded.per_second())) {
      return fail(ErrorCode::Malformed,
                  "message on permits has a request without an upstream or a valid rate");
    }
    serving::PermitRequest request{ encoded.upstream(),
                                    encoded.per_second(),
                                    std::nullopt };
    if (encoded.has_age_ms()) {
      request.age = std::chrono::milliseconds(encoded.age_ms());
    }
    message.requests.push_back(std::move(request));
  }
  const auto decoded = [](const peer::PermitContent::Grant& aEncoded) {
    return serving::PermitGrant{ aEncoded.upstream(),
                                 std::min(aEncoded.count(), kMaxPermits) };
  };
  std::ranges::transform(content.grants(), std::back_inserter(message.grants), decoded);
  std::ranges::transform(content.unused(), std::back_inserter(message.unused), decoded);
  message.lifted.assign(content.lifted().begin(), content.lifted().end());
  return message;
}

std::string
encodeListUpdate(const HostListUpdate& aUpdate)
{
  peer::ListContent content;
  content.set_stamp(aUpdate.reportNumber);
  content.set_base(aUpdate.update.base);
  content.set_version(aUpdate.update.version);
  for (const auto& entry : aUpdate.update.entries) {
    auto* encoded = content.add_upstreams();
    encoded->set_id(entry.id);
    encoded->set_born_ms(entry.bornMs);
    encoded->set_group(entry.group);
    encoded->set_data_centre(entry.dataCentre);
    encoded->set_address(entry.endpoint.address);
    encoded->set_port(entry.endpoint.port);
    encoded->set_concurrency(entry.concurrency);
    encoded->set_leaving(entry.leaving);
    encoded->set_leaves_in_ms(milliseconds(entry.leavesIn));
    encoded->set_row_version(entry.rowVersion);
  }
  for (const auto& id : aUpdate.update.removed) {
    content.add_removed(id);
  }
  return content.SerializeAsString();
}

Result<HostListUpdate>
decodeListUpdate(const std::string& aPayload)
{
  peer::ListContent content;
  if (!content.ParseFromString(aPayload)) {
    return fail(ErrorCode::Malformed, "upstream list update cannot be parsed");
  }
  HostListUpdate list_update;
  list_update.reportNumber = content.stamp();
  list_update.update.base = content.base();
  list_update.update.version = content.version();
  for (const auto& encoded : content.upstreams()) {
    constexpr std::uint32_t kMaxPort = 65535;
    if (encoded.id().empty() || encoded.port() == 0 || encoded.port() > kMaxPort) {
      return fail(ErrorCode::Malformed,
                  "upstream list update has an upstream without id or valid port");
    }
    serving::UpstreamEntry entry;
    entry.id = encoded.id();
    entry.bornMs = encoded.born_ms();
    entry.group = encoded.group();
    entry.dataCentre = encoded.data_centre();
    entry.endpoint = { encoded.address(), static_cast<std::uint16_t>(encoded.port()) };
    entry.concurrency = encoded.concurrency();
    entry.leaving = encoded.leaving();
    entry.leavesIn = std::chrono::milliseconds(encoded.leaves_in_ms());
    entry.rowVersion = encoded.row_version();
    list_update.update.entries.push_back(std::move(entry));
  }
  list_update.update.removed.assign(content.removed().begin(), content.removed().end());
  return list_update;
}

bool
sameApartFromTimes(const std::vector<serving::ReplicaView>& aLeft,
                   const std::vector<serving::ReplicaView>& aRight)
{
  return std::ranges::equal(aLeft, aRight, [](const auto& aOne, const auto& aOther) {
    return aOne.model == aOther.model && aOne.phase == aOther.phase &&
           aOne.adapters == aOther.adapters;
  });
}

} // namespace savoryrill::gateway
