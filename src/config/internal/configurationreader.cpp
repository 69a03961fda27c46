#include "config/internal/configurationreader.h"

namespace savoryrill::config {

namespace {

constexpr std::uint64_t kSchemaVersion = 1;

constexpr IntegerRange kTimeMs{ 1, 3'600'000 };    // up to an hour
constexpr IntegerRange kKeepAliveS{ 0, 604'800 };  // up to a week
constexpr IntegerRange kLeadS{ 0, 86'400 };        // up to a day
constexpr IntegerRange kMemoryMb{ 1, 16'777'216 }; // up to 16 TB
constexpr IntegerRange kOptionalMemoryMb{ 0, 16'777'216 };
constexpr IntegerRange kCount{ 1, 100'000 };
constexpr IntegerRange kQueueBytes{ 1, 1'099'511'627'776 }; // up to 1 TB
constexpr Range<double> kLoadsPerSecond{ 0.001, 100'000 };
constexpr Range<double> kWeight{ 0, 1 };
constexpr Range<double> kQuota{ 0, 1e12 };
/// Below 1, because an error budget of zero has no burn rate.
constexpr Range<double> kAvailability{ 0, 0.999999 };

class Reader
{
public:
  Reader(const ReadContext& aContext, const Json::Value& aRoot)
    : mContext(aContext)
    , mRoot(aRoot)
  {
  }

  ReadConfiguration run()
  {
    ObjectReader root(mContext, {}, mRoot);
    std::uint64_t schema_version = kSchemaVersion;
    root.integer("schema_version",
                 schema_version,
                 { kSchemaVersion, kSchemaVersion },
                 Presence::Required);
    root.text("region", mTarget.region, checkName, Presence::Required);
    root.texts("data_centres", mTarget.dataCentres, checkName, Presence::Required);
    readWeightStore(root);
    readPools(root);
    readUpstreams(root);
    readDeployments(root);
    readServices(root);
    readCallers(root);
    readOrganisations(root);
    root.finish();
    return std::move(mRead);
  }

private:
  void readWeightStore(ObjectReader& aRoot)
  {
    const Json::Value* value = aRoot.member("weight_store", Presence::Optional);
    if (value == nullptr) {
      return;
    }
    auto& store = mTarget.weightStore;
    ObjectReader reader(mContext, aRoot.pathOf("weight_store"), *value);
    reader.real("loads_per_second", store.loadsPerSecond, kLoadsPerSecond);
    reader.integer("full_speed_loads", store.fullSpeedLoads, kCount);
    reader.integer("adapters_in_flight", store.adaptersInFlight, kCount);
    reader.finish();
  }

  void readPools(ObjectReader& aRoot)
  {
    const auto read =
      [this](const std::string& aName, const KeyPath& aPath, const Json::Value& aValue) {
        ObjectReader reader(mContext, aPath, aValue);
        reader.enumeration("kind", mTarget.pools[aName], Presence::Required);
        reader.finish();
      };
    aRoot.named("pools", Presence::Required, read);
  }

  void readUpstreams(ObjectReader& aRoot)
  {
    const std::size_t errors = mContext.findings.errors();
    const auto read =
      [this](const std::string& aName, const KeyPath& aPath, const Json::Value& aValue) {
        auto& upstream = mTarget.upstreams[aName];
        ObjectReader reader(mContext, aPath, aValue);
        reader.text("pool", upstream.pool, checkName, Presence::Required);
        reader.text("data_centre", upstream.dataCentre, checkName, Presence::Required);
        reader.text("address", upstream.address, checkAddress, Presence::Required);
        reader.integer("memory_mb", upstream.memoryMb, kOptionalMemoryMb);
        reader.integer("adapter_memory_mb", upstream.adapterMemoryMb, kOptionalMemoryMb);
        reader.boolean("checks_fencing", upstream.checksFencing);
        reader.integer("max_concurrency", upstream.maxConcurrency, kCount);
        reader.finish();
      };
    aRoot.named("upstreams", Presence::Required, read);
    mRead.upstreamsSound = errors == mContext.findings.errors();
  }

  void readDeployments(ObjectReader& aRoot)
  {
    const auto read =
      [this](const std::string& aName, const KeyPath& aPath, const Json::Value& aValue) {
        ObjectReader reader(mContext, aPath, aValue);
        readDeployment(reader, mTarget.deployments[aName]);
        reader.finish();
      };
    aRoot.named("deployments", Presence::Optional, read);
  }

  void readDeployment(ObjectReader& aReader, Deployment& aTarget)
  {
    aReader.text("pool", aTarget.pool, checkName, Presence::Required);
    aReader.integer("max_replicas", aTarget.maxReplicas, kCount, Presence::Required);
    aReader.integer("footprint_mb", aTarget.footprintMb, kMemoryMb, Presence::Required);
    aReader.milliseconds("load_ms", aTarget.loadTime, kTimeMs);
    aReader.texts("versions", aTarget.versions, checkName, Presence::Required);
    readAdapters(aReader, aTarget.adapters);
    aReader.enumeration("priority", aTarget.priority);
    aReader.milliseconds("deadline_ms", aTarget.deadline, kTimeMs);
    aReader.integer("max_queue", aTarget.maxQueue, kCount);
    aReader.integer("max_queue_bytes", aTarget.maxQueueBytes, kQueueBytes);
    aReader.real("cold_start_weight", aTarget.coldStartWeight, kWeight);
    readKeepAlive(aReader, aTarget.keepAlive);
    readPrewarm(aReader, aTarget.prewarm);
    readObjectives(aReader, aTarget.objectives);
  }

  void readAdapters(ObjectReader& aReader, std::map<std::string, Adapter>& aTarget)
  {
    const auto read =
      [&](const std::string& aName, const KeyPath& aPath, const Json::Value& aValue) {
        ObjectReader reader(mContext, aPath, aValue);
        reader.integer("size_mb", aTarget[aName].sizeMb, kMemoryMb, Presence::Required);
        reader.finish();
      };
    aReader.named("adapters", Presence::Optional, read);
  }

  void readKeepAlive(ObjectReader& aReader, KeepAlive& aTarget)
  {
    const Json::Value* value = aReader.member("keep_alive", Presence::Optional);
    if (value == nullptr) {
      return;
    }
    const KeyPath path = aReader.pathOf("keep_alive");
    ObjectReader reader(mContext, path, *value);
    const auto policy = readPolicy(reader);
    if (!policy) {
      return;
    }
    if (*policy == Policy::Fixed) {
      FixedKeepAlive fixed;
      reader.seconds("idle_s", fixed.idle, kKeepAliveS);
      aTarget = fixed;
    } else {
      HistogramKeepAlive histogram;
      reader.seconds("min_s", histogram.minimum, kKeepAliveS);
      reader.seconds("max_s", histogram.maximum, kKeepAliveS);
      if (histogram.minimum > histogram.maximum) {
        mContext.error(path, "min_s is above max_s");
      }
      aTarget = histogram;
    }
    reader.finish();
  }

  enum class Policy
  {
    Fixed,
    Histogram
  };

  std::optional<Policy> readPolicy(ObjectReader& aReader)
  {
    const Json::Value* value = aReader.member("policy", Presence::Required);
    if (value == nullptr) {
      return std::nullopt;
    }
    const std::string name = value->isString() ? value->asString() : "";
    if (name == "fixed") {
      return Policy::Fixed;
    }
    if (name == "histogram") {
      return Policy::Histogram;
    }
    mContext.error(aReader.pathOf("policy"),
                   "must be one of fixed, histogram" +
                     suggestion(name, { "fixed", "histogram" }));
    return std::nullopt;
  }

  void readPrewarm(ObjectReader& aReader, std::vector<PrewarmTime>& aTarget)
  {
    const auto read = [&](const KeyPath& aPath, const Json::Value& aValue) {
      ObjectReader reader(mContext, aPath, aValue);
      PrewarmTime time;
      const Json::Value* at = reader.member("at", Presence::Required);
      if (at != nullptr) {
        const auto minute =
          at->isString() ? parseTimeOfDay(at->asString()) : std::nullopt;
        if (!minute) {
          mContext.error(reader.pathOf("at"), "must be a time of day \"HH:MM\" in UTC");
        }
        time.minuteOfDay = minute.value_or(0);
      }
      reader.seconds("lead_s", time.lead, kLeadS);
      reader.finish();
      aTarget.push_back(time);
    };
    aReader.elements("prewarm", Presence::Optional, read);
  }

  void readObjectives(ObjectReader& aReader, Objectives& aTarget)
  {
    const Json::Value* value = aReader.member("objectives", Presence::Optional);
    if (value == nullptr) {
      return;
    }
    ObjectReader reader(mContext, aReader.pathOf("objectives"), *value);
    reader.real("availability", aTarget.availability, kAvailability);
    reader.milliseconds("first_token_ms", aTarget.firstToken, kTimeMs);
    reader.milliseconds("cold_start_ms", aTarget.coldStart, kTimeMs);
    reader.finish();
  }

  void readServices(ObjectReader& aRoot)
  {
    const auto read =
      [this](const std::string& aName, const KeyPath& aPath, const Json::Value& aValue) {
        auto& service = mTarget.services[aName];
        ObjectReader reader(mContext, aPath, aValue);
        reader.text("pool", service.pool, checkName, Presence::Required);
        reader.text("path", service.path, checkUrlPath, Presence::Required);
        reader.texts("methods", service.methods, checkMethod, Presence::Required);
        reader.boolean("repeatable", service.repeatable);
        reader.milliseconds("deadline_ms", service.deadline, kTimeMs);
        reader.integer("max_queue", service.maxQueue, kCount);
        reader.finish();
      };
    aRoot.named("services", Presence::Optional, read);
  }

  void readCallers(ObjectReader& aRoot)
  {
    const auto read = [this](const std::string& aName,
                             const KeyPath& aPath,
                             const Json::Value& aValue) {
      ObjectReader reader(mContext, aPath, aValue);
      reader.text(
        "key_sha256", mTarget.callers[aName].keySha256, checkSha256, Presence::Required);
      reader.finish();
    };
    aRoot.named("callers", Presence::Optional, read);
  }

  void readOrganisations(ObjectReader& aRoot)
  {
    const auto read =
      [this](const std::string& aName, const KeyPath& aPath, const Json::Value& aValue) {
        auto& organisation = mTarget.organisations[aName];
        ObjectReader reader(mContext, aPath, aValue);
        reader.texts(
          "keys_sha256", organisation.keysSha256, checkSha256, Presence::Required);
        if (aValue.isObject() && aValue.isMember("priority")) {
          reader.enumeration("priority", organisation.priority.emplace());
        }
        reader.enumeration("unit", organisation.unit);
        reader.real("rate_per_s", organisation.ratePerSecond, kQuota);
        reader.real("burst", organisation.burst, kQuota);
        reader.real("default_tokens", organisation.defaultTokens, kQuota);
        reader.finish();
      };
    aRoot.named("organisations", Presence::Optional, read);
  }

  const ReadContext& mContext;
  const Json::Value& mRoot;
  ReadConfiguration mRead;
  Configuration& mTarget = mRead.configuration;
};

} // namespace

ReadConfiguration
readConfiguration(const ReadContext& aContext, const Json::Value& aRoot)
{
  return Reader(aContext, aRoot).run();
}

} // namespace savoryrill::config
