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

/// An event kept in memory, from which the operator port serves it.
struct RecordedEvent
{
  std::uint64_t sequence = 0;
  /// Wall clock time in milliseconds since 1970. It may step: for display and reports
  /// only.
  std::int64_t wallMs = 0;
  int number = 0;
  std::string name;
  std::vector<EventField> fields;
};

/// Writes numbered events as JSON lines, through log4cplus or a `LineWriter`, and keeps
/// the latest events in memory, where `savoryrill explain` reads them. Not thread safe:
/// each process has one log, which is used on the thread of its event loop.
class EventLog
{
public:
  /// Logs events of severity `aMinimum` or above to the file `aPath`, or to standard
  /// error if the path is empty. `aProcess` names the process in each line. Keeps the
  /// latest `aCapacity` events in memory. Fails with InvalidArgument if the file cannot
  /// be opened.
  static Result<std::unique_ptr<EventLog>> create(std::string aProcess,
                                                  const std::string& aPath,
                                                  Severity aMinimum,
                                                  std::size_t aCapacity = 20000);

  /// Logs to standard output with bounded volume and without blocking on a slow reader:
  /// lines above `aLimits` are dropped, and a `log-lines-dropped` event reports their
  /// number after the next line that is not dropped. Doesn't use log4cplus, whose
  /// appenders block on a slow reader. Keeps only a few events in memory. Never fails.
  static std::unique_ptr<EventLog> createOnStandardOutput(std::string aProcess,
                                                          Severity aMinimum,
                                                          LineWriter::Limits aLimits);

  /// Keeps events in memory only, for tests. Never fails.
  static std::unique_ptr<EventLog> createInMemory();

  ~EventLog();
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  /// Records one event, unless its severity is below the minimum. Secrets must not be
  /// passed as fields.
  void write(const EventDefinition& aDefinition,
             std::initializer_list<EventField> aFields = {});

  /// Events in memory whose sequence number is above `aAfter`, oldest first.
  std::vector<RecordedEvent> eventsAfter(std::uint64_t aAfter) const;

  /// Events in memory that have a field `aKey` with the value `aValue`, oldest first.
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

/// Serializes an event as JSON, as in the log and on the operator port. Thread safe.
std::string
toJson(const RecordedEvent& aEvent, std::string_view aProcess);

} // namespace savoryrill
