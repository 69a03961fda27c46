#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "base/types/enumnames.h"
#include "config/types/configuration.h"

namespace savoryrill::placement {

/// `session/<host>`: a controller process. Each renewal increments `attempt`, so that a
/// renewal whose response was lost is recognised when the row is read back.
struct SessionRow
{
  std::string dataCentre;
  std::uint64_t incarnation = 0;
  std::uint64_t attempt = 0;
  bool leaving = false;
  bool operator==(const SessionRow&) const = default;
};

/// `owner/<upstream>`. A released row has an empty host and keeps the fencing number,
/// which never decreases.
struct OwnerRow
{
  std::string host;
  std::uint64_t incarnation = 0;
  std::uint64_t fencingNumber = 0;
  bool operator==(const OwnerRow&) const = default;
};

enum class PlaceState
{
  Active,
  Releasing
};

/// An upstream that may hold a replica of a loadable.
struct Place
{
  std::string upstream;
  PlaceState state = PlaceState::Active;
  bool operator==(const Place&) const = default;
};

/// `assignment/<deployment>@<version>`.
struct AssignmentRow
{
  std::vector<Place> places;
  bool operator==(const AssignmentRow&) const = default;

  /// The place at an upstream, or null.
  const Place* find(std::string_view aUpstream) const;
};

/// `slots/<upstream>`: the loadables (`deployment@version`) that are assigned to an
/// engine that ignores fencing numbers, with their footprints. These are shares of model
/// memory, not slots for concurrent requests.
struct SlotsRow
{
  std::map<std::string, std::uint32_t> footprintsMb;
  bool operator==(const SlotsRow&) const = default;

  std::uint64_t totalMb() const;
};

/// `config/head`.
struct HeadRow
{
  std::uint64_t version = 0;
  std::string changeId;
  std::string object;
  std::string sha256;
  bool operator==(const HeadRow&) const = default;
};

/// A row's value with its version in the table; version 0 means that the row is absent.
template<typename T>
struct Versioned
{
  std::uint64_t version = 0;
  T value;
};

inline constexpr std::string_view kHeadKey = "config/head";
inline constexpr std::string_view kSessionPrefix = "session/";
inline constexpr std::string_view kOwnerPrefix = "owner/";
inline constexpr std::string_view kAssignmentPrefix = "assignment/";
inline constexpr std::string_view kSlotsPrefix = "slots/";
inline constexpr std::string_view kDrainPrefix = "drain/";

/// Row keys. Thread safe.
std::string
sessionKey(std::string_view aHost);
std::string
ownerKey(std::string_view aUpstream);
std::string
assignmentKey(const config::Loadable& aLoadable);
std::string
slotsKey(std::string_view aUpstream);

/// Parses `deployment@version`; fails with Malformed. Thread safe.
Result<config::Loadable>
parseLoadable(std::string_view aText);

/// Conversion of row values to and from JSON. Parsing fails with Malformed. Thread safe.
std::string
toJson(const SessionRow& aRow);
std::string
toJson(const OwnerRow& aRow);
std::string
toJson(const AssignmentRow& aRow);
std::string
toJson(const SlotsRow& aRow);
std::string
toJson(const HeadRow& aRow);
Result<SessionRow>
parseSession(const std::string& aText);
Result<OwnerRow>
parseOwner(const std::string& aText);
Result<AssignmentRow>
parseAssignment(const std::string& aText);
Result<SlotsRow>
parseSlots(const std::string& aText);
Result<HeadRow>
parseHead(const std::string& aText);

} // namespace savoryrill::placement

namespace savoryrill {

template<>
struct EnumNames<placement::PlaceState>
{
  static constexpr EnumTable<placement::PlaceState, 2> kTable{ {
    { placement::PlaceState::Active, "active" },
    { placement::PlaceState::Releasing, "releasing" },
  } };
};

} // namespace savoryrill
