#pragma once

#include <cstdint>
#include <json/value.h>
#include <memory>
#include <string>
#include <string_view>

#include "base/result.h"
#include "http/server.h"

namespace savoryrill::testing {

/// One line of JSON without a line end. Thread safe.
std::string
toText(const Json::Value& aValue);

/// Reads a JSON object. Fails with Malformed. Thread safe.
Result<Json::Value>
parseObject(std::string_view aText);

// The members of untrusted objects are read through these, since jsoncpp throws on
// a member of another type. A missing member or one of the wrong type gives the default.

std::string
textMember(const Json::Value& aObject, const char* aName, std::string aDefault = {});

std::uint64_t
numberMember(const Json::Value& aObject, const char* aName, std::uint64_t aDefault = 0);

double
realMember(const Json::Value& aObject, const char* aName, double aDefault = 0);

bool
flagMember(const Json::Value& aObject, const char* aName, bool aDefault = false);

/// Answers with JSON.
void
respondJson(http::Exchange& aExchange, int aStatus, const Json::Value& aValue);

/// Answers with problem JSON; `ran` is "no", since the stand-ins refuse before they run.
void
respondProblem(http::Exchange& aExchange,
               int aStatus,
               const std::string& aCode,
               const std::string& aDetail);

/// A pair builder for short records: `fields({ { "model", x }, ... })`.
Json::Value
fields(std::initializer_list<std::pair<const char*, Json::Value>> aMembers);

} // namespace savoryrill::testing
