#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/types/enumnames.h"
#include "base/types/time.h"
#include "serving/types/upstreamlistupdate.h"

namespace savoryrill::serving {

/// What became of an entry when the list was read.
struct DirectoryChange
{
  enum class Kind
  {
    Added,    // new, or a new incarnation under a known id
    Leaving,  // no new requests from now on
    Vanished, // gone from the list
    Returned  // back after it had vanished while the list could not be read
  };
  Kind kind = Kind::Added;
  std::string id;
};

/// The upstreams known to this host, from a list that lags, may be unreadable for a while
/// and loses entries meanwhile. Leaving is sticky for an incarnation. An entry that is
/// missing right after the list was unreadable is kept for `kReturnTime`, since its
/// upstream may only have been unable to renew it. Not thread safe; no I/O.
class UpstreamDirectory
{
public:
  /// Time within which living upstreams are back in the list after an outage of it.
  static constexpr Duration kReturnTime = 2s;
  /// A gap between successful reads above this counts as an outage.
  static constexpr Duration kOutageGap = 2500ms;

  /// Takes one changed entry of the list.
  void update(UpstreamEntry aEntry, Instant aNow, std::vector<DirectoryChange>& aChanges);

  /// Takes the removal of an entry.
  void remove(const std::string& aId,
              Instant aNow,
              std::vector<DirectoryChange>& aChanges);

  /// Takes the whole list: entries that it lacks are removed.
  void replaceAll(std::vector<UpstreamEntry> aEntries,
                  Instant aNow,
                  std::vector<DirectoryChange>& aChanges);

  /// Takes changes that another host has read. Known engines keep what they reported.
  void apply(const UpstreamListUpdate& aUpdate,
             Instant aNow,
             std::vector<DirectoryChange>& aChanges);

  /// Notes a successful read, after its changes were taken.
  void readSucceeded(Instant aNow);

  /// Removes entries whose return time has passed.
  void expire(Instant aNow, std::vector<DirectoryChange>& aChanges);

  /// Marks an upstream as leaving from another source, such as its own response.
  void markLeaving(const std::string& aId);

  /// Entries that may receive requests, or null.
  const UpstreamEntry* find(const std::string& aId) const;
  const std::map<std::string, UpstreamEntry>& entries() const { return mEntries; }

private:
  bool afterOutage(Instant aNow) const;

  std::map<std::string, UpstreamEntry> mEntries;
  std::map<std::string, Instant> mMissingUntil;
  std::optional<Instant> mLastRead;
  std::optional<Instant> mOutageEnded;
};

} // namespace savoryrill::serving

namespace savoryrill {

template<>
struct EnumNames<serving::DirectoryChange::Kind>
{
  using Kind = serving::DirectoryChange::Kind;
  static constexpr EnumTable<Kind, 4> kTable{ {
    { Kind::Added, "added" },
    { Kind::Leaving, "leaving" },
    { Kind::Vanished, "vanished" },
    { Kind::Returned, "returned" },
  } };
};

} // namespace savoryrill
