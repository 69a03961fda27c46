#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "platform/types/table.h"

namespace savoryrill::placement {

/// The platform's table store in memory. Versions also increase across deletion of a row.
class FakeTable
{
public:
  platform::TransactionOutcome transact(const platform::Transaction& aTransaction)
  {
    platform::TransactionOutcome outcome;
    for (const auto& check : aTransaction.checks) {
      const auto row = mRows.find(check.key);
      const std::uint64_t version = row == mRows.end() ? 0 : row->second.version;
      if (version != check.version) {
        outcome.conflicts[check.key] = version;
      }
    }
    if (!outcome.conflicts.empty()) {
      return outcome;
    }
    outcome.committed = true;
    for (const auto& write : aTransaction.writes) {
      const std::uint64_t version = ++mVersions[write.key];
      outcome.versions[write.key] = version;
      if (write.value) {
        mRows[write.key] = { write.key, version, *write.value };
      } else {
        mRows.erase(write.key);
      }
    }
    return outcome;
  }

  std::optional<platform::Row> read(const std::string& aKey) const
  {
    const auto row = mRows.find(aKey);
    return row == mRows.end() ? std::nullopt : std::optional(row->second);
  }

  std::vector<platform::Row> readAll(std::string_view aPrefix) const
  {
    std::vector<platform::Row> rows;
    for (const auto& [key, row] : mRows) {
      if (key.starts_with(aPrefix)) {
        rows.push_back(row);
      }
    }
    return rows;
  }

  void erase(const std::string& aKey) { mRows.erase(aKey); }

  void put(const std::string& aKey, const std::string& aValue)
  {
    transact({ {}, { { aKey, aValue } } });
  }

private:
  std::map<std::string, platform::Row> mRows;
  std::map<std::string, std::uint64_t> mVersions;
};

} // namespace savoryrill::placement
