#pragma once

#include <json/json.h>
#include <string>
#include <vector>

#include "base/result.h"
#include "cli/program.h"

namespace savoryrill::cli {

/// What one process answered. Errors: Unavailable or Timeout (not reached),
/// PermissionDenied (wrong token), NotFound, Malformed.
struct OperatorAnswer
{
  std::string address;
  Result<Json::Value> body;
};

using OperatorAnswers = std::vector<OperatorAnswer>;

/// Asks operator ports. Not thread safe.
class OperatorClient
{
public:
  /// Reads the token file. Fails with InvalidArgument.
  static Result<OperatorClient> create(const Environment& aEnvironment,
                                       OperatorTargets aTargets);

  /// Asks all processes at once and waits for all answers, which are in the order of the
  /// targets.
  OperatorAnswers ask(const std::string& aMethod, const std::string& aPath) const;

private:
  OperatorClient(const Environment& aEnvironment,
                 std::vector<std::string> aAddresses,
                 std::string aToken);

  const Environment* mEnvironment;
  std::vector<std::string> mAddresses;
  std::string mToken;
};

/// Prints the failures among `aAnswers` to the error stream. The exit code is
/// NotReachable if a process was not reached, Negative if one refused, else Success.
ExitCode
reportFailures(const OperatorAnswers& aAnswers, std::ostream& aErr);

/// Percent-encodes a query value.
std::string
encodeQuery(std::string_view aText);

} // namespace savoryrill::cli
