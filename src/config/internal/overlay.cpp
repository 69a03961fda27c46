#include "config/internal/overlay.h"

#include <algorithm>
#include <array>

namespace savoryrill::config {

namespace {

/// Keys that an overlay may set; `*` stands for a name that the base must have.
using Pattern = std::array<std::string_view, 3>;
constexpr std::array<Pattern, 9> kPerSiteKeys{ {
  { "deployments", "*", "priority" },
  { "deployments", "*", "deadline_ms" },
  { "deployments", "*", "max_queue" },
  { "deployments", "*", "max_queue_bytes" },
  { "deployments", "*", "keep_alive" },
  { "deployments", "*", "objectives" },
  { "services", "*", "deadline_ms" },
  { "services", "*", "max_queue" },
  { "upstreams", "*", "address" },
} };

bool
matches(std::string_view aPattern, const std::string& aPart)
{
  return aPattern == "*" || aPattern == aPart;
}

/// What may follow `aPath`, empty if nothing may.
std::vector<std::string_view>
continuations(const KeyPath& aPath)
{
  std::vector<std::string_view> result;
  for (const auto& pattern : kPerSiteKeys) {
    const bool prefix = aPath.size() < pattern.size() &&
                        std::equal(aPath.begin(),
                                   aPath.end(),
                                   pattern.begin(),
                                   [](const std::string& aPart, std::string_view aWord) {
                                     return matches(aWord, aPart);
                                   });
    if (prefix && (result.empty() || result.back() != pattern[aPath.size()])) {
      result.push_back(pattern[aPath.size()]);
    }
  }
  return result;
}

void
mergeValue(Json::Value& aTarget, const Json::Value& aOverlay)
{
  if (!aTarget.isObject() || !aOverlay.isObject() || aOverlay.isMember("policy")) {
    aTarget = aOverlay;
    return;
  }
  for (auto entry = aOverlay.begin(); entry != aOverlay.end(); ++entry) {
    mergeValue(aTarget[entry.name()], *entry);
  }
}

class Merger
{
public:
  Merger(const ReadContext& aContext, const std::string& aSite)
    : mContext(aContext)
    , mSite(aSite)
  {
  }

  void merge(const KeyPath& aPath, Json::Value& aTarget, const Json::Value& aOverlay)
  {
    if (!aOverlay.isObject()) {
      mContext.error(aPath, "must be an object");
      return;
    }
    const auto allowed = continuations(aPath);
    for (auto entry = aOverlay.begin(); entry != aOverlay.end(); ++entry) {
      mergeMember(aPath, entry.name(), allowed, aTarget, *entry);
    }
  }

private:
  void mergeMember(const KeyPath& aPath,
                   const std::string& aKey,
                   const std::vector<std::string_view>& aAllowed,
                   Json::Value& aTarget,
                   const Json::Value& aOverlay)
  {
    const KeyPath path = memberOf(aPath, aKey);
    const bool named = !aAllowed.empty() && aAllowed.front() == "*";
    if (named && !knownName(path, aKey, aTarget)) {
      return;
    }
    if (!named && std::find(aAllowed.begin(), aAllowed.end(), aKey) == aAllowed.end()) {
      rejectKey(path, aKey, aAllowed, aTarget, aOverlay);
      return;
    }
    if (path.size() < std::tuple_size_v<Pattern>) {
      if (!aTarget.isObject()) {
        return; // reported when the base is read
      }
      merge(path, aTarget[aKey], aOverlay);
    } else if (path.front() != "upstreams" || ownUpstream(path, aTarget)) {
      if (aTarget.isObject()) {
        mergeValue(aTarget[aKey], aOverlay);
      }
    }
  }

  bool knownName(const KeyPath& aPath,
                 const std::string& aName,
                 const Json::Value& aTarget) const
  {
    if (aTarget.isObject() && aTarget.isMember(aName)) {
      return true;
    }
    const auto names =
      aTarget.isObject() ? aTarget.getMemberNames() : Json::Value::Members();
    mContext.error(aPath,
                   "the base has no such entry, and an overlay may not add one" +
                     suggestion(aName, { names.begin(), names.end() }));
    return false;
  }

  void rejectKey(const KeyPath& aPath,
                 const std::string& aKey,
                 const std::vector<std::string_view>& aAllowed,
                 const Json::Value& aTarget,
                 const Json::Value& aOverlay) const
  {
    // Each file may state its schema version.
    const bool same_schema = aPath.size() == 1 && aKey == "schema_version" &&
                             aTarget.isObject() && aTarget[aKey] == aOverlay;
    if (!same_schema) {
      mContext.error(aPath,
                     "an overlay may not set this key" + suggestion(aKey, aAllowed));
    }
  }

  bool ownUpstream(const KeyPath& aPath, const Json::Value& aUpstream) const
  {
    const Json::Value site = aUpstream.isObject() ? aUpstream["data_centre"] : "";
    if (site.isString() && site.asString() == mSite) {
      return true;
    }
    mContext.error(aPath,
                   "the upstream is not in data centre " + inQuotes(mSite) +
                     ", and an overlay may change only addresses of its own site");
    return false;
  }

  const ReadContext& mContext;
  const std::string& mSite;
};

} // namespace

Json::Value
mergeOverlay(const ReadContext& aContext,
             const Json::Value& aBase,
             const Json::Value& aOverlay,
             const std::string& aSite)
{
  Json::Value merged = aBase;
  Merger(aContext, aSite).merge({}, merged, aOverlay);
  return merged;
}

} // namespace savoryrill::config
