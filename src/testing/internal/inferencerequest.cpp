#include "testing/internal/inferencerequest.h"

#include <array>
#include <string_view>

#include "config/types/configuration.h"
#include "testing/internal/json.h"
#include "testing/tokens.h"

namespace savoryrill::testing {

namespace {

constexpr std::uint32_t kDefaultMaxTokens = 16;
constexpr std::uint32_t kMaxMaxTokens = 8192;
constexpr std::string_view kHexDigits = "0123456789abcdef";

Result<void>
readPrompt(const Json::Value& aBody, Generation& aGeneration)
{
  if (!aGeneration.chat) {
    if (!aBody["prompt"].isString()) {
      return fail(ErrorCode::Malformed, "\"prompt\" must be text");
    }
    aGeneration.prompt = aBody["prompt"].asString();
    aGeneration.prefix = prefixHash(aGeneration.prompt);
    return outcome::success();
  }
  const Json::Value& messages = aBody["messages"];
  if (!messages.isArray() || messages.empty()) {
    return fail(ErrorCode::Malformed, "\"messages\" must be a list with a message");
  }
  for (const auto& message : messages) {
    if (!message.isObject() || !message["content"].isString()) {
      return fail(ErrorCode::Malformed, "each message needs \"content\"");
    }
    const std::string content = message["content"].asString();
    if (aGeneration.prompt.empty()) {
      aGeneration.prefix = prefixHash(content);
    } else {
      aGeneration.prompt += "\n";
    }
    aGeneration.prompt += content;
  }
  return outcome::success();
}

Result<void>
readModel(const std::string& aName, Generation& aGeneration)
{
  const auto plus = aName.find('+');
  aGeneration.loadable = aName.substr(0, plus);
  aGeneration.adapter = plus == std::string::npos ? "" : aName.substr(plus + 1);
  if (aGeneration.loadable.empty()) {
    return fail(ErrorCode::Malformed, "\"model\" must name a model");
  }
  return outcome::success();
}

int
priorityOf(const http::Request& aRequest, const Json::Value& aBody)
{
  const std::string text =
    textMember(aBody, "priority", std::string(aRequest.header("X-Request-Priority")));
  const auto named = fromName<config::Priority>(text);
  return static_cast<int>(named.value_or(config::Priority::Normal));
}

Json::Value
answerFrame(const Generation& aGeneration, const char* aObject, Json::Value aChoice)
{
  aChoice["index"] = 0;
  Json::Value choices(Json::arrayValue);
  choices.append(std::move(aChoice));
  return fields({ { "id", aGeneration.id },
                  { "object", aObject },
                  { "model", modelName(aGeneration) },
                  { "choices", choices } });
}

std::string
toHex(std::string_view aBytes)
{
  std::string hex;
  for (const char byte : aBytes) {
    const auto value = static_cast<unsigned char>(byte);
    hex += kHexDigits[value >> 4U];
    hex += kHexDigits[value & 15U];
  }
  return hex;
}

Result<std::string>
fromHex(std::string_view aHex)
{
  std::string bytes;
  for (std::size_t index = 0; index + 1 < aHex.size(); index += 2) {
    const auto high = kHexDigits.find(aHex[index]);
    const auto low = kHexDigits.find(aHex[index + 1]);
    if (high == std::string_view::npos || low == std::string_view::npos) {
      return fail(ErrorCode::Malformed, "the state is not hexadecimal");
    }
    bytes += static_cast<char>(high << 4U | low);
  }
  return bytes;
}

} // namespace

Result<GenerationPtr>
readGeneration(const http::Request& aRequest)
{
  BOOST_OUTCOME_TRY(body, parseObject(aRequest.body));
  auto generation = std::make_shared<Generation>();
  generation->id = std::string(aRequest.header("X-Request-Id"));
  generation->chat = aRequest.path == "/v1/chat/completions";
  generation->stream = flagMember(body, "stream");
  generation->priority = priorityOf(aRequest, body);
  BOOST_OUTCOME_TRYV(readModel(textMember(body, "model"), *generation));
  BOOST_OUTCOME_TRYV(readPrompt(body, *generation));
  const auto max_tokens = numberMember(body, "max_tokens", kDefaultMaxTokens);
  if (max_tokens == 0 || max_tokens > kMaxMaxTokens) {
    return fail(ErrorCode::Malformed,
                "\"max_tokens\" must be 1 to " + std::to_string(kMaxMaxTokens));
  }
  generation->maxTokens = static_cast<std::uint32_t>(max_tokens);
  return generation;
}

http::Response
wholeAnswer(const Generation& aGeneration)
{
  const std::string text = answerText(aGeneration.prompt, aGeneration.produced);
  Json::Value choice;
  choice["finish_reason"] = "length";
  if (aGeneration.chat) {
    choice["message"] = fields({ { "role", "assistant" }, { "content", text } });
  } else {
    choice["text"] = text;
  }
  const char* object = aGeneration.chat ? "chat.completion" : "text_completion";
  auto answer = answerFrame(aGeneration, object, std::move(choice));
  answer["usage"]["completion_tokens"] = aGeneration.produced;
  return { 200,
           { { "Content-Type", "application/json" }, { "X-Request-Id", aGeneration.id } },
           toText(answer) };
}

std::string
tokenEvent(const Generation& aGeneration, std::uint32_t aIndex)
{
  const std::string token = tokenAt(aGeneration.prompt, aIndex);
  Json::Value choice;
  if (aGeneration.chat) {
    choice["delta"] = fields({ { "content", token } });
  } else {
    choice["text"] = token;
  }
  const bool last = aIndex + 1 == aGeneration.maxTokens;
  choice["finish_reason"] = last ? Json::Value("length") : Json::Value();
  const char* object = aGeneration.chat ? "chat.completion.chunk" : "text_completion";
  return "id: " + std::to_string(aIndex + 1) +
         "\ndata: " + toText(answerFrame(aGeneration, object, std::move(choice))) +
         "\n\n";
}

std::string
doneEvent(const Generation& aGeneration)
{
  return "id: " + std::to_string(aGeneration.maxTokens + 1) + "\ndata: [DONE]\n\n";
}

std::string
exportState(const Generation& aGeneration)
{
  return toHex(toText(fields({ { "model", modelName(aGeneration) },
                               { "prompt", aGeneration.prompt },
                               { "prefix", Json::UInt64(aGeneration.prefix) },
                               { "chat", aGeneration.chat },
                               { "stream", aGeneration.stream },
                               { "priority", aGeneration.priority },
                               { "max_tokens", aGeneration.maxTokens },
                               { "produced", aGeneration.produced } })));
}

Result<GenerationPtr>
importState(const std::string& aHex)
{
  BOOST_OUTCOME_TRY(text, fromHex(aHex));
  BOOST_OUTCOME_TRY(state, parseObject(text));
  auto generation = std::make_shared<Generation>();
  BOOST_OUTCOME_TRYV(readModel(textMember(state, "model"), *generation));
  generation->prompt = textMember(state, "prompt");
  generation->prefix = numberMember(state, "prefix");
  generation->chat = flagMember(state, "chat");
  generation->stream = flagMember(state, "stream");
  generation->priority = static_cast<int>(numberMember(state, "priority"));
  generation->prefilled = true;
  const auto max_tokens = numberMember(state, "max_tokens");
  const auto produced = numberMember(state, "produced");
  if (max_tokens == 0 || max_tokens > kMaxMaxTokens || produced > max_tokens) {
    return fail(ErrorCode::Malformed, "the state has impossible token counts");
  }
  generation->maxTokens = static_cast<std::uint32_t>(max_tokens);
  generation->produced = static_cast<std::uint32_t>(produced);
  return generation;
}

} // namespace savoryrill::testing
