#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/types/enumnames.h"

namespace savoryrill::serving {

/// What the quota of an organisation counts.
enum class QuotaUnit
{
  Requests,
  Tokens // of the prompt, plus the maximum number to generate
};

/// Limit for the requests of an organisation at all hosts together.
struct Quota
{
  double perSecond = 0;
  double burst = 0;
  QuotaUnit unit = QuotaUnit::Requests;
  double defaultTokens = 0; // cost of a request that states no number of tokens
};

/// Callers that share keys, a quota and a priority.
struct Organisation
{
  std::string name;
  std::optional<std::uint32_t> priority; // used instead of that of the route
  std::optional<Quota> quota;            // absent: no limit
};

/// An organisation as the configuration describes it, with its keys in plain text.
struct OrganisationSpec
{
  Organisation organisation;
  std::vector<std::string> keys;
};

} // namespace savoryrill::serving

namespace savoryrill {

template<>
struct EnumNames<serving::QuotaUnit>
{
  static constexpr EnumTable<serving::QuotaUnit, 2> kTable{ {
    { serving::QuotaUnit::Requests, "requests" },
    { serving::QuotaUnit::Tokens, "tokens" },
  } };
};

} // namespace savoryrill
