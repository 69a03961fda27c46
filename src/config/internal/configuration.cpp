#include "config/types/configuration.h"

#include <algorithm>

namespace savoryrill::config {

std::string
toString(const Loadable& aLoadable)
{
  return aLoadable.deployment + "@" + aLoadable.version;
}

std::string
toString(const ModelReference& aReference)
{
  const std::string name = toString(aReference.loadable);
  return aReference.adapter.empty() ? name : name + "+" + aReference.adapter;
}

std::optional<ModelReference>
findModel(const Configuration& aConfiguration, std::string_view aName)
{
  ModelReference found;
  const auto plus = aName.find('+');
  if (plus != std::string_view::npos) {
    found.adapter = std::string(aName.substr(plus + 1));
    aName = aName.substr(0, plus);
    if (found.adapter.empty()) {
      return std::nullopt;
    }
  }
  const auto at = aName.find('@');
  found.loadable.deployment = std::string(aName.substr(0, at));
  const auto deployment = aConfiguration.deployments.find(found.loadable.deployment);
  if (deployment == aConfiguration.deployments.end()) {
    return std::nullopt;
  }
  const auto& [name, properties] = *deployment;
  if (properties.versions.empty()) {
    return std::nullopt;
  }
  found.loadable.version = at == std::string_view::npos
                             ? properties.versions.back()
                             : std::string(aName.substr(at + 1));
  const bool version_known =
    std::find(properties.versions.begin(),
              properties.versions.end(),
              found.loadable.version) != properties.versions.end();
  const bool adapter_known =
    found.adapter.empty() || properties.adapters.count(found.adapter) > 0;
  if (!version_known || !adapter_known) {
    return std::nullopt;
  }
  return found;
}

} // namespace savoryrill::config
