#include "cli/internal/operatorclient.h"

#include <algorithm>
#include <memory>

#include "base/jsontext.h"
#include "cli/internal/textfile.h"

namespace savoryrill::cli {

namespace {

constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr Duration kConnectTimeout = 2s;
constexpr Duration kTotalTimeout = 10s;
/// All events that a process keeps take up to some 10 MB.
constexpr std::size_t kMaxAnswerBytes = 64UL * 1024 * 1024;

Result<Json::Value>
bodyOf(const Result<http::Response>& aResponse)
{
  if (!aResponse) {
    return aResponse.as_failure();
  }
  const auto& response = aResponse.value();
  switch (response.status) {
    case kOk:
    case kAccepted:
      return parseJson(response.body);
    case kUnauthorized:
      return fail(ErrorCode::PermissionDenied, "the operator token was refused");
    case kNotFound:
      return fail(ErrorCode::NotFound, "the process does not offer this");
    default:
      return fail(ErrorCode::Malformed,
                  "unexpected status " + std::to_string(response.status));
  }
}

} // namespace

OperatorClient::OperatorClient(const Environment& aEnvironment,
                               std::vector<std::string> aAddresses,
                               std::string aToken)
  : mEnvironment(&aEnvironment)
  , mAddresses(std::move(aAddresses))
  , mToken(std::move(aToken))
{
}

Result<OperatorClient>
OperatorClient::create(const Environment& aEnvironment, OperatorTargets aTargets)
{
  auto token = readToken(aTargets.tokenFile);
  if (!token) {
    return token.as_failure();
  }
  return OperatorClient(
    aEnvironment, std::move(aTargets.addresses), std::move(token.value()));
}

OperatorAnswers
OperatorClient::ask(const std::string& aMethod, const std::string& aPath) const
{
  OperatorAnswers answers;
  std::vector<std::unique_ptr<http::RequestHandle>> calls;
  std::size_t pending = mAddresses.size();
  for (const auto& address : mAddresses) {
    answers.push_back({ address, fail(ErrorCode::Internal, "not asked") });
  }
  for (std::size_t index = 0; index < mAddresses.size(); ++index) {
    http::ClientRequest request;
    request.method = aMethod;
    request.url = "http://" + mAddresses[index] + aPath;
    request.headers["Authorization"] = "Bearer " + mToken;
    request.connectTimeout = kConnectTimeout;
    request.totalTimeout = kTotalTimeout;
    request.maxBodyBytes = kMaxAnswerBytes;
    http::ClientCallbacks callbacks;
    callbacks.onDone = [&answers, &pending, index](const http::ClientOutcome& aOutcome) {
      answers[index].body = bodyOf(aOutcome.response);
      --pending;
    };
    calls.push_back(mEnvironment->http.start(std::move(request), std::move(callbacks)));
  }
  while (pending > 0) {
    mEnvironment->loop.runOnce(true);
  }
  return answers;
}

ExitCode
reportFailures(const OperatorAnswers& aAnswers, std::ostream& aErr)
{
  ExitCode result = ExitCode::Success;
  for (const auto& answer : aAnswers) {
    if (answer.body) {
      continue;
    }
    const Error& error = answer.body.error();
    aErr << answer.address << ": " << error.message << "\n";
    const bool reached = exitCodeOf(error.code) == ExitCode::Negative;
    const ExitCode code = reached ? ExitCode::Negative : ExitCode::NotReachable;
    result = std::max(result, code);
  }
  return result;
}

std::string
encodeQuery(std::string_view aText)
{
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  constexpr std::string_view kPlain = "-._~";
  std::string result;
  for (const char character : aText) {
    const auto byte = static_cast<unsigned char>(character);
    const bool alphanumeric = (byte >= '0' && byte <= '9') ||
                              (byte >= 'A' && byte <= 'Z') ||
                              (byte >= 'a' && byte <= 'z');
    if (alphanumeric || kPlain.find(character) != std::string_view::npos) {
      result += character;
    } else {
      result += '%';
      result += kDigits[byte >> 4U];
      result += kDigits[byte & 0x0FU];
    }
  }
  return result;
}

} // namespace savoryrill::cli
