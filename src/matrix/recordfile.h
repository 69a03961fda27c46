#pragma once

#include <cstddef>
#include <json/value.h>
#include <string>
#include <vector>

namespace savoryrill::matrix {

/// Follows the record file of a stand-in while it is written. Not thread safe.
class RecordFile
{
public:
  explicit RecordFile(std::string aPath)
    : mPath(std::move(aPath))
  {
  }

  /// Reads what has been added since the last call; a missing file is an empty one.
  void update();

  /// Adds a fact that the stand-in could not record itself, such as its own death.
  void add(Json::Value aRecord) { mRecords.push_back(std::move(aRecord)); }

  /// All records read so far, in the order of the file.
  const std::vector<Json::Value>& records() const { return mRecords; }

  /// Whole lines that are not records. A judgement on such a file would be worth nothing.
  std::size_t unreadable() const { return mUnreadable; }

private:
  std::string mPath;
  std::size_t mOffset = 0;
  std::size_t mUnreadable = 0;
  std::vector<Json::Value> mRecords;
};

} // namespace savoryrill::matrix
