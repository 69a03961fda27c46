#pragma once

namespace savoryrill::serving {

/// Chooses between a read of all rows of a table and one of its changes. Load pattern: a
/// table that changes several times a second, behind a link that is slow or loses
/// packets. A response with changes holds every version since the known state: it grows
/// while reads fail, until none arrives within its timeout. One with all rows keeps its
/// size, but is the larger one if little has changed, so after lost responses the two
/// take turns. Not thread safe; no I/O.
class TableReadChoice
{
public:
  /// Whether the next read is one of all rows.
  bool allRows() const;

  /// All reads are of all rows until one succeeds.
  void requireAllRows() { mRequired = true; }

  /// A read has succeeded and its result was used; `aHasRows` if it returned any.
  void readSucceeded(bool aAllRows, bool aHasRows);

  /// No complete response to a read has arrived. Reads that the store has refused do not
  /// count, since they tell nothing of the size of the response.
  void responseLost() { ++mLost; }

private:
  bool mRequired = true;  // nothing is known yet
  bool mChanging = false; // the last read of changes has returned some
  int mLost = 0;          // responses since the last read that succeeded
};

} // namespace savoryrill::serving
