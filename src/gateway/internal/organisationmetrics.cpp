#include "gateway/internal/organisationmetrics.h"

#include <cmath>
#include <cstdint>

namespace savoryrill::gateway {

std::string
OrganisationMetrics::labelOf(const std::string& aOrganisation)
{
  if (!mOrganisations.contains(aOrganisation)) {
    if (mOrganisations.size() >= kMaxOrganisations) {
      return R"(organisation="other")";
    }
    mOrganisations.insert(aOrganisation);
  }
  std::string label = R"(organisation=")";
  for (const char character : aOrganisation) {
    if (character == '"' || character == '\\') {
      label.push_back('\\');
    }
    label.push_back(character);
  }
  return label + '"';
}

void
OrganisationMetrics::recordAdmitted(const std::string& aOrganisation, double aTokens)
{
  const auto label = labelOf(aOrganisation);
  mMetrics.add("savoryrill_gateway_organisation_admitted_total{" + label + "}");
  mMetrics.add("savoryrill_gateway_organisation_tokens_total{" + label + "}",
               static_cast<std::uint64_t>(std::llround(aTokens)));
}

void
OrganisationMetrics::recordRefused(const std::string& aOrganisation,
                                   serving::RefusalReason aReason)
{
  mMetrics.add("savoryrill_gateway_organisation_refused_total{" + labelOf(aOrganisation) +
               ",reason=\"" + std::string(nameOf(aReason)) + "\"}");
}

} // namespace savoryrill::gateway
