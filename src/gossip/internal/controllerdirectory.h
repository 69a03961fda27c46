#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "transport/proto/peer.pb.h"

namespace savoryrill::gossip {

/// Where a controller listens.
struct ControllerAddress
{
  std::string dataCentre;
  std::string host;
  std::string endpoint;
  // clang-tidy 14 takes the defaulted comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const ControllerAddress&) const = default;
};

/// Controllers that an update has added to and removed from the directory.
struct DirectoryChange
{
  std::optional<ControllerAddress> added;
  std::optional<ControllerAddress> removed;
};

/// Known controllers: seeds, which are never removed, and those named by `member`
/// entries. No I/O, not thread safe.
class ControllerDirectory
{
public:
  /// Adds a controller from the settings.
  void addSeed(const ControllerAddress& aAddress);

  /// Applies a `member` entry. An entry with an empty payload has expired. The controller
  /// that the previous entry of this key named is removed if this entry names another one
  /// or none: because it has expired, is malformed, is that of a router or says that the
  /// controller leaves. Further controllers are ignored once the maximum is reached.
  DirectoryChange update(const peer::Entry& aEntry);

private:
  bool isKnown(const ControllerAddress& aAddress) const;

  std::set<ControllerAddress> mSeeds;
  std::map<std::string, ControllerAddress> mMemberControllers; // by entry key
};

} // namespace savoryrill::gossip
