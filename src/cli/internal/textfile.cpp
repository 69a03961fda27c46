#include "cli/internal/textfile.h"

#include <fstream>
#include <iterator>

namespace savoryrill::cli {

Result<std::string>
readTextFile(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  std::string content{ std::istreambuf_iterator<char>(file), {} };
  if (!file) {
    return fail(ErrorCode::InvalidArgument, "cannot read " + aPath);
  }
  return content;
}

Result<std::string>
readToken(const std::string& aPath)
{
  constexpr const char* kWhiteSpace = " \t\r\n";
  auto content = readTextFile(aPath);
  if (!content) {
    return content;
  }
  const std::string& text = content.value();
  const auto first = text.find_first_not_of(kWhiteSpace);
  if (first == std::string::npos) {
    return fail(ErrorCode::InvalidArgument, "token file " + aPath + " is empty");
  }
  std::string token = text.substr(first, text.find_last_not_of(kWhiteSpace) - first + 1);
  // A line break would end the header that carries the token.
  if (token.find_first_of(kWhiteSpace) != std::string::npos) {
    return fail(ErrorCode::InvalidArgument, aPath + " holds more than one token");
  }
  return token;
}

Result<config::Bundle>
readBundle(const BundleFiles& aFiles)
{
  config::Bundle bundle;
  auto base = readTextFile(aFiles.base);
  if (!base) {
    return base.as_failure();
  }
  bundle.base = { aFiles.base, std::move(base.value()) };
  for (const auto& [site, path] : aFiles.overlays) {
    auto overlay = readTextFile(path);
    if (!overlay) {
      return overlay.as_failure();
    }
    bundle.overlays[site] = { path, std::move(overlay.value()) };
  }
  return bundle;
}

} // namespace savoryrill::cli
