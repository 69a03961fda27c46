#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

#include "config/bundle.h"
#include "config/settings.h"

using namespace savoryrill;
using namespace savoryrill::config;

namespace {

void
require(bool aCondition)
{
  if (!aCondition) {
    std::abort();
  }
}

/// A bundle without errors survives its committed form unchanged.
void
checkRoundTrip(const Bundle& aBundle)
{
  const std::string bytes = serialise(aBundle);
  const auto parsed = parseBundle(bytes);
  require(parsed.has_value());
  require(serialise(parsed.value()) == bytes);
  const auto checked = checkBundle(parsed.value());
  require(!hasErrors(checked.findings));
  for (const auto& [site, configuration] : checked.sites) {
    require(configurationOf(bytes, site, 1, "change").has_value());
  }
}

/// The input is a base and, after a NUL byte, an overlay for the site `xela`.
void
fuzzBundle(const std::string& aText)
{
  const auto separator = aText.find('\0');
  Bundle bundle{ { "base", aText.substr(0, separator) }, {} };
  if (separator != std::string::npos) {
    bundle.overlays["xela"] = { "overlay", aText.substr(separator + 1) };
  }
  const auto checked = checkBundle(bundle);
  if (hasErrors(checked.findings)) {
    require(checked.sites.empty());
  } else {
    checkRoundTrip(bundle);
  }
}

void
fuzzBytes(const std::string& aText)
{
  const auto parsed = parseBundle(aText);
  if (parsed) {
    require(serialise(parsed.value()) == aText);
  }
  static_cast<void>(configurationOf(aText, "xela", 1, "change"));
}

} // namespace

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const std::string text(reinterpret_cast<const char*>(aData), aSize);
  fuzzBundle(text);
  fuzzBytes(text);
  static_cast<void>(checkSettings("directory/settings", text));
  return 0;
}
