#include "gateway/internal/eventstream.h"

#include <algorithm>
#include <array>

namespace savoryrill::gateway {

namespace {

/// Position after the last empty line, which ends an event; 0 if there is none.
std::size_t
endOfWholeEvents(std::string_view aText)
{
  constexpr std::array<std::string_view, 3> kEventEnds{ "\n\n", "\r\n\r\n", "\r\r" };
  std::size_t end = 0;
  for (const auto& mark : kEventEnds) {
    const auto at = aText.rfind(mark);
    if (at != std::string_view::npos) {
      end = std::max(end, at + mark.size());
    }
  }
  return end;
}

} // namespace

std::string
EventStream::take(std::string_view aData)
{
  mPartial.append(aData);
  const std::size_t end = endOfWholeEvents(mPartial);
  std::string events = mPartial.substr(0, end);
  mPartial.erase(0, end);
  updateLastId(events);
  return events;
}

void
EventStream::updateLastId(std::string_view aEvents)
{
  constexpr std::string_view kField = "id:";
  std::size_t line = 0;
  while (line < aEvents.size()) {
    const auto end = std::min(aEvents.find_first_of("\r\n", line), aEvents.size());
    auto text = aEvents.substr(line, end - line);
    if (text.starts_with(kField)) {
      text.remove_prefix(kField.size());
      if (text.starts_with(' ')) {
        text.remove_prefix(1);
      }
      mLastId = std::string(text);
    }
    line = end + 1;
  }
}

} // namespace savoryrill::gateway
