#pragma once

#include <array>
#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "serving/types/organisation.h"

namespace savoryrill::serving {

/// The organisations of one configuration. Load pattern: each request looks up a key,
/// with up to a thousand organisations. Keeps no key in plain text, only keyed hashes
/// with a random key of this process. Thread safe after its creation.
class OrganisationDirectory
{
public:
  struct Created
  {
    std::shared_ptr<const OrganisationDirectory> directory;
    std::vector<std::string> findings; // what was left out or changed; names no key
  };
  /// Uses every valid part of the configuration, since a version that the store has
  /// acknowledged must take effect: a key of two organisations is accepted for neither,
  /// an organisation without a name, or with a repeated one or one that cannot be sent in
  /// a header, is left out, and a burst below the cost of one ordinary request is raised
  /// to it.
  static Created create(std::vector<OrganisationSpec> aSpecs);

  /// The organisation that holds the key; null if none does.
  const Organisation* find(std::string_view aKey) const;
  const Organisation* byName(const std::string& aName) const;
  const std::map<std::string, Organisation>& organisations() const
  {
    return mOrganisations;
  }

private:
  using Hash = std::array<unsigned char, 32>;
  struct Key
  {
    Hash hash{};
    const Organisation* organisation = nullptr;
  };
  OrganisationDirectory();
  Hash hashOf(std::string_view aKey) const;
  void addKeys(const std::vector<const OrganisationSpec*>& aSpecs,
               std::vector<std::string>& aFindings);

  Hash mSecret{};
  std::map<std::string, Organisation> mOrganisations;
  std::unordered_map<std::uint64_t, std::vector<Key>> mKeys; // by the start of their hash
};

} // namespace savoryrill::serving
