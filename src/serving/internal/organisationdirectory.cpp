#include "serving/organisationdirectory.h"

#include <algorithm>
#include <cstring>
#include <set>
#include <sodium.h>

namespace savoryrill::serving {

namespace {

std::uint64_t
startOf(const std::array<unsigned char, 32>& aHash)
{
  std::uint64_t start = 0;
  std::memcpy(&start, aHash.data(), sizeof start);
  return start;
}

/// The name is sent to upstreams in a header, so it must not end the header's line.
bool
fitsIntoHeader(std::string_view aName)
{
  return aName.front() != ' ' && aName.back() != ' ' &&
         std::ranges::none_of(aName, [](unsigned char aCharacter) {
           return aCharacter < 0x20 || aCharacter == 0x7f;
         });
}

void
eraseKeys(OrganisationSpec& aSpec)
{
  for (auto& key : aSpec.keys) {
    sodium_memzero(key.data(), key.size());
  }
}

/// Raises a burst into which an ordinary request would never fit.
void
raiseBurst(Organisation& aOrganisation, std::vector<std::string>& aFindings)
{
  if (!aOrganisation.quota) {
    return;
  }
  auto& quota = *aOrganisation.quota;
  const double request =
    quota.unit == QuotaUnit::Requests ? 1.0 : std::max(1.0, quota.defaultTokens);
  if (quota.burst < request) {
    quota.burst = request;
    aFindings.push_back("organisation " + aOrganisation.name +
                        ": burst is below the cost of one request and was raised to it");
  }
}

} // namespace

OrganisationDirectory::OrganisationDirectory()
{
  // Chooses the fast implementations; the portable ones serve if it fails.
  [[maybe_unused]] const int result = sodium_init();
  randombytes_buf(mSecret.data(), mSecret.size());
}

OrganisationDirectory::Hash
OrganisationDirectory::hashOf(std::string_view aKey) const
{
  Hash hash{};
  crypto_generichash(hash.data(),
                     hash.size(),
                     reinterpret_cast<const unsigned char*>(aKey.data()), // NOLINT
                     aKey.size(),
                     mSecret.data(),
                     mSecret.size());
  return hash;
}

OrganisationDirectory::Created
OrganisationDirectory::create(std::vector<OrganisationSpec> aSpecs)
{
  Created created;
  std::shared_ptr<OrganisationDirectory> directory(new OrganisationDirectory);
  std::vector<const OrganisationSpec*> accepted;
  for (auto& spec : aSpecs) {
    auto& organisation = spec.organisation;
    if (organisation.name.empty()) {
      created.findings.emplace_back("an organisation has no name and was left out");
    } else if (!fitsIntoHeader(organisation.name)) {
      created.findings.emplace_back(
        "an organisation has a name that no header can carry and was left out");
    } else if (directory->mOrganisations.contains(organisation.name)) {
      created.findings.push_back("organisation " + organisation.name +
                                 " is named twice; the second was left out");
    } else {
      raiseBurst(organisation, created.findings);
      directory->mOrganisations[organisation.name] = organisation;
      accepted.push_back(&spec);
    }
  }
  directory->addKeys(accepted, created.findings);
  std::ranges::for_each(aSpecs, eraseKeys);
  created.directory = std::move(directory);
  return created;
}

void
OrganisationDirectory::addKeys(const std::vector<const OrganisationSpec*>& aSpecs,
                               std::vector<std::string>& aFindings)
{
  std::map<Hash, std::set<std::string>> holders;
  for (const auto* spec : aSpecs) {
    for (const auto& key : spec->keys) {
      if (key.empty()) {
        aFindings.push_back("organisation " + spec->organisation.name +
                            " has an empty key, which is not accepted");
      } else {
        holders[hashOf(key)].insert(spec->organisation.name);
      }
    }
  }
  for (const auto& [hash, names] : holders) {
    if (names.size() > 1) {
      aFindings.push_back("organisations " + *names.begin() + " and " + *names.rbegin() +
                          " share a key, which is accepted for neither");
      continue;
    }
    mKeys[startOf(hash)].push_back({ hash, &mOrganisations.at(*names.begin()) });
  }
}

const Organisation*
OrganisationDirectory::find(std::string_view aKey) const
{
  const auto hash = hashOf(aKey);
  const auto found = mKeys.find(startOf(hash));
  if (found == mKeys.end()) {
    return nullptr;
  }
  for (const auto& key : found->second) {
    if (sodium_memcmp(key.hash.data(), hash.data(), hash.size()) == 0) {
      return key.organisation;
    }
  }
  return nullptr;
}

const Organisation*
OrganisationDirectory::byName(const std::string& aName) const
{
  const auto found = mOrganisations.find(aName);
  return found == mOrganisations.end() ? nullptr : &found->second;
}

} // namespace savoryrill::serving
