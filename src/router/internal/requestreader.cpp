#include "router/internal/requestreader.h"

#include <algorithm>
#include <charconv>
#include <json/json.h>
#include <optional>
#include <utility>

#include "base/jsontext.h"
#include "router/internal/problems.h"
#include "router/internal/text.h"
#include "routing/prefixhash.h"

namespace savoryrill::router {

namespace {

using routing::Ran;
using routing::Refusal;
using routing::RefusalReason;

constexpr std::string_view kServicePrefix = "/v1/services/";
constexpr std::size_t kMaxCallerLength = 64;
constexpr std::size_t kMaxKeyLength = 200;

Refusal
refusal(RefusalReason aReason, std::string aDetail)
{
  return { aReason, std::move(aDetail), Ran::No, std::nullopt };
}

bool
isCallerName(std::string_view aName)
{
  return isVisibleAscii(aName, kMaxCallerLength) &&
         aName.find('/') == std::string_view::npos;
}

/// Reads the headers that apply to all requests. Returns a refusal if one is invalid.
std::optional<Refusal>
readHeaders(const http::Request& aRequest,
            Duration aDeadline,
            config::Priority aPriority,
            Instant aNow,
            CallerRequest& aResult)
{
  aResult.arrival = aNow;
  aResult.deadline = aNow + aDeadline;
  aResult.priority = aPriority;
  if (aRequest.headers.count("X-Request-Deadline-Ms") > 0) {
    const auto text = aRequest.header("X-Request-Deadline-Ms");
    std::uint32_t milliseconds = 0;
    const auto read =
      std::from_chars(text.data(), text.data() + text.size(), milliseconds);
    if (read.ec != std::errc() || read.ptr != text.data() + text.size() ||
        milliseconds == 0) {
      return refusal(RefusalReason::MalformedHeader,
                     "X-Request-Deadline-Ms must be a whole number above 0");
    }
    aResult.deadline =
      aNow + std::min<Duration>(aDeadline, std::chrono::milliseconds(milliseconds));
  }
  if (aRequest.headers.count("X-Request-Priority") > 0) {
    const auto wanted = fromName<config::Priority>(aRequest.header("X-Request-Priority"));
    if (!wanted) {
      return refusal(RefusalReason::MalformedHeader,
                     "X-Request-Priority must be low, normal or high");
    }
    aResult.priority = std::min(aPriority, *wanted);
  }
  if (aRequest.headers.count("Idempotency-Key") > 0) {
    aResult.idempotencyKey = std::string(aRequest.header("Idempotency-Key"));
    if (!isVisibleAscii(aResult.idempotencyKey, kMaxKeyLength)) {
      return refusal(RefusalReason::MalformedHeader,
                     "Idempotency-Key must be 1 to " + std::to_string(kMaxKeyLength) +
                       " visible ASCII characters");
    }
  }
  return std::nullopt;
}

/// The text whose prefix hashes are compared with those that engines report as cached:
/// the content of the first message, or the prompt. Empty optional if the body has
/// neither.
std::optional<std::string>
promptOf(const Json::Value& aBody, bool aChat)
{
  if (!aChat) {
    return stringMember(aBody, "prompt");
  }
  const Json::Value& messages = memberOf(aBody, "messages");
  if (!messages.isArray() || messages.empty()) {
    return std::nullopt;
  }
  for (const auto& message : messages) {
    if (!message.isObject()) {
      return std::nullopt;
    }
  }
  return stringMember(messages[0], "content").value_or("");
}

bool
isJsonType(std::string_view aContentType)
{
  const std::string_view type = aContentType.substr(0, aContentType.find(';'));
  const std::string_view trimmed = type.substr(0, type.find_last_not_of(' ') + 1);
  const http::CaseInsensitiveLess less;
  constexpr std::string_view kJson = "application/json";
  return !less(trimmed, kJson) && !less(kJson, trimmed);
}

RequestOrRefusal
readInference(const http::Request& aRequest,
              const config::Configuration& aConfiguration,
              CallerRequest aResult,
              Instant aNow)
{
  if (aRequest.method != "POST") {
    return refusal(RefusalReason::MethodNotAllowed, "use POST");
  }
  if (!isJsonType(aRequest.header("Content-Type"))) {
    return refusal(RefusalReason::UnsupportedContentType, "use application/json");
  }
  if (!isUtf8(aRequest.body)) {
    return refusal(RefusalReason::MalformedRequest, "the body is not UTF-8");
  }
  auto parsed = parseJson(aRequest.body);
  if (!parsed || !parsed.value().isObject()) {
    return refusal(RefusalReason::MalformedRequest,
                   parsed ? "the body is not a JSON object" : parsed.error().message);
  }
  Json::Value body = std::move(parsed.value());
  const auto name = stringMember(body, "model");
  if (!name) {
    return refusal(RefusalReason::MalformedRequest, "`model` must be a string");
  }
  const bool chat = aRequest.path == "/v1/chat/completions";
  const auto prompt = promptOf(body, chat);
  if (!prompt) {
    return refusal(RefusalReason::MalformedRequest,
                   chat ? "`messages` must be a list with a message"
                        : "`prompt` must be a string");
  }
  const Json::Value& stream = memberOf(body, "stream");
  if (!stream.isNull() && !stream.isBool()) {
    return refusal(RefusalReason::MalformedRequest, "`stream` must be true or false");
  }
  const auto model = config::findModel(aConfiguration, *name);
  if (!model) {
    return refusal(RefusalReason::UnknownModel, "no model is called `" + *name + "`");
  }
  const auto& deployment = aConfiguration.deployments.at(model->loadable.deployment);
  if (auto bad =
        readHeaders(aRequest, deployment.deadline, deployment.priority, aNow, aResult)) {
    return *bad;
  }
  InferenceTarget target;
  target.model = *model;
  target.stream = stream.isBool() && stream.asBool();
  target.prefixes = routing::prefixHashes(*prompt);
  if (target.stream && !aResult.idempotencyKey.empty()) {
    return refusal(RefusalReason::MalformedHeader,
                   "Idempotency-Key cannot be used for a streamed answer");
  }
  body["model"] = config::toString(*model);
  aResult.repeatable = aResult.idempotencyKey.empty();
  aResult.target = std::move(target);
  aResult.method = "POST";
  aResult.path = aRequest.path;
  aResult.headers["Content-Type"] = "application/json";
  aResult.headers["X-Request-Priority"] = std::string(nameOf(aResult.priority));
  aResult.body = toCompactJson(body);
  return aResult;
}

/// Path and query at the upstream, encoded; empty for a path with dot segments, which
/// could lead out of the service's prefix.
std::optional<std::string>
servicePath(const http::Request& aRequest,
            const config::Service& aService,
            std::string_view aRest)
{
  std::string_view left = aRest;
  while (!left.empty()) {
    const auto slash = left.find('/');
    const std::string_view segment = left.substr(0, slash);
    if (segment == "." || segment == "..") {
      return std::nullopt;
    }
    left = slash == std::string_view::npos ? "" : left.substr(slash + 1);
  }
  std::string path = aService.path + percentEncoded(aRest, "/!$&'()*+,;=:@");
  char separator = '?';
  for (const auto& [name, value] : aRequest.query) {
    path += separator + percentEncoded(name, "");
    path += "=" + percentEncoded(value, "");
    separator = '&';
  }
  return path;
}

RequestOrRefusal
readService(const http::Request& aRequest,
            const config::Configuration& aConfiguration,
            CallerRequest aResult,
            Instant aNow)
{
  const std::string_view tail =
    std::string_view(aRequest.path).substr(kServicePrefix.size());
  const auto slash = tail.find('/');
  const std::string name(tail.substr(0, slash));
  const auto service = aConfiguration.services.find(name);
  if (service == aConfiguration.services.end()) {
    return refusal(RefusalReason::UnknownService, "no service is called `" + name + "`");
  }
  const auto& methods = service->second.methods;
  if (std::find(methods.begin(), methods.end(), aRequest.method) == methods.end()) {
    return refusal(RefusalReason::MethodNotAllowed,
                   "the service does not take " + aRequest.method);
  }
  const std::string_view rest = slash == std::string_view::npos ? "" : tail.substr(slash);
  const auto path = servicePath(aRequest, service->second, rest);
  if (!path) {
    return refusal(RefusalReason::MalformedRequest, "the path has a dot segment");
  }
  if (auto bad = readHeaders(
        aRequest, service->second.deadline, config::Priority::Normal, aNow, aResult)) {
    return *bad;
  }
  aResult.repeatable = service->second.repeatable;
  if (aResult.repeatable) {
    aResult.idempotencyKey.clear(); // the header is forwarded, but no claim is needed
  }
  aResult.target = ServiceTarget{ name };
  aResult.method = aRequest.method;
  aResult.path = *path;
  aResult.headers = endToEndHeaders(aRequest.headers);
  if (!aConfiguration.callers.empty()) {
    aResult.headers.erase("Authorization"); // the API key is meant for this router only
  }
  aResult.body = aRequest.body;
  return aResult;
}

} // namespace

std::variant<std::string, Refusal>
identifyCaller(const http::Request& aRequest, const config::Configuration& aConfiguration)
{
  if (aConfiguration.callers.empty()) {
    if (aRequest.headers.count("X-Caller-Id") == 0) {
      return std::string("anonymous");
    }
    const auto name = aRequest.header("X-Caller-Id");
    if (!isCallerName(name)) {
      return refusal(RefusalReason::MalformedHeader,
                     "X-Caller-Id must be 1 to " + std::to_string(kMaxCallerLength) +
                       " visible ASCII characters without a slash");
    }
    return std::string(name);
  }
  constexpr std::string_view kScheme = "Bearer ";
  const auto authorization = aRequest.header("Authorization");
  if (authorization.starts_with(kScheme)) {
    const std::string digest = sha256Hex(authorization.substr(kScheme.size()));
    for (const auto& [name, caller] : aConfiguration.callers) {
      if (caller.keySha256 == digest) {
        return name;
      }
    }
  }
  return refusal(RefusalReason::NotAuthenticated, "send Authorization: Bearer <key>");
}

RequestOrRefusal
readRequest(const http::Request& aRequest,
            const config::Configuration& aConfiguration,
            Instant aNow)
{
  auto caller = identifyCaller(aRequest, aConfiguration);
  if (const auto* refused = std::get_if<Refusal>(&caller)) {
    return *refused;
  }
  CallerRequest result;
  result.callerName = std::get<std::string>(caller);
  RequestOrRefusal read = refusal(RefusalReason::UnknownPath, "no such path");
  if (aRequest.path == "/v1/chat/completions" || aRequest.path == "/v1/completions") {
    read = readInference(aRequest, aConfiguration, std::move(result), aNow);
  } else if (aRequest.path.starts_with(kServicePrefix)) {
    read = readService(aRequest, aConfiguration, std::move(result), aNow);
  }
  if (auto* request = std::get_if<CallerRequest>(&read);
      request != nullptr && !request->idempotencyKey.empty()) {
    request->digest =
      sha256Hex(request->method + "\n" + request->path + "\n" + request->body);
  }
  return read;
}

std::string
modelList(const config::Configuration& aConfiguration)
{
  Json::Value list(Json::objectValue);
  list["object"] = "list";
  list["data"] = Json::arrayValue;
  for (const auto& [name, deployment] : aConfiguration.deployments) {
    for (const auto& version : deployment.versions) {
      Json::Value model(Json::objectValue);
      model["id"] = config::toString(config::Loadable{ name, version });
      model["object"] = "model";
      model["deployment"] = name;
      model["version"] = version;
      model["default"] = version == deployment.versions.back();
      model["adapters"] = Json::arrayValue;
      for (const auto& [adapter, properties] : deployment.adapters) {
        model["adapters"].append(adapter);
      }
      list["data"].append(std::move(model));
    }
  }
  return toCompactJson(list);
}

} // namespace savoryrill::router
