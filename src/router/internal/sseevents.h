#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace savoryrill::router {

/// A server-sent event.
struct SseEvent
{
  std::string raw; // as received, including the blank line at the end
  std::string id;
  std::string data;
};

/// Splits a byte stream into server-sent events; an incomplete event at the end of the
/// stream is never delivered. Not thread safe; no I/O.
class SseReader
{
public:
  /// The events that `aData` completes; empty optional once an event exceeds the size
  /// limit.
  std::optional<std::vector<SseEvent>> feed(std::string_view aData);

  /// Discards an incomplete event, before the stream continues on a new connection.
  void reset() { mPending.clear(); }

private:
  std::string mPending;
};

/// The numeric value of an event id; empty if it is not a number. Thread safe.
std::optional<std::uint64_t>
numericId(std::string_view aId);

} // namespace savoryrill::router
