#include "cli/internal/runcommands.h"
#include "transport/curvekeyfiles.h"

namespace savoryrill::cli {

ExitCode
runKeygen(const KeygenCommand& aCommand, const Environment& aEnvironment)
{
  const auto written =
    transport::generateCurveKeys({ aCommand.secretFile, aCommand.publicFile });
  if (!written) {
    // All failures but a missing CURVE concern the files, which is a matter of usage.
    aEnvironment.err << written.error().message << "\n";
    return written.error().code == ErrorCode::Internal ? ExitCode::Negative
                                                       : ExitCode::Usage;
  }
  aEnvironment.out << "wrote " << aCommand.secretFile << " and " << aCommand.publicFile
                   << "\n";
  return ExitCode::Success;
}

} // namespace savoryrill::cli
