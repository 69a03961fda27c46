#pragma once

#include <cstdint>
#include <json/json.h>
#include <limits>
#include <optional>
#include <string>
#include <vector>

namespace savoryrill::cli {

/// Events of one or more processes, in time order. Wall clocks of hosts differ a little,
/// so the order between processes is only good enough for people.
std::vector<Json::Value>
inTimeOrder(std::vector<Json::Value> aEvents);

/// True if the event concerns the deployment, the loadable or the model `aName`.
bool
concernsModel(const Json::Value& aEvent, const std::string& aName);

/// A request that waited for its model, and when.
struct WaitForLoad
{
  std::string model; // without adapter
  std::int64_t fromMs = 0;
  std::int64_t toMs = std::numeric_limits<std::int64_t>::max(); // end of the request
};

/// The wait that the events of a request show, if any.
std::optional<WaitForLoad>
waitForLoad(const std::vector<Json::Value>& aEvents);

/// True for an event of a load or unload of the model during the wait.
bool
concernsWait(const Json::Value& aEvent, const WaitForLoad& aWait);

/// One sentence that says what became of the request. The events may include those of
/// loads that it waited for.
std::string
concludeRequest(const std::vector<Json::Value>& aEvents, const std::string& aRequest);

/// One sentence that sums up what happened to the model.
std::string
concludeModel(const std::vector<Json::Value>& aEvents, const std::string& aModel);

/// One line: time, process, event name and fields.
std::string
lineOf(const Json::Value& aEvent);

} // namespace savoryrill::cli
