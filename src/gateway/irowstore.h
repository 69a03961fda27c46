#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/result.h"
#include "base/types/time.h"
#include "serving/types/storeposition.h"

namespace savoryrill::gateway {

/// A row of a table; `value` holds its bytes.
struct StoredRow
{
  std::string key;
  std::string value;
  serving::StorePosition version = 0;
  bool deleted = false; // set only by readChanges
};

/// Rows as of one version of the store. All versions are of the era in which they were
/// read, also those of rows that were written before.
struct RowSet
{
  std::vector<StoredRow> rows;
  serving::StorePosition version = 0;
};

/// The rows of the platform's transactional store. Versions are positions in its history
/// and only rise, also when it comes back from a copy. What it has stated before that may
/// be gone: reads of changes since an earlier era fail with NotFound, writes on a version
/// of one with Conflict, and a write during which the era rises with OutcomeUnknown. Each
/// operation is sent once and never
/// retried; its completion runs in a later iteration of the loop, or never if the store
/// object is destroyed or the operation cancelled first. Errors: Unavailable (no effect),
/// OutcomeUnknown (it may take effect, possibly later), Conflict (the row has another
/// version), NotFound (the store no longer has the requested changes), Malformed. Not
/// thread safe.
class IRowStore
{
public:
  template<typename T>
  using Completion = std::function<void(Result<T>)>;

  virtual ~IRowStore() = default;

  /// Highest version in any response of the store so far; 0 if none was received or the
  /// store object does not record it.
  virtual serving::StorePosition newestVersion() const { return 0; }

  /// Latest era that the store has stated: it rises by one whenever the store comes back
  /// from a copy that lacks its last changes. 0 if none was received or the store object
  /// does not record it.
  virtual std::uint64_t era() const { return 0; }

  /// Reads all rows of a table, page by page. The version is that of the first page; rows
  /// of later pages may be newer.
  virtual void readTable(const std::string& aTable, Completion<RowSet> aDone) = 0;

  /// Reads a row; completes with nullopt if it is absent.
  virtual void readRow(const std::string& aTable,
                       const std::string& aKey,
                       Completion<std::optional<StoredRow>> aDone) = 0;

  /// Reads the changes of a table after version `aAfter`; if there are none, the store
  /// waits up to `aWait` for the first one.
  virtual void readChanges(const std::string& aTable,
                           serving::StorePosition aAfter,
                           Duration aWait,
                           Completion<RowSet> aDone) = 0;

  /// Gives up all reads of changes of a table that wait for one. Their completions do not
  /// run, and they take up no resources from then on.
  virtual void cancelWaitingReads(const std::string& aTable) = 0;

  /// Writes a row if its version is `aExpected` (0: the row must be absent); completes
  /// with its new version.
  virtual void writeRow(const std::string& aTable,
                        const StoredRow& aRow,
                        serving::StorePosition aExpected,
                        Completion<serving::StorePosition> aDone) = 0;
};

} // namespace savoryrill::gateway
