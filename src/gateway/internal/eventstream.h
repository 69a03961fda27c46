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
  /// Id of the last whole event; empty before the first event with an id.
  const std::string& lastId() const { return mLastId; }

private:
  void noteIds(std::string_view aEvents);

  std::string mPartial;
  std::string mLastId;
};

} // namespace savoryrill::gateway
