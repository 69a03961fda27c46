#pragma once

#include <map>
#include <string>
#include <string_view>

namespace savoryrill::http {

/// Orders header names without regard to case, as HTTP compares them.
struct CaseInsensitiveLess
{
  using is_transparent = void;
  bool operator()(std::string_view aLeft, std::string_view aRight) const;
};

using Headers = std::map<std::string, std::string, CaseInsensitiveLess>;
using QueryParameters = std::map<std::string, std::string, std::less<>>;

/// A received request. `path` and query values are percent-decoded.
struct Request
{
  std::string method;
  std::string path;
  QueryParameters query;
  Headers headers;
  std::string body;
  std::string remoteAddress;

  /// Value of a header, or an empty view.
  std::string_view header(std::string_view aName) const;
};

struct Response
{
  int status = 200;
  Headers headers;
  std::string body;
};

} // namespace savoryrill::http
