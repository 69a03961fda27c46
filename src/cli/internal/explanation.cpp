#include "cli/internal/explanation.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <cstdio>
#include <ctime>
#include <tuple>

#include "cli/internal/eventfields.h"
#include "cli/internal/texttable.h"

namespace savoryrill::cli {

namespace {

/// Members that each event has; all others are fields of the event.
constexpr std::array<std::string_view, 5> kHeadMembers{ "time_ms",
                                                        "process",
                                                        "sequence",
                                                        "event",
                                                        "name" };

/// True for orders of loads and unloads, and what became of them.
bool
isLoadEvent(const Json::Value& aEvent)
{
  constexpr std::int64_t kFirst = 5030; // docs/events.md
  constexpr std::int64_t kLast = 5037;
  const std::int64_t number = numberOf(aEvent, "event");
  return number >= kFirst && number <= kLast;
}

/// What the events of one request or model say.
struct Story
{
  const Json::Value* refusal = nullptr;
  const Json::Value* answer = nullptr;
  const Json::Value* abandoned = nullptr;
  const Json::Value* wait = nullptr;
  const Json::Value* failedLoad = nullptr;
  std::string upstream; // of the last event that names one
  std::size_t refusals = 0;
  std::size_t answers = 0;
  std::size_t loads = 0;
  std::size_t unloads = 0;
};

/// Events are told apart by their names (docs/events.md). Refused orders and
/// configurations are no refusals of requests.
bool
isRefusal(const std::string& aName)
{
  return aName.find("refused") != std::string::npos && !aName.starts_with("order-") &&
         !aName.starts_with("config-");
}

bool
isAnswer(const std::string& aName)
{
  return (aName.starts_with("request-") || aName.starts_with("call-")) &&
         (aName.ends_with("answered") || aName.ends_with("finished"));
}

/// `aOfRequest` says that the events are those of a request, not of a model.
Story
readStory(const std::vector<Json::Value>& aEvents, bool aOfRequest)
{
  Story story;
  for (const auto& event : aEvents) {
    const std::string name = textOf(event, "name");
    if (isRefusal(name)) {
      story.refusal = &event;
      ++story.refusals;
    } else if (isAnswer(name)) {
      story.answer = &event;
      ++story.answers;
    } else if (name == "request-abandoned" || name == "call-cut" || name == "call-left") {
      story.abandoned = &event;
    } else if (name.find("waiting") != std::string::npos || name == "call-waits") {
      story.wait = &event;
    } else if (name == "load-failed" || name == "order-refused") {
      story.failedLoad = &event;
    } else if (name == "unload-confirmed") {
      ++story.unloads;
    } else if (name == "load-finished") {
      ++story.loads;
    }
    // Load events beside those of a request do not say which upstream answered it.
    const auto upstream = textOf(event, "upstream");
    if (!upstream.empty() && !(aOfRequest && isLoadEvent(event))) {
      story.upstream = upstream;
    }
  }
  return story;
}

std::string
reasonOf(const Json::Value& aEvent)
{
  const std::string reason = textOf(aEvent, "reason");
  return reason.empty() ? "no reason recorded" : reason;
}

std::string
refusalSentence(const Json::Value& aEvent)
{
  const std::string ran = textOf(aEvent, "ran");
  std::string result =
    "was refused by " + textOf(aEvent, "process") + ": " + reasonOf(aEvent);
  if (const auto detail = textOf(aEvent, "detail"); !detail.empty()) {
    result += " (" + detail + ")";
  }
  if (ran == "no") {
    result += "; it did not run";
  } else if (!ran.empty()) {
    result += "; whether it ran is " + ran;
  }
  return result;
}

/// The load event that tells most about the wait: the end of the load at the upstream
/// that answered, or else the latest end, failure or order of a load.
const Json::Value*
tellingLoad(const std::vector<Json::Value>& aEvents, const std::string& aUpstream)
{
  constexpr std::array<std::string_view, 4> kNames{
    "load-ordered", "order-refused", "load-failed", "load-finished"
  };
  const Json::Value* result = nullptr;
  std::size_t best = 0;
  for (const auto& event : aEvents) {
    const auto* name = std::find(kNames.begin(), kNames.end(), textOf(event, "name"));
    if (name == kNames.end()) {
      continue;
    }
    const bool same_upstream = textOf(event, "upstream") == aUpstream;
    const std::size_t rank =
      2 * static_cast<std::size_t>(name - kNames.begin()) + (same_upstream ? 1 : 0);
    if (result == nullptr || rank >= best) {
      result = &event;
      best = rank;
    }
  }
  return result;
}

/// Fields of events are texts, also those with numbers; a text that is no number is
/// returned unchanged.
std::string
durationText(const std::string& aMilliseconds)
{
  constexpr double kMillisecondsPerSecond = 1000;
  std::int64_t milliseconds = 0;
  const char* end = aMilliseconds.data() + aMilliseconds.size();
  const auto parsed = std::from_chars(aMilliseconds.data(), end, milliseconds);
  if (aMilliseconds.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
    return aMilliseconds.empty() ? "an unrecorded time" : aMilliseconds;
  }
  std::array<char, 48> text{};
  std::snprintf(text.data(),
                text.size(),
                "%.2f s",
                static_cast<double>(milliseconds) / kMillisecondsPerSecond);
  return text.data();
}

std::string
loadSentence(const Json::Value& aEvent)
{
  const std::string place = textOf(aEvent, "model") + " at " + textOf(aEvent, "upstream");
  const std::string name = textOf(aEvent, "name");
  if (name == "load-finished") {
    return "; the load of " + place + " took " +
           durationText(textOf(aEvent, "duration_ms"));
  }
  if (name == "load-ordered") {
    return "; a load of " + place + " was ordered and had not finished";
  }
  return "; the load of " + place + " failed: " + reasonOf(aEvent);
}

/// Gateways record the expected time in place of a reason, -1 if the leader told none.
std::string
waitReason(const Json::Value& aWait)
{
  const auto ready_in = textOf(aWait, "ready_in_ms");
  if (ready_in.empty()) {
    return reasonOf(aWait);
  }
  return ready_in.starts_with("-") ? "nothing was known of a load of its model"
                                   : "its model was expected in " + ready_in + " ms";
}

/// Why the request was cold, as far as recorded.
std::string
coldSentence(const Story& aStory, const std::vector<Json::Value>& aEvents)
{
  if (aStory.wait == nullptr) {
    return "";
  }
  const auto* load = tellingLoad(aEvents, aStory.upstream);
  return " after waiting: " + waitReason(*aStory.wait) +
         (load == nullptr ? "" : loadSentence(*load));
}

std::string
count(std::size_t aNumber, const std::string& aNoun)
{
  return std::to_string(aNumber) + " " + aNoun + (aNumber == 1 ? "" : "s");
}

std::string
timeText(std::int64_t aMilliseconds)
{
  constexpr std::int64_t kMillisecondsPerSecond = 1000;
  const std::time_t seconds = aMilliseconds / kMillisecondsPerSecond;
  std::tm parts{};
  ::gmtime_r(&seconds, &parts);
  std::array<char, 32> date{};
  std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  std::array<char, 48> result{};
  std::snprintf(result.data(),
                result.size(),
                "%s.%03dZ",
                date.data(),
                static_cast<int>(aMilliseconds % kMillisecondsPerSecond));
  return result.data();
}

} // namespace

std::vector<Json::Value>
inTimeOrder(std::vector<Json::Value> aEvents)
{
  const auto rank = [](const Json::Value& aEvent) {
    return std::tuple(numberOf(aEvent, "time_ms"),
                      textOf(aEvent, "process"),
                      numberOf(aEvent, "sequence"));
  };
  std::stable_sort(aEvents.begin(),
                   aEvents.end(),
                   [&](const Json::Value& aLeft, const Json::Value& aRight) {
                     return rank(aLeft) < rank(aRight);
                   });
  return aEvents;
}

bool
concernsModel(const Json::Value& aEvent, const std::string& aName)
{
  for (const auto* key : { "model", "loadable", "deployment" }) {
    const std::string value = textOf(aEvent, key);
    const bool same_start = !value.empty() && value.starts_with(aName);
    // A version or an adapter may follow.
    if (same_start && (value.size() == aName.size() || value[aName.size()] == '@' ||
                       value[aName.size()] == '+' || value[aName.size()] == '/')) {
      return true;
    }
  }
  return false;
}

std::string
concludeRequest(const std::vector<Json::Value>& aEvents, const std::string& aRequest)
{
  const std::string subject = "request " + aRequest + " ";
  if (aEvents.empty()) {
    return "no process that answered has a record of request " + aRequest;
  }
  const Story story = readStory(aEvents, true);
  if (story.answer != nullptr) {
    return subject + "was answered by " +
           (story.upstream.empty() ? "an unnamed upstream" : story.upstream) +
           coldSentence(story, aEvents);
  }
  if (story.refusal != nullptr) {
    return subject + refusalSentence(*story.refusal) + coldSentence(story, aEvents);
  }
  if (story.abandoned != nullptr) {
    const bool left = textOf(*story.abandoned, "name") == "call-left";
    return subject +
           "was given up: " + (left ? "its caller left" : reasonOf(*story.abandoned)) +
           coldSentence(story, aEvents);
  }
  const auto& last = aEvents.back();
  const auto* load = tellingLoad(aEvents, story.upstream);
  return subject + "has no recorded end; the last event is " + textOf(last, "name") +
         " at " + textOf(last, "process") +
         (story.upstream.empty() ? "" : ", upstream " + story.upstream) +
         (load == nullptr ? "" : loadSentence(*load));
}

std::optional<WaitForLoad>
waitForLoad(const std::vector<Json::Value>& aEvents)
{
  WaitForLoad result;
  for (const auto& event : aEvents) {
    const std::string name = textOf(event, "name");
    const std::int64_t time = numberOf(event, "time_ms");
    if (name == "request-received") {
      result.fromMs = time;
    } else if (name == "request-waiting") {
      // Adapters are loaded into a replica, whose load events do not name them.
      result.requested = textOf(event, "model");
      result.model = result.requested.substr(0, result.requested.find('+'));
      result.fromMs = result.fromMs == 0 ? time : result.fromMs;
    } else if (isAnswer(name) || isRefusal(name) || name == "request-abandoned") {
      result.toMs = time;
    }
  }
  return result.model.empty() ? std::nullopt : std::optional(result);
}

bool
concernsWait(const Json::Value& aEvent, const WaitForLoad& aWait)
{
  const std::int64_t time = numberOf(aEvent, "time_ms");
  const std::string model = textOf(aEvent, "model");
  return isLoadEvent(aEvent) && (model == aWait.model || model == aWait.requested) &&
         time >= aWait.fromMs && time <= aWait.toMs;
}

std::string
concludeModel(const std::vector<Json::Value>& aEvents, const std::string& aModel)
{
  if (aEvents.empty()) {
    return "no process that answered has a record of model " + aModel;
  }
  const Story story = readStory(aEvents, false);
  std::string result = "model " + aModel + ": " + count(story.loads, "load") + ", " +
                       count(story.unloads, "unload") + ", " +
                       count(story.answers, "answer") + ", " +
                       count(story.refusals, "refusal");
  if (story.refusal != nullptr) {
    result += "; last refusal: " + reasonOf(*story.refusal);
  }
  if (story.failedLoad != nullptr) {
    result += "; last failed load: " + reasonOf(*story.failedLoad);
  }
  if (!story.upstream.empty()) {
    result += "; last upstream: " + story.upstream;
  }
  return result;
}

std::string
lineOf(const Json::Value& aEvent)
{
  std::string result = timeText(numberOf(aEvent, "time_ms")) + " " +
                       textOf(aEvent, "process") + " " + textOf(aEvent, "name");
  for (auto entry = aEvent.begin(); entry != aEvent.end(); ++entry) {
    const std::string key = entry.name();
    const bool head =
      std::find(kHeadMembers.begin(), kHeadMembers.end(), key) != kHeadMembers.end();
    if (!head && !entry->isObject() && !entry->isArray()) {
      result += " " + key + "=" + entry->asString();
    }
  }
  return printable(std::move(result));
}

} // namespace savoryrill::cli
