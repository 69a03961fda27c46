#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/result.h"
#include "platform/types/table.h"

namespace savoryrill::platform {

template<typename T>
using Completion = std::function<void(Result<T>)>;

/// The platform's table store, object store and host list. All functions are
/// asynchronous: the completion runs once, in a later iteration of the event loop, or
/// never if this object is destroyed first. Errors: Unavailable (the platform was not
/// reached or refused the request; a write certainly had no effect), OutcomeUnknown
/// (writes only: the write may have taken effect), Timeout (reads only), Malformed (reads
/// only: the response is invalid). Not thread safe.
class IPlatform
{
public:
  virtual ~IPlatform() = default;

  /// Runs a transaction. It is sent at most once; there are no automatic retries.
  virtual void transact(Transaction aTransaction,
                        Completion<TransactionOutcome> aDone) = 0;

  /// Reads a row; nothing if it is absent.
  virtual void readRow(std::string aKey, Completion<std::optional<Row>> aDone) = 0;

  /// Reads all rows whose key starts with `aPrefix`, sorted by key.
  virtual void readRows(std::string aPrefix, Completion<std::vector<Row>> aDone) = 0;

  /// Writes an object. Writing it again with the same bytes has no further effect.
  virtual void putObject(std::string aKey,
                         std::string aBytes,
                         Completion<bool> aDone) = 0;

  /// Reads an object; nothing if it is absent.
  virtual void readObject(std::string aKey,
                          Completion<std::optional<std::string>> aDone) = 0;

  /// Reads the host list.
  virtual void readHosts(Completion<std::vector<HostEntry>> aDone) = 0;
};

} // namespace savoryrill::platform
