#include <set>

#include "matrix/checker.h"
#include "matrix/internal/recordaccess.h"

namespace savoryrill::matrix {

namespace {

using testing::LoadOutcome;
using testing::textMember;

std::string
describe(const CallerRecord& aCaller)
{
  return (aCaller.service ? "call " : "request ") + aCaller.marker + " (" +
         aCaller.model + ") at " + aCaller.process + ": " +
         std::string(nameOf(aCaller.outcome)) +
         (aCaller.problemType.empty() ? "" : " " + aCaller.problemType) + " after " +
         std::to_string((aCaller.endUs - aCaller.sentUs) / 1000) + " ms";
}

bool
routerWasOut(const Evidence& aEvidence, const CallerRecord& aCaller)
{
  return wasOut(aEvidence, aCaller.process, aCaller.sentUs, aCaller.endUs);
}

bool
isRefusal(LoadOutcome aOutcome)
{
  return aOutcome == LoadOutcome::Refused || aOutcome == LoadOutcome::Unknown;
}

/// What upstreams began and finished, by marker and by request id.
struct Work
{
  std::set<std::string> begunIds;
  std::set<std::string> begunMarkers;
  std::set<std::string> endedMarkers;
};

Work
workOf(const Evidence& aEvidence)
{
  Work work;
  for (const auto& [engine, records] : aEvidence.engines) {
    for (const auto& record : records) {
      if (isKind(record, "request_begin") || isKind(record, "request_import")) {
        work.begunIds.insert(textMember(record, "request_id"));
        work.begunMarkers.insert(textMember(record, "marker"));
      } else if (isKind(record, "request_end")) {
        work.endedMarkers.insert(textMember(record, "marker"));
      }
    }
  }
  for (const auto& [service, records] : aEvidence.services) {
    for (const auto& record : records) {
      if (isKind(record, "call_begin")) {
        work.begunIds.insert(textMember(record, "request_id"));
        work.begunMarkers.insert(textMember(record, "booking"));
      } else if (isKind(record, "call_end")) {
        work.endedMarkers.insert(textMember(record, "booking"));
      }
    }
  }
  return work;
}

/// True if a begin record carries the request id, or the id of a later attempt, which is
/// `<request id>-<number>`. Request ids end with a number of their own, so that the one
/// that ends with 1 is also the front of the one that ends with 10.
bool
begun(const std::set<std::string>& aIds, const std::string& aRequestId)
{
  if (aRequestId.empty()) {
    return false;
  }
  const std::string attempt = aRequestId + "-";
  const auto found = aIds.lower_bound(attempt);
  return aIds.count(aRequestId) != 0 ||
         (found != aIds.end() && found->starts_with(attempt));
}

} // namespace

std::vector<Violation>
checkTimelyAnswers(const Evidence& aEvidence)
{
  std::vector<Violation> violations;
  for (const auto& caller : aEvidence.callers) {
    if (routerWasOut(aEvidence, caller)) {
      continue;
    }
    const bool answered = caller.outcome != LoadOutcome::TransportError &&
                          caller.outcome != LoadOutcome::Unfinished;
    const bool untyped = isRefusal(caller.outcome) && caller.problemType.empty();
    const std::int64_t last_us = caller.sentUs + caller.deadlineUs + kAnswerGrace.count();
    if (!answered || untyped || caller.endUs > last_us) {
      violations.push_back({ Promise::TimelyAnswers,
                             describe(caller) + ", deadline " +
                               std::to_string(caller.deadlineUs / 1000) + " ms" });
    }
  }
  return violations;
}

std::vector<Violation>
checkCompleteAnswers(const Evidence& aEvidence)
{
  std::vector<Violation> violations;
  const Work work = workOf(aEvidence);
  for (const auto& caller : aEvidence.callers) {
    const bool wrong = caller.outcome == LoadOutcome::WrongAnswer;
    const bool cut =
      caller.outcome == LoadOutcome::Incomplete && !routerWasOut(aEvidence, caller);
    const bool from_nowhere =
      caller.outcome == LoadOutcome::Ok && work.endedMarkers.count(caller.marker) == 0;
    if (wrong || cut || from_nowhere) {
      violations.push_back(
        { Promise::CompleteAnswers,
          describe(caller) + (from_nowhere ? ", but no upstream finished it" : "") });
    }
  }
  return violations;
}

std::vector<Violation>
checkTrueRefusals(const Evidence& aEvidence)
{
  std::vector<Violation> violations;
  const Work work = workOf(aEvidence);
  // Requests with one key share their marker; what another of them ran proves nothing.
  std::set<std::string> may_have_run;
  for (const auto& caller : aEvidence.callers) {
    if (caller.outcome != LoadOutcome::Refused) {
      may_have_run.insert(caller.marker);
    }
  }
  for (const auto& caller : aEvidence.callers) {
    if (caller.outcome != LoadOutcome::Refused) {
      continue;
    }
    const bool by_marker = may_have_run.count(caller.marker) == 0 &&
                           work.begunMarkers.count(caller.marker) != 0;
    if (by_marker || begun(work.begunIds, caller.requestId)) {
      violations.push_back(
        { Promise::TrueRefusals, describe(caller) + ", but an upstream began it" });
    }
  }
  return violations;
}

std::vector<Violation>
checkGracefulStop(const Evidence& aEvidence)
{
  std::vector<Violation> violations;
  for (const auto& stop : aEvidence.stops) {
    if (stop.exitStatus != 0) {
      violations.push_back(
        { Promise::GracefulStop,
          stop.process + " ended with status " + std::to_string(stop.exitStatus) });
    }
    for (const auto& caller : aEvidence.callers) {
      // What ends at its own deadline is not cut by the stop.
      const bool in_progress = caller.process == stop.process &&
                               caller.sentUs < stop.beganUs + stop.balancerDelayUs &&
                               caller.endUs > stop.beganUs &&
                               caller.endUs < caller.sentUs + caller.deadlineUs;
      const bool cut = caller.outcome == LoadOutcome::TransportError ||
                       caller.outcome == LoadOutcome::Incomplete ||
                       caller.outcome == LoadOutcome::ErrorEvent ||
                       caller.problemType.find("shutting-down") != std::string::npos;
      if (in_progress && cut) {
        violations.push_back(
          { Promise::GracefulStop, describe(caller) + ", in progress at its stop" });
      }
    }
  }
  return violations;
}

} // namespace savoryrill::matrix
