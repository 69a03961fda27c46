#include "config/bundle.h"

#include <algorithm>
#include <json/json.h>
#include <limits>
#include <optional>

#include "config/internal/configurationreader.h"
#include "config/internal/document.h"
#include "config/internal/overlay.h"

namespace savoryrill::config {

namespace {

class BundleChecker
{
public:
  explicit BundleChecker(const Bundle& aBundle)
    : mBundle(aBundle)
    , mBase(Document::parse(aBundle.base.name, aBundle.base.text, mFindings))
  {
  }

  CheckedBundle run()
  {
    CheckedBundle result;
    for (const auto& [site, source] : mBundle.overlays) {
      mOverlays[site] = Document::parse(source.name, source.text, mFindings);
    }
    if (mBase) {
      // Overlays cannot hide a fault of the base from the other sites.
      const Configuration base = read(Locator(*mBase), mBase->root());
      checkSites(base);
      for (const auto& site : base.dataCentres) {
        result.sites[site] = readSite(site, base);
      }
    }
    result.findings = mFindings.take();
    if (hasErrors(result.findings)) {
      result.sites.clear();
    }
    return result;
  }

private:
  Configuration read(const Locator& aLocator, const Json::Value& aRoot)
  {
    const ReadContext context{ aLocator, mFindings };
    ReadConfiguration read = readConfiguration(context, aRoot);
    checkReferences(context, read);
    return std::move(read.configuration);
  }

  void checkSites(const Configuration& aBase)
  {
    const auto& sites = aBase.dataCentres;
    for (const auto& [site, source] : mBundle.overlays) {
      if (std::find(sites.begin(), sites.end(), site) == sites.end()) {
        mFindings.add({ FindingLevel::Error,
                        source.name,
                        0,
                        "",
                        "the overlay is for " + inQuotes(site) +
                          ", which is not in data_centres of the base" +
                          suggestion(site, { sites.begin(), sites.end() }) });
      }
    }
    for (const auto& site : sites) {
      if (!mBundle.overlays.empty() && mBundle.overlays.count(site) == 0) {
        mFindings.add(
          { FindingLevel::Warning,
            mBundle.base.name,
            mBase->find({ "data_centres" }).line,
            "data_centres",
            "no overlay for " + inQuotes(site) + "; the base applies there unchanged" });
      }
    }
  }

  Configuration readSite(const std::string& aSite, const Configuration& aBase)
  {
    const auto overlay = mOverlays.find(aSite);
    Configuration configuration;
    if (overlay != mOverlays.end() && overlay->second) {
      const Document& document = *overlay->second;
      const Locator locator(*mBase, &document);
      const Json::Value merged =
        mergeOverlay({ locator, mFindings }, mBase->root(), document.root(), aSite);
      configuration = read(locator, merged);
    } else {
      configuration = aBase;
    }
    configuration.site = aSite;
    return configuration;
  }

  const Bundle& mBundle;
  FindingCollector mFindings;
  std::optional<Document> mBase;
  std::map<std::string, std::optional<Document>> mOverlays;
};

/// Gives equal numbers the same type, so that `30` and `3e1` are written alike.
void
normaliseNumbers(Json::Value& aValue)
{
  if (aValue.isObject() || aValue.isArray()) {
    for (auto& element : aValue) {
      normaliseNumbers(element);
    }
  } else if (aValue.isUInt64()) {
    aValue = Json::Value(static_cast<Json::UInt64>(aValue.asUInt64()));
  } else if (aValue.isInt64()) {
    aValue = Json::Value(static_cast<Json::Int64>(aValue.asInt64()));
  }
}

std::string
writeCanonical(const Json::Value& aValue)
{
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  builder["commentStyle"] = "None";
  builder["emitUTF8"] = true;
  return Json::writeString(builder, aValue);
}

Json::Value
canonicalValue(const SourceText& aSource)
{
  FindingCollector findings;
  const auto document = Document::parse(aSource.name, aSource.text, findings);
  Json::Value value = document ? document->root() : Json::Value(Json::objectValue);
  normaliseNumbers(value);
  return value;
}

} // namespace

CheckedBundle
checkBundle(const Bundle& aBundle)
{
  return BundleChecker(aBundle).run();
}

std::string
serialise(const Bundle& aBundle)
{
  Json::Value root(Json::objectValue);
  root["base"] = canonicalValue(aBundle.base);
  root["overlays"] = Json::Value(Json::objectValue);
  for (const auto& [site, source] : aBundle.overlays) {
    root["overlays"][site] = canonicalValue(source);
  }
  return writeCanonical(root);
}

Result<Bundle>
parseBundle(std::string_view aBytes)
{
  FindingCollector findings;
  const auto document = Document::parse("bundle", std::string(aBytes), findings);
  if (!document) {
    return fail(ErrorCode::Malformed, toString(findings.take().front()));
  }
  const Json::Value& root = document->root();
  const bool shaped =
    root.size() == 2 && root["base"].isObject() && root["overlays"].isObject();
  if (!shaped) {
    return fail(ErrorCode::Malformed, "the bundle is not a base with overlays");
  }
  Bundle bundle;
  bundle.base = { "base", writeCanonical(root["base"]) };
  const auto& overlays = root["overlays"];
  for (auto entry = overlays.begin(); entry != overlays.end(); ++entry) {
    bundle.overlays[entry.name()] = { "overlay of " + entry.name(),
                                      writeCanonical(*entry) };
  }
  if (serialise(bundle) != aBytes) {
    return fail(ErrorCode::Malformed, "the bundle is not in canonical form");
  }
  return bundle;
}

Result<Configuration>
configurationOf(std::string_view aBytes,
                const std::string& aSite,
                std::uint64_t aVersion,
                const std::string& aChangeId)
{
  const auto bundle = parseBundle(aBytes);
  if (!bundle) {
    return bundle.as_failure();
  }
  CheckedBundle checked = checkBundle(bundle.value());
  for (const auto& finding : checked.findings) {
    if (finding.level == FindingLevel::Error) {
      return fail(ErrorCode::Malformed, toString(finding));
    }
  }
  const auto site = checked.sites.find(aSite);
  if (site == checked.sites.end()) {
    return fail(ErrorCode::NotFound,
                "the configuration has no data centre " + inQuotes(aSite));
  }
  site->second.version = aVersion;
  site->second.changeId = aChangeId;
  return std::move(site->second);
}

} // namespace savoryrill::config
