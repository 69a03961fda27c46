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

/// What a change of the directory means for connections.
struct DirectoryChange
{
  std::optional<ControllerAddress> added;
  std::optional<ControllerAddress> removed;
};

/// Known controllers: seeds, which stay, and those named by `member` entries. No I/O, not
/// thread safe.
class ControllerDirectory
{
public:
  /// A controller from the settings.
  void addSeed(const ControllerAddress& aAddress);

  /// Takes a `member` entry; one with an empty payload has vanished. Entries of routers,
  /// unreadable ones and those above the limit name no controller.
  DirectoryChange update(const peer::Entry& aEntry);

private:
  bool isKnown(const ControllerAddress& aAddress) const;

  std::set<ControllerAddress> mSeeds;
  std::map<std::string, ControllerAddress> mMemberControllers; // by entry key
};

} // namespace savoryrill::gossip
