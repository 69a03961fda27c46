#pragma once

#include <json/value.h>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"

namespace savoryrill::testing {

/// Writes JSON lines of what truly happened, each with one `write` call, so that a killed
/// process leaves whole lines. Every line has `t_us` (microseconds of CLOCK_BOOTTIME,
/// comparable between all processes of a machine) and `kind`. Not thread safe.
class Recorder
{
public:
  /// Appends to `aPath`, or keeps the records in memory if it is empty. Fails with
  /// InvalidArgument if the file cannot be opened.
  static Result<std::unique_ptr<Recorder>> create(const std::string& aPath);

  ~Recorder();
  Recorder(const Recorder&) = delete;
  Recorder& operator=(const Recorder&) = delete;

  /// Records one fact now. Precondition: `aFields` is an object or null.
  void write(std::string_view aKind, Json::Value aFields = Json::objectValue);

  /// The records kept in memory, oldest first; empty if they go to a file.
  const std::vector<Json::Value>& kept() const { return mKept; }

  /// The kept records of one kind, oldest first.
  std::vector<Json::Value> kept(std::string_view aKind) const;

private:
  explicit Recorder(int aFd);

  int mFd;
  std::vector<Json::Value> mKept;
};

} // namespace savoryrill::testing
