#pragma once

#include <cstdint>
#include <optional>

#include "base/types/time.h"

namespace savoryrill::serving {

/// Decides whether a read of the changes of a table has shown the newest state. Load
/// pattern: a store that is slow, that answers with an older state, or whose response
/// belongs to an earlier request. Not thread safe; no I/O.
class TableReadCheck
{
public:
  /// A read begins; the store's responses so far, also for other tables, have stated
  /// versions up to `aNewest`.
  void readStarted(Instant aNow, std::uint64_t aNewest);

  /// The read has returned changes up to `aVersion`, or none (`aNoRows`), where the table
  /// was known up to `aKnown`. Returns the time at which or after which the result was
  /// the newest state: the start of the read. Nullopt if the result may be older.
  std::optional<Instant> changesRead(std::uint64_t aKnown,
                                     std::uint64_t aVersion,
                                     bool aNoRows);

private:
  Instant mStarted{};
  std::uint64_t mNewest = 0;
  bool mVersionsCoverStore = false; // of the store's responses, not only of the table
};

} // namespace savoryrill::serving
