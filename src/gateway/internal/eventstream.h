#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/types/enumnames.h"

namespace savoryrill::gateway {

/// Why the bytes of an upstream are no sound event stream.
enum class StreamFault
{
  NotUtf8,
  UnknownLine,     // neither a comment nor a field
  MissingId,       // fields other than the time to reconnect, without an id
  MissingData,     // an event with an id and without data
  TwoIds,          // two events without the empty line between them
  MalformedId,     // not an unsigned number of 64 bits
  IdNotIncreasing, // repeated, or of another run
  TooLong          // a single event, or bytes that hold none
};

/// Checks a server-sent event stream whose events have increasing numbers as ids, and
/// splits it into complete events, so that a stream that breaks off within an event can
/// be resumed after the last complete one. Comments, fields of other names, all line ends
/// and a byte order mark are allowed. Not thread safe; no I/O.
class EventStream
{
public:
  /// The first event of the stream must have a higher id, since a caller or this host has
  /// all events up to `aId`. Ignored if `aId` is no number. Precondition: `take` has not
  /// been called.
  void startAfter(std::string_view aId);

  /// Appends received bytes and returns those that may be forwarded, unchanged: complete
  /// events, and comments between them. Returns nothing from the first fault on; what
  /// precedes the fault in `aData` is returned.
  std::string take(std::string_view aData);

  /// Call before the stream is continued by another response. Drops a partial event and
  /// the fault; ids go on increasing.
  void startNextResponse();

  /// The first fault of the current response.
  std::optional<StreamFault> fault() const { return mFault; }
  /// Complete events so far, in all responses.
  std::uint64_t events() const { return mEvents; }
  bool hasPartial() const { return !mPartial.empty(); }
  /// Id of the last complete event; empty before the first.
  const std::string& lastId() const { return mLastId; }

private:
  std::optional<StreamFault> readLine(std::string_view aLine);
  std::optional<StreamFault> readId(std::string_view aValue);
  std::optional<StreamFault> endEvent();

  struct Event
  {
    bool hasFields = false;
    bool hasContent = false; // fields other than `retry`, which may stand alone
    bool hasData = false;
    std::string id;
    std::optional<std::uint64_t> number; // that `id` stands for
  };

  std::string mPartial;       // the part of the current event that has arrived
  std::size_t mLineStart = 0; // of the last, incomplete line in mPartial
  bool mAfterReturn = false;  // a line feed would still belong to the last line end
  bool mAtStart = true;       // of a response, where a byte order mark may stand
  Event mEvent;
  std::size_t mIdleBytes = 0; // since the last event
  std::uint64_t mEvents = 0;
  std::optional<std::uint64_t> mLastNumber;
  std::string mLastId;
  std::optional<StreamFault> mFault;
};

} // namespace savoryrill::gateway

namespace savoryrill {

template<>
struct EnumNames<gateway::StreamFault>
{
  static constexpr EnumTable<gateway::StreamFault, 8> kTable{ {
    { gateway::StreamFault::NotUtf8, "not-utf8" },
    { gateway::StreamFault::UnknownLine, "unknown-line" },
    { gateway::StreamFault::MissingId, "missing-id" },
    { gateway::StreamFault::MissingData, "missing-data" },
    { gateway::StreamFault::TwoIds, "two-ids" },
    { gateway::StreamFault::MalformedId, "malformed-id" },
    { gateway::StreamFault::IdNotIncreasing, "id-not-increasing" },
    { gateway::StreamFault::TooLong, "too-long" },
  } };
};

} // namespace savoryrill
