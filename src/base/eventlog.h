#pragma once

#include <cstdint>
#include <deque>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/linewriter.h"
#include "base/result.h"
#include "base/types/eventdefinition.h"

namespace savoryrill {

/// One `key: value` pair of an event.
struct EventField
{
  EventField(std::string_view aKey, std::string_view aValue)
    : key(aKey)
    , value(aValue)
  {
  }
  EventField(std::string_view aKey, const char* aValue)
    : EventField(aKey, std::string_view(aValue))
  {
  }
  EventField(std::string_view aKey, const std::string& aValue)
    : EventField(aKey, std::string_view(aValue))
  {
  }
  EventField(std::string_view aKey, std::int64_t aValue)
    : key(aKey)
    , value(std::to_string(aValue))
  {
  }
  EventField(std::string_view aKey, std::uint64_t aValue)
    : key(aKey)
    , value(std::to_string(aValue))
  {
  }
  EventField(std::string_view aKey, int aValue)
    : EventField(aKey, static_cast<std::int64_t>(aValue))
  {
  }

  std::string key;
  std::string value;
};

/// An event kept in memory for the operator port.
struct RecordedEvent
{
  std::uint64_t sequence = 0;
  std::int64_t wallMs = 0; // milliseconds since 1970, for people and reports only
  int number = 0;
  std::string name;
  std::vector<EventField> fields;
};

/// Writes numbered events as JSON lines, through log4cplus or a bounded writer, and keeps
/// the latest in memory, from which `savoryrill explain` reads. Not thread safe: one per
/// process, used by its loop.
class EventLog
{
public:
  /// Logs to `aPath`, or to standard error if it is empty, events of at least `aMinimum`.
  /// `aProcess` names the process in each line. Keeps `aCapacity` events in memory.
  /// Fails with InvalidArgument if the file cannot be opened.
  static Result<std::unique_ptr<EventLog>> create(std::string aProcess,
                                                  const std::string& aPath,
                                                  Severity aMinimum,
                                                  std::size_t aCapacity = 20000);

  /// Logs to standard output with bounded volume, and never waits for its reader: lines
  /// that are not taken, or are above `aLimits`, are dropped, and a line tells how many.
  /// log4cplus appenders wait for a slow reader, so this log does without them. Keeps
  /// only few events in memory. Never fails.
  static std::unique_ptr<EventLog> createOnStandardOutput(std::string aProcess,
                                                          Severity aMinimum,
                                                          LineWriter::Limits aLimits);

  /// A log that only keeps events in memory, for tests. Never fails.
  static std::unique_ptr<EventLog> createInMemory();

  ~EventLog();
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  /// Records one event. Secrets must not be passed as fields.
  void write(const EventDefinition& aDefinition,
             std::initializer_list<EventField> aFields = {});

  /// Kept events whose sequence is above `aAfter`, oldest first.
  std::vector<RecordedEvent> eventsAfter(std::uint64_t aAfter) const;

  /// Kept events that have a field `aKey` with `aValue`, oldest first.
  std::vector<RecordedEvent> eventsWith(std::string_view aKey,
                                        std::string_view aValue) const;

private:
  struct Sink;
  void writeBounded(const RecordedEvent& aEvent, Severity aSeverity);
  EventLog(std::string aProcess,
           Severity aMinimum,
           std::size_t aCapacity,
           std::unique_ptr<Sink> aSink);

  std::string mProcess;
  Severity mMinimum;
  std::size_t mCapacity;
  std::unique_ptr<Sink> mSink;
  std::uint64_t mSequence = 0;
  std::deque<RecordedEvent> mEvents;
};

/// The JSON form of an event, as in the log and on the operator port. Thread safe.
std::string
toJson(const RecordedEvent& aEvent, std::string_view aProcess);

} // namespace savoryrill
