#include "router/internal/sseevents.h"

#include <charconv>

namespace savoryrill::router {

namespace {

constexpr std::size_t kMaxEventBytes = 1024 * 1024;

std::string_view
valueOf(std::string_view aLine, std::string_view aField)
{
  std::string_view value = aLine.substr(aField.size() + 1);
  return value.starts_with(' ') ? value.substr(1) : value;
}

bool
isField(std::string_view aLine, std::string_view aField)
{
  return aLine.starts_with(aField) && aLine.size() > aField.size() &&
         aLine[aField.size()] == ':';
}

SseEvent
parseEvent(std::string aRaw)
{
  SseEvent event;
  bool has_data = false;
  std::string_view left = aRaw;
  while (!left.empty()) {
    const auto end = left.find('\n');
    std::string_view line = left.substr(0, end);
    left = end == std::string_view::npos ? "" : left.substr(end + 1);
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    if (isField(line, "id")) {
      event.id = std::string(valueOf(line, "id"));
    } else if (isField(line, "data")) {
      event.data += has_data ? "\n" : "";
      event.data += valueOf(line, "data");
      has_data = true;
    }
  }
  event.raw = std::move(aRaw);
  return event;
}

/// Offset after the blank line of the first complete event, or npos.
std::size_t
endOfEvent(const std::string& aText)
{
  std::size_t line_begin = 0;
  while (true) {
    const auto line_end = aText.find('\n', line_begin);
    if (line_end == std::string::npos) {
      return std::string::npos;
    }
    const std::size_t length = line_end - line_begin;
    if (length == 0 || (length == 1 && aText[line_begin] == '\r')) {
      return line_end + 1;
    }
    line_begin = line_end + 1;
  }
}

} // namespace

std::optional<std::vector<SseEvent>>
SseReader::feed(std::string_view aData)
{
  mPending.append(aData);
  std::vector<SseEvent> events;
  for (auto end = endOfEvent(mPending); end != std::string::npos;
       end = endOfEvent(mPending)) {
    auto event = parseEvent(mPending.substr(0, end));
    mPending.erase(0, end);
    const bool blank = event.raw == "\n" || event.raw == "\r\n";
    if (!blank) {
      events.push_back(std::move(event));
    }
  }
  if (mPending.size() > kMaxEventBytes) {
    return std::nullopt;
  }
  return events;
}

std::optional<std::uint64_t>
numericId(std::string_view aId)
{
  std::uint64_t value = 0;
  const auto read = std::from_chars(aId.data(), aId.data() + aId.size(), value);
  if (aId.empty() || read.ec != std::errc() || read.ptr != aId.data() + aId.size()) {
    return std::nullopt;
  }
  return value;
}

} // namespace savoryrill::router
