#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/result.h"
#include "base/types/time.h"

namespace savoryrill::gateway {

/// A row of a table; `value` holds its bytes.
struct StoredRow
{
  std::string key;
  std::string value;
  std::uint64_t version = 0;
  bool deleted = false; // only in changes
};

/// Rows as of one version of the store.
struct RowSet
{
  std::vector<StoredRow> rows;
  std::uint64_t version = 0;
};

/// The rows of the platform's transactional store. Each call is made once; its completion
/// runs in a later iteration of the loop, or never if the store is destroyed first.
/// Errors: Unavailable (without effect), OutcomeUnknown (it may take effect, also
/// later), Conflict (the row has another version), NotFound (the history asked for is
/// gone), Malformed. Not thread safe.
class IRowStore
{
public:
  template<typename T>
  using Completion = std::function<void(Result<T>)>;

  virtual ~IRowStore() = default;

  /// Reads a whole table. The rows of all pages are as new as the first page or newer;
  /// the version is that of the first page.
  virtual void readTable(const std::string& aTable, Completion<RowSet> aDone) = 0;

  /// Reads a row; nothing if it is absent.
  virtual void readRow(const std::string& aTable,
                       const std::string& aKey,
                       Completion<std::optional<StoredRow>> aDone) = 0;

  /// Reads the changes of a table after a version; waits up to `aWait` for the first.
  virtual void readChanges(const std::string& aTable,
                           std::uint64_t aAfter,
                           Duration aWait,
                           Completion<RowSet> aDone) = 0;

  /// Writes a row that must have `aExpected` (0: must be absent); completes with its new
  /// version.
  virtual void writeRow(const std::string& aTable,
                        const StoredRow& aRow,
                        std::uint64_t aExpected,
                        Completion<std::uint64_t> aDone) = 0;
};

} // namespace savoryrill::gateway
