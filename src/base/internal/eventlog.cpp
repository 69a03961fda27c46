#include "base/eventlog.h"

#include <chrono>
#include <fstream>
#include <json/json.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <optional>
#include <unistd.h>

#include "base/jsontext.h"
#include "base/types/baseevents.h"

namespace savoryrill {

struct EventLog::Sink
{
  // Must outlive all loggers of the process.
  std::unique_ptr<log4cplus::Initializer> initializer;
  log4cplus::Logger logger;
  std::optional<LineWriter> writer; // if set, used instead of the logger
};

namespace {

log4cplus::LogLevel
levelOf(Severity aSeverity)
{
  switch (aSeverity) {
    case Severity::Debug:
      return log4cplus::DEBUG_LOG_LEVEL;
    case Severity::Info:
      return log4cplus::INFO_LOG_LEVEL;
    case Severity::Warning:
      return log4cplus::WARN_LOG_LEVEL;
    case Severity::Error:
      return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::ERROR_LOG_LEVEL;
}

std::int64_t
wallClockMs()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

} // namespace

Result<std::unique_ptr<EventLog>>
EventLog::create(std::string aProcess,
                 const std::string& aPath,
                 Severity aMinimum,
                 std::size_t aCapacity)
{
  // If log4cplus cannot open the file, it only prints a message and drops all events.
  if (!aPath.empty() && !std::ofstream(aPath, std::ios::app)) {
    return fail(ErrorCode::InvalidArgument, "cannot open log file " + aPath);
  }
  auto sink = std::make_unique<Sink>();
  sink->initializer = std::make_unique<log4cplus::Initializer>();
  sink->logger = log4cplus::Logger::getInstance(aProcess);
  log4cplus::SharedAppenderPtr appender;
  if (aPath.empty()) {
    appender = new log4cplus::ConsoleAppender(true, true);
  } else {
    appender =
      new log4cplus::FileAppender(aPath, std::ios_base::app, true /* flush each line */);
  }
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
  sink->logger.setAdditivity(false);
  sink->logger.removeAllAppenders();
  sink->logger.addAppender(appender);
  sink->logger.setLogLevel(levelOf(aMinimum));
  return std::unique_ptr<EventLog>(
    new EventLog(std::move(aProcess), aMinimum, aCapacity, std::move(sink)));
}

std::unique_ptr<EventLog>
EventLog::createOnStandardOutput(std::string aProcess,
                                 Severity aMinimum,
                                 LineWriter::Limits aLimits)
{
  // No operator port serves these events, so a few suffice.
  constexpr std::size_t kCapacity = 16;
  auto sink = std::make_unique<Sink>();
  sink->writer.emplace(STDOUT_FILENO, aLimits);
  return std::unique_ptr<EventLog>(
    new EventLog(std::move(aProcess), aMinimum, kCapacity, std::move(sink)));
}

std::unique_ptr<EventLog>
EventLog::createInMemory()
{
  constexpr std::size_t kCapacity = 20000;
  return std::unique_ptr<EventLog>(
    new EventLog("test", Severity::Debug, kCapacity, nullptr));
}

EventLog::EventLog(std::string aProcess,
                   Severity aMinimum,
                   std::size_t aCapacity,
                   std::unique_ptr<Sink> aSink)
  : mProcess(std::move(aProcess))
  , mMinimum(aMinimum)
  , mCapacity(aCapacity)
  , mSink(std::move(aSink))
{
}

EventLog::~EventLog()
{
  if (mSink && mSink->writer) {
    mSink->writer->flush();
  } else if (mSink) {
    mSink->logger.removeAllAppenders();
  }
}

void
EventLog::write(const EventDefinition& aDefinition,
                std::initializer_list<EventField> aFields)
{
  if (aDefinition.severity < mMinimum) {
    return;
  }
  RecordedEvent event;
  event.sequence = ++mSequence;
  event.wallMs = wallClockMs();
  event.number = aDefinition.number;
  event.name = std::string(aDefinition.name);
  event.fields.assign(aFields.begin(), aFields.end());
  if (mSink && mSink->writer) {
    writeBounded(event, aDefinition.severity);
  } else if (mSink) {
    mSink->logger.log(levelOf(aDefinition.severity), toJson(event, mProcess));
  }
  mEvents.push_back(std::move(event));
  if (mEvents.size() > mCapacity) {
    mEvents.pop_front();
  }
}

void
EventLog::writeBounded(const RecordedEvent& aEvent, Severity aSeverity)
{
  auto& writer = *mSink->writer;
  const bool failure = aSeverity >= Severity::Warning;
  if (!writer.write(toJson(aEvent, mProcess), failure)) {
    return;
  }
  if (const auto dropped = writer.takeNewlyDropped(); dropped > 0) {
    RecordedEvent notice;
    notice.sequence = ++mSequence;
    notice.wallMs = aEvent.wallMs;
    notice.number = kLinesDropped.number;
    notice.name = std::string(kLinesDropped.name);
    notice.fields.emplace_back("dropped", dropped);
    writer.write(toJson(notice, mProcess), true);
  }
}

std::vector<RecordedEvent>
EventLog::eventsAfter(std::uint64_t aAfter) const
{
  std::vector<RecordedEvent> found;
  for (const auto& event : mEvents) {
    if (event.sequence > aAfter) {
      found.push_back(event);
    }
  }
  return found;
}

std::vector<RecordedEvent>
EventLog::eventsWith(std::string_view aKey, std::string_view aValue) const
{
  std::vector<RecordedEvent> found;
  for (const auto& event : mEvents) {
    for (const auto& field : event.fields) {
      if (field.key == aKey && field.value == aValue) {
        found.push_back(event);
        break;
      }
    }
  }
  return found;
}

std::string
toJson(const RecordedEvent& aEvent, std::string_view aProcess)
{
  Json::Value line(Json::objectValue);
  line["time_ms"] = Json::Int64(aEvent.wallMs);
  line["process"] = std::string(aProcess);
  line["sequence"] = Json::UInt64(aEvent.sequence);
  line["event"] = aEvent.number;
  line["name"] = aEvent.name;
  for (const auto& field : aEvent.fields) {
    line[field.key] = field.value;
  }
  return toCompactJson(line);
}

} // namespace savoryrill
