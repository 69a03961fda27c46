#pragma once

#include <string>
#include <string_view>

namespace savoryrill::gateway {

/// Splits a server-sent event stream into whole events and remembers the id of the last
/// one passed on, so that a stream that breaks in the middle of an event can be resumed
/// behind it. Not thread safe; no I/O.
class EventStream
{
public:
  /// Takes bytes and returns the whole events that they complete, empty if there are
  /// none.
  std::string take(std::string_view aData);

  /// Drops a partial event, before the stream goes on at another upstream.
  void dropPartial() { mPartial.clear(); }

  bool hasPartial() const { return !mPartial.empty(); }
  /// True if an event is longer than any that engines send: bytes that are no stream may
  /// come without end, and must not fill the memory.
  bool eventTooLong() const { return mPartial.size() > kMaxEventBytes; }
  /// Id of the last whole event; empty before the first event with an id.
  const std::string& lastId() const { return mLastId; }

private:
  // An event holds some tokens, that is a few hundred bytes.
  static constexpr std::size_t kMaxEventBytes = 256UL * 1024;

  void updateLastId(std::string_view aEvents);

  std::string mPartial;
  std::string mLastId;
};

} // namespace savoryrill::gateway
