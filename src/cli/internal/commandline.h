#pragma once

#include <string>
#include <variant>
#include <vector>

#include "base/result.h"
#include "cli/types/commands.h"

namespace savoryrill::cli {

/// Text that was asked for with `--help`.
struct HelpText
{
  std::string text;
};

using ParsedLine = std::variant<Command, HelpText>;

/// Reads the words after the program name. Fails with InvalidArgument.
Result<ParsedLine>
parseCommandLine(const std::vector<std::string>& aWords);

} // namespace savoryrill::cli
