#pragma once

#include <functional>
#include <string>
#include <vector>

#include "base/result.h"

namespace savoryrill::cli {

/// Options of one command, parsed with popt. The names and texts must be literals.
class OptionParser
{
public:
  /// Takes an argument; the text of the complaint if it is wrong, otherwise empty.
  using Setter = std::function<std::string(const std::string&)>;

  /// `aCommand` such as `savoryrill check`; `aSummary` says what it does.
  OptionParser(std::string aCommand, std::string aSummary);

  void flag(const char* aName, const char* aHelp, bool& aTarget);
  void value(const char* aName, const char* aArgument, const char* aHelp, Setter aSetter);
  void text(const char* aName,
            const char* aArgument,
            const char* aHelp,
            std::string& aTarget);

  /// Parses the words after the command. The value is the help text if it was asked for,
  /// otherwise empty. Fails with InvalidArgument.
  Result<std::string> parse(const std::vector<std::string>& aWords) const;

private:
  struct Option
  {
    const char* name;
    const char* argument; // null for a flag
    const char* help;
    Setter setter;
  };

  std::string mCommand;
  std::string mSummary;
  std::vector<Option> mOptions;
};

} // namespace savoryrill::cli
