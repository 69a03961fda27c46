#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <vector>

#include "base/result.h"
#include "base/types/time.h"

namespace savoryrill::testing {

/// Reads the options of one subcommand with popt. Not thread safe.
class CommandLine
{
public:
  using Setter = std::function<Result<void>(const std::string&)>;

  // Each adds an option `--<name> <value>`. The current value of the target is the
  // default. Precondition: targets outlive `parse`, and names are literals.
  void add(const char* aName, std::string& aTarget, const char* aHelp);
  void add(const char* aName, std::uint32_t& aTarget, const char* aHelp);
  void add(const char* aName, std::uint64_t& aTarget, const char* aHelp);
  void add(const char* aName, double& aTarget, const char* aHelp);

  /// Takes milliseconds, which may have a fraction.
  void add(const char* aName, Duration& aTarget, const char* aHelp);

  /// Each use appends an element.
  void add(const char* aName, std::vector<std::string>& aTarget, const char* aHelp);

  /// Each use calls `aSetter` with the value.
  void add(const char* aName, Setter aSetter, const char* aHelp);

  /// An option without a value sets `aTarget` to `aValue`.
  void addFlag(const char* aName, bool& aTarget, bool aValue, const char* aHelp);

  /// Reads the arguments; `aArguments[0]` is the name of the subcommand. `--help` prints
  /// the options and ends the process. Fails with InvalidArgument and the option.
  Result<void> parse(int aCount, const char** aArguments);

private:
  struct Option
  {
    const char* name;
    bool takesValue;
    Setter setter;
    const char* help;
  };

  std::vector<Option> mOptions;
};

} // namespace savoryrill::testing
