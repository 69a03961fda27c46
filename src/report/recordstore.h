#pragma once

#include <json/json.h>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "report/types/records.h"

namespace savoryrill::report {

/// Merges report records of routers and controllers. Records of the same run of a process
/// may be added any number of times and in any order: each minute counts once. Parts that
/// make no sense are left out and become findings. Not thread safe; no I/O.
class RecordStore
{
public:
  /// One run of a process.
  struct Process
  {
    std::string dataCentre;
    std::map<std::string, std::map<Minute, MinuteCounts>> deployments;
    std::map<std::string, Usage> models;
    std::set<ColdLoad> coldLoads;
  };

  /// Findings beyond this number are counted only.
  static constexpr std::size_t kMaxFindings = 100;

  /// Adds what a process answered on `GET /admin/v1/report`; `aSource` names it in
  /// findings.
  void add(const std::string& aSource, const Json::Value& aRecord);

  const std::map<ProcessKey, Process>& processes() const { return mProcesses; }
  const std::map<std::string, Objectives>& objectives() const { return mObjectives; }
  const std::vector<std::string>& findings() const { return mFindings; }
  std::size_t findingsLeftOut() const { return mFindingsLeftOut; }

private:
  void find(const std::string& aSource, const std::string& aText);
  void addObjectives(const std::string& aSource, const Json::Value& aValue);
  void addDeployments(const std::string& aSource,
                      const Json::Value& aValue,
                      Process& aProcess);
  void addModels(const std::string& aSource,
                 const Json::Value& aValue,
                 Process& aProcess);
  void addColdLoads(const std::string& aSource,
                    const Json::Value& aValue,
                    Process& aProcess);

  std::map<ProcessKey, Process> mProcesses;
  std::map<std::string, Objectives> mObjectives;
  std::vector<std::string> mFindings;
  std::size_t mFindingsLeftOut = 0;
};

} // namespace savoryrill::report
