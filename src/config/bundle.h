#pragma once

#include <map>
#include <string>
#include <string_view>

#include "base/result.h"
#include "config/types/configuration.h"
#include "config/types/finding.h"

namespace savoryrill::config {

/// A configuration text and the name under which findings refer to it.
struct SourceText
{
  std::string name;
  std::string text;
};

/// One base file and one overlay per site, as `apply` commits them.
struct Bundle
{
  SourceText base;
  std::map<std::string, SourceText> overlays; // by site
};

/// What checking a bundle gave. `sites` is filled for each site only if there are no
/// errors.
struct CheckedBundle
{
  Findings findings;
  std::map<std::string, Configuration> sites;
};

/// Checks the base and every overlay and merges them; collects all findings instead of
/// stopping at the first. Never fails and never throws, whatever the text. Thread safe.
CheckedBundle
checkBundle(const Bundle& aBundle);

/// The committed form of a bundle: canonical JSON without comments. Equal content gives
/// equal bytes. Precondition: `checkBundle` found no errors. Thread safe.
std::string
serialise(const Bundle& aBundle);

/// Reads what `serialise` wrote. Fails with Malformed on anything else. Thread safe.
Result<Bundle>
parseBundle(std::string_view aBytes);

/// The configuration of `aSite` from committed bytes. Fails with Malformed if the bytes
/// do not pass `checkBundle`, with NotFound if the site is unknown. Thread safe.
Result<Configuration>
configurationOf(std::string_view aBytes,
                const std::string& aSite,
                std::uint64_t aVersion,
                const std::string& aChangeId);

} // namespace savoryrill::config
