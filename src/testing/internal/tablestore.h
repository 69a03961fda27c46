#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/types/time.h"
#include "platform/types/table.h"

namespace savoryrill::testing {

/// Rows with versions from one growing counter, which also counts over deletion and
/// expiry, so that no version is ever used twice. Free of I/O; not thread safe.
class TableStore
{
public:
  /// Applies all writes if all checks hold, else nothing. A deleted row has the new
  /// version 0.
  platform::TransactionOutcome transact(const platform::Transaction& aTransaction,
                                        Instant aNow);

  /// The row, or nothing if it is absent or has expired.
  std::optional<platform::Row> row(const std::string& aKey, Instant aNow) const;

  /// All rows whose key starts with `aPrefix`, sorted by key.
  std::vector<platform::Row> rows(const std::string& aPrefix, Instant aNow) const;

private:
  struct Entry
  {
    platform::Row row;
    std::optional<Instant> expiry;
  };

  std::map<std::string, Entry> mEntries;
  std::uint64_t mCounter = 0;
};

} // namespace savoryrill::testing
