#pragma once

#include <cstdint>
#include <json/value.h>
#include <limits>
#include <map>
#include <string>
#include <vector>

#include "testing/types/loadoptions.h"

namespace savoryrill::matrix {

// All times are microseconds of CLOCK_BOOTTIME, as in the records.

/// A caller's request and how it ended, from the caller's own records.
struct CallerRecord
{
  std::string process; // name of the router that was asked
  std::string model;
  std::string marker;
  std::string key;
  std::string requestId;
  std::string problemType;
  std::string ran;
  bool service = false;
  testing::LoadOutcome outcome = testing::LoadOutcome::Ok;
  std::int64_t sentUs = 0;
  std::int64_t endUs = 0;
  std::int64_t deadlineUs = 0; // after `sentUs`
};

/// A time in which the row itself took a process out, or kept commits from it.
struct Outage
{
  std::int64_t fromUs = 0;
  std::int64_t toUs = std::numeric_limits<std::int64_t>::max();
};

struct StopRecord
{
  std::string process;
  std::int64_t beganUs = 0;
  std::int64_t endedUs = 0;
  std::int64_t balancerDelayUs = 0;
  int exitStatus = 0;
};

/// The first time at which a source said that an upstream is leaving.
struct LeavingNotice
{
  std::string upstream;
  std::int64_t atUs = 0;
};

struct VersionSeen
{
  std::string process;
  std::int64_t atUs = 0;
  std::uint64_t version = 0; // 0: none in force
};

/// What the checker judges: records that do not come from the system under test, except
/// for the versions in force, which only the processes themselves can tell.
struct Evidence
{
  std::map<std::string, std::uint32_t> maxReplicas; // by deployment@version
  std::map<std::string, std::vector<Json::Value>> engines;
  std::map<std::string, std::vector<Json::Value>> services;
  std::vector<Json::Value> platform;
  std::vector<CallerRecord> callers;
  std::map<std::string, std::vector<Outage>> outages; // killed or frozen, by process
  std::map<std::string, std::vector<Outage>> cutOff;  // no way for a commit, by process
  std::vector<StopRecord> stops;
  std::vector<LeavingNotice> leaving;
  std::vector<VersionSeen> versions;
};

} // namespace savoryrill::matrix
