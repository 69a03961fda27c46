#include "routing/upstreamloads.h"

namespace savoryrill::routing {

namespace {

/// Length in blocks of the longest cached prefix of the prompt.
std::uint32_t
cachedBlocks(const UpstreamView& aView, const std::vector<std::uint64_t>& aPrefixes)
{
  for (std::size_t length = aPrefixes.size(); length > 0; --length) {
    if (aView.cachedPrefixes.count(aPrefixes[length - 1]) > 0) {
      return static_cast<std::uint32_t>(length);
    }
  }
  return 0;
}

} // namespace

void
UpstreamLoads::dispatched(const std::string& aUpstream, Instant aNow)
{
  auto& load = mLoads[aUpstream];
  ++load.inFlight;
  load.breaker.dispatched(aNow);
}

void
UpstreamLoads::ended(const std::string& aUpstream, AttemptVerdict aVerdict, Instant aNow)
{
  auto& load = mLoads[aUpstream];
  load.inFlight -= load.inFlight > 0 ? 1 : 0;
  switch (aVerdict) {
    case AttemptVerdict::Answered:
      load.breaker.succeeded();
      break;
    case AttemptVerdict::Failed:
      load.breaker.failed(aNow);
      break;
    case AttemptVerdict::Abandoned:
      load.breaker.abandoned();
      break;
  }
}

std::uint32_t
UpstreamLoads::inFlight(const std::string& aUpstream) const
{
  const auto found = mLoads.find(aUpstream);
  return found == mLoads.end() ? 0 : found->second.inFlight;
}

CircuitState
UpstreamLoads::circuit(const std::string& aUpstream, Instant aNow) const
{
  const auto found = mLoads.find(aUpstream);
  return found == mLoads.end() ? CircuitState::Closed : found->second.breaker.state(aNow);
}

std::vector<Candidate>
UpstreamLoads::candidates(const std::vector<std::string>& aNames,
                          const ServingView& aView,
                          const std::string& aDataCentre,
                          const std::vector<std::uint64_t>& aPrefixes,
                          Instant aNow) const
{
  std::vector<Candidate> result;
  for (const auto& name : aNames) {
    const auto* properties = aView.configured(name);
    const auto load = mLoads.find(name);
    const bool blocked = load != mLoads.end() && !load->second.breaker.allows(aNow);
    const bool full =
      properties == nullptr || inFlight(name) >= properties->maxConcurrency;
    if (blocked || full) {
      continue;
    }
    const auto& view = aView.upstream(name);
    Candidate candidate;
    candidate.upstream = name;
    candidate.reportedLoad = view.reportedLoad;
    candidate.ownInFlight = inFlight(name);
    candidate.sameDataCentre = properties->dataCentre == aDataCentre;
    candidate.cachedPrefixBlocks = cachedBlocks(view, aPrefixes);
    result.push_back(std::move(candidate));
  }
  return result;
}

} // namespace savoryrill::routing
