#pragma once

#include <string>
#include <string_view>

namespace savoryrill::gateway {

/// Splits a server-sent event stream into complete events and remembers the id of the
/// last one returned, so that a stream that breaks off within an event can be resumed
/// after the last complete one. Not thread safe; no I/O.
class EventStream
{
public:
  /// Appends received bytes and returns the events that they complete, empty if none.
  std::string take(std::string_view aData);

  /// Drops a partial event, before the stream is resumed at another upstream.
  void dropPartial() { mPartial.clear(); }

  bool hasPartial() const { return !mPartial.empty(); }
  /// True if the partial event is longer than any that engines send. Bounds the memory if
  /// an upstream sends endless bytes without the end of an event.
  bool eventTooLong() const { return mPartial.size() > kMaxEventBytes; }
  /// Id of the last complete event that has one; empty before the first.
  const std::string& lastId() const { return mLastId; }

private:
  // Far above real events, which hold some tokens in a few hundred bytes.
  static constexpr std::size_t kMaxEventBytes = 256UL * 1024;

  void updateLastId(std::string_view aEvents);

  std::string mPartial;
  std::string mLastId;
};

} // namespace savoryrill::gateway
