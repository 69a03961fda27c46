#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace savoryrill::link {

/// One header line. A message keeps the order and case of its header lines.
struct Header
{
  std::string name;
  std::string value;
};

using HeaderList = std::vector<Header>;

/// Compares header names without regard to case. Thread safe.
bool
sameHeaderName(std::string_view aLeft, std::string_view aRight);

/// Value of the first header called `aName`, or `nullptr` if there is none. Thread safe.
const std::string*
findHeader(const HeaderList& aHeaders, std::string_view aName);

/// True for hop-by-hop headers, including those that a `Connection` header of `aHeaders`
/// names. Thread safe.
bool
isHopByHopHeader(const HeaderList& aHeaders, std::string_view aName);

/// A request whose body has arrived in full.
struct RequestMessage
{
  std::string method;
  std::string target; // as received, including the query
  HeaderList headers;
  std::string body;
  bool isHttp10 = false; // HTTP/1.0 clients do not support chunked responses
};

/// How the end of a response body is marked.
enum class Framing
{
  None,      // no body
  Length,    // Content-Length
  Chunked,   // terminating chunk
  UntilClose // end of the connection
};

/// Status line and headers of a response.
struct ResponseHead
{
  int status = 0;
  std::string reason;
  HeaderList headers;
  Framing framing = Framing::None;
  std::uint64_t length = 0; // bytes, for Framing::Length
};

} // namespace savoryrill::link
