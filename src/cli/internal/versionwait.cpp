#include "cli/internal/versionwait.h"

#include "base/jsontext.h"
#include "cli/internal/await.h"

namespace savoryrill::cli {

namespace {

constexpr Duration kPollPeriod = 200ms;

std::vector<LaggingProcess>
laggingIn(const OperatorAnswers& aAnswers, std::uint64_t aVersion)
{
  std::vector<LaggingProcess> result;
  for (const auto& answer : aAnswers) {
    if (!answer.body) {
      result.push_back({ answer.address, answer.body.error().message });
      continue;
    }
    const auto version =
      unsignedMember<std::uint64_t>(answer.body.value(), "config_version");
    if (version.value_or(0) < aVersion) {
      result.push_back(
        { answer.address, "has version " + std::to_string(version.value_or(0)) });
    }
  }
  return result;
}

} // namespace

std::vector<LaggingProcess>
waitForVersion(const Environment& aEnvironment,
               const OperatorClient& aClient,
               std::uint64_t aVersion,
               Duration aLimit)
{
  const Instant end = aEnvironment.loop.now() + aLimit;
  while (true) {
    auto lagging = laggingIn(aClient.ask("GET", "/admin/v1/status"), aVersion);
    if (lagging.empty() || aEnvironment.loop.now() + kPollPeriod > end) {
      return lagging;
    }
    pause(aEnvironment.loop, kPollPeriod);
  }
}

} // namespace savoryrill::cli
