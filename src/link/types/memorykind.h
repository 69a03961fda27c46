#pragma once

#include "base/types/enumnames.h"

namespace savoryrill::link {

/// What memory that is held for a caller's connection contains.
enum class MemoryKind
{
  Connection, // the connection itself
  Head,       // of a request that is being received
  Body,       // of a request that is being received
  Input,      // received and not parsed yet, such as pipelined requests
  Output,     // not accepted by the caller's socket yet
  Request,    // a complete request, kept until its response is complete
  Response    // buffered before it is forwarded
};

inline constexpr std::size_t kMemoryKinds = 7;

} // namespace savoryrill::link

namespace savoryrill {

template<>
struct EnumNames<link::MemoryKind>
{
  static constexpr EnumTable<link::MemoryKind, link::kMemoryKinds> kTable{ {
    { link::MemoryKind::Connection, "connection" },
    { link::MemoryKind::Head, "head" },
    { link::MemoryKind::Body, "body" },
    { link::MemoryKind::Input, "input" },
    { link::MemoryKind::Output, "output" },
    { link::MemoryKind::Request, "request" },
    { link::MemoryKind::Response, "response" },
  } };
};

} // namespace savoryrill
