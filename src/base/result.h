#pragma once

#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>
#include <string>
#include <utility>

#include "base/types/error.h"

namespace savoryrill {

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

/// Either a value or an `Error`. Reading the value of a failed result, or the error of a
/// successful one, terminates the process.
template<typename T>
using Result = outcome::basic_result<T, Error, outcome::policy::terminate>;

/// Builds a failure that converts to a `Result` of any type. Thread safe.
inline auto
fail(ErrorCode aCode, std::string aMessage)
{
  return outcome::failure(Error{ aCode, std::move(aMessage) });
}

} // namespace savoryrill
