#pragma once

#include <memory>
#include <optional>
#include <string>

#include "serving/organisationdirectory.h"
#include "serving/types/requestdetails.h"

namespace savoryrill::serving {

/// The organisation under whose name a request runs, checked on its arrival and again
/// before each attempt. Load pattern: an operator removes a key or gives it to another
/// organisation while requests with it wait for an upstream, or retry. Keeps the key in
/// memory for these checks and overwrites it in the end. Not thread safe; no I/O.
class CallerAuthentication
{
public:
  using Directory = std::shared_ptr<const OrganisationDirectory>;

  /// `aNeedsKey`: whether the route needs a key where the configuration names
  /// organisations. `aKey`: as the caller sent it; empty if it sent none.
  CallerAuthentication(bool aNeedsKey, std::string aKey);
  ~CallerAuthentication();
  CallerAuthentication(CallerAuthentication&& aOther) noexcept;
  CallerAuthentication& operator=(CallerAuthentication&&) = delete;
  CallerAuthentication(const CallerAuthentication&) = delete;
  CallerAuthentication& operator=(const CallerAuthentication&) = delete;

  /// Checks the key against the configuration now in force: nullopt if the request may
  /// run, or the reason to refuse it. `aDirectory`: null if the configuration names no
  /// organisations; `aConfirmed`: whether this host can show that the configuration was
  /// the newest a short time ago. A key is unknown only as far as the configuration is
  /// confirmed, since a newer version may contain it. Once a request has an organisation,
  /// it runs under its name only; if its key moves to another one, the caller may send it
  /// again.
  std::optional<RefusalReason> check(const Directory& aDirectory, bool aConfirmed);

  /// As of the last check that succeeded; null if the request belongs to none.
  const Organisation* organisation() const
  {
    return mOrganisation ? &*mOrganisation : nullptr;
  }

private:
  bool mNeedsKey;
  std::string mKey;
  std::optional<Organisation> mOrganisation;
  Directory mChecked; // to which the last check that succeeded applied
};

} // namespace savoryrill::serving
