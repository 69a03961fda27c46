#include <CppUTest/TestHarness.h>

#include "routing/servingview.h"
#include "routing/upstreamloads.h"

using namespace savoryrill;
using namespace savoryrill::routing;

TEST_GROUP(ServingView)
{
  Instant now{ 1000s };
  ServingView view;
  config::ModelReference model{ { "drift", "3" }, "" };

  void setup() override
  {
    auto configuration = std::make_shared<config::Configuration>();
    configuration->upstreams["one"] = {
      "advisory", "xela", "127.0.0.1:1", 0, 0, true, 2
    };
    configuration->upstreams["two"] = {
      "advisory", "toto", "127.0.0.1:2", 0, 0, true, 2
    };
    view.setConfiguration(configuration);
  }

  void report(const std::string& aUpstream,
              std::uint64_t aIncarnation,
              peer::ReplicaState aState,
              std::uint32_t aReadyInMs = 0,
              bool aReachable = true)
  {
    peer::UpstreamContent content;
    content.set_upstream(aUpstream);
    content.set_upstream_incarnation(aIncarnation);
    content.set_reachable(aReachable);
    content.set_running(3);
    auto& replica = *content.add_replicas();
    replica.set_deployment("drift");
    replica.set_version("3");
    replica.set_state(aState);
    replica.add_adapters("san-juan");
    replica.set_ready_in_ms(aReadyInMs);
    apply(peer::ENTRY_KIND_UPSTREAM, aUpstream, content.SerializeAsString());
  }

  void leave(const std::string& aUpstream, std::uint64_t aIncarnation)
  {
    peer::LeavingContent content;
    content.set_upstream(aUpstream);
    content.set_upstream_incarnation(aIncarnation);
    apply(peer::ENTRY_KIND_LEAVING, aUpstream, content.SerializeAsString());
  }

  void apply(peer::EntryKind aKind, const std::string& aKey, const std::string& aPayload)
  {
    peer::Entry entry;
    entry.set_kind(aKind);
    entry.set_key(aKey);
    entry.set_payload(aPayload);
    view.apply(entry, now);
  }
};

// Guards against requests to replicas that are still loading or lack the adapter.
TEST(ServingView, serving_onlyLoadedReplicasWithAdapter)
{
  report("one", 1, peer::REPLICA_STATE_LOADED);
  report("two", 1, peer::REPLICA_STATE_LOADING, 1500);
  LONGS_EQUAL(1, view.serving(model).size());
  model.adapter = "san-juan";
  LONGS_EQUAL(1, view.serving(model).size());
  model.adapter = "other";
  LONGS_EQUAL(0, view.serving(model).size());
  LONGS_EQUAL(1500, toMs(*view.readyIn(model.loadable, now)));
  LONGS_EQUAL(500, toMs(*view.readyIn(model.loadable, now + 1s)));
}

// Guards against new requests to a leaving upstream, also after a later report, and
// against treating an upstream as leaving after its restart.
TEST(ServingView, leaving_staysSetWithinIncarnation)
{
  report("one", 5, peer::REPLICA_STATE_LOADED);
  leave("one", 5);
  report("one", 5, peer::REPLICA_STATE_LOADED);
  LONGS_EQUAL(0, view.serving(model).size());
  report("one", 6, peer::REPLICA_STATE_LOADED);
  LONGS_EQUAL(1, view.serving(model).size());
}

// Guards against sending the waiting requests to a leaving engine that becomes reachable
// again before its `leaving` entry arrives.
TEST(ServingView, reachableAgain_reportedAsLeaving_isNotOffered)
{
  report("one", 5, peer::REPLICA_STATE_LOADED, 0, false);
  peer::UpstreamContent content;
  content.set_upstream("one");
  content.set_upstream_incarnation(5);
  content.set_reachable(true);
  content.set_leaving(true);
  auto& replica = *content.add_replicas();
  replica.set_deployment("drift");
  replica.set_version("3");
  replica.set_state(peer::REPLICA_STATE_LOADED);
  apply(peer::ENTRY_KIND_UPSTREAM, "one", content.SerializeAsString());
  LONGS_EQUAL(0, view.serving(model).size());
}

// Guards against using unreachable or unconfigured upstreams, and payloads that cannot be
// parsed.
TEST(ServingView, unusableUpstreams_areNotOffered)
{
  report("one", 1, peer::REPLICA_STATE_LOADED, 0, false);
  report("unknown", 1, peer::REPLICA_STATE_LOADED);
  apply(peer::ENTRY_KIND_UPSTREAM, "two", "\xff\xff garbage");
  LONGS_EQUAL(0, view.serving(model).size());
}

// Guards against choosing an engine again right after it responded that the model is not
// loaded.
TEST(ServingView, markNotLoaded_holdsUntilNextReport)
{
  report("one", 1, peer::REPLICA_STATE_LOADED);
  view.markNotLoaded("one", model);
  LONGS_EQUAL(0, view.serving(model).size());
  report("one", 1, peer::REPLICA_STATE_LOADED);
  LONGS_EQUAL(1, view.serving(model).size());
}

// Guards against sending requests for a plain service to another data centre while an
// upstream in the own one is usable.
TEST(ServingView, usableInPool_ownDataCentreFirst)
{
  STRCMP_EQUAL("one", view.usableInPool("advisory", "xela").front().c_str());
  leave("one", 0);
  STRCMP_EQUAL("two", view.usableInPool("advisory", "xela").front().c_str());
}

// Guards against exceeding the maximum concurrency of an upstream, and against requests
// to an upstream whose circuit is open.
TEST(ServingView, candidates_fullOrOpenCircuit_areLeftOut)
{
  UpstreamLoads loads;
  const std::vector<std::string> names{ "one", "two" };
  const auto count = [&] {
    return loads.candidates(names, view, "xela", {}, now).size();
  };
  LONGS_EQUAL(2, count());
  loads.dispatched("one", now);
  loads.dispatched("one", now);
  LONGS_EQUAL(1, count());
  for (int i = 0; i < 5; ++i) {
    loads.dispatched("two", now);
    loads.ended("two", AttemptVerdict::Failed, now);
  }
  LONGS_EQUAL(0, count());
  now += 1s;
  LONGS_EQUAL(1, count());
  loads.dispatched("two", now); // the probe
  LONGS_EQUAL(0, count());
}
