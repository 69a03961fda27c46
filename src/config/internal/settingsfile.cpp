#include "config/internal/settingsfile.h"

#include <filesystem>
#include <fstream>
#include <sstream>

#include "config/address.h"
#include "config/internal/keypath.h"

namespace savoryrill::config {

Result<std::string>
readSettingsFile(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  std::ostringstream text;
  // Without data, inserting a stream buffer sets failbit; an empty file is read all the
  // same, so that it gets a finding.
  if (!file.is_open() || std::filesystem::is_directory(aPath)) {
    return fail(ErrorCode::NotFound, "cannot read settings file " + aPath);
  }
  text << file.rdbuf();
  return text.str();
}

Complaint
checkListenAddress(std::string_view aText)
{
  if (!parseAddress(aText)) {
    return inQuotes(aText) + " is not a numeric address and port such as 127.0.0.1:8080";
  }
  return std::nullopt;
}

} // namespace savoryrill::config
