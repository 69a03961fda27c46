#pragma once

#include <string>

#include "base/types/enumnames.h"

namespace savoryrill::matrix {

/// The guarantees of docs/design.md section 1.2, and that all routers serve again after
/// the fault, without which a system that refuses everything would pass.
enum class Promise
{
  ReplicaLimit,
  Memory,
  TimelyAnswers,
  CompleteAnswers,
  TrueRefusals,
  AtMostOnce,
  LeavingUpstreams,
  GracefulStop,
  Configuration,
  Recovery
};

/// One breach of a promise, seen in the records.
struct Violation
{
  Promise promise = Promise::ReplicaLimit;
  std::string text;
};

} // namespace savoryrill::matrix

namespace savoryrill {

template<>
struct EnumNames<matrix::Promise>
{
  static constexpr EnumTable<matrix::Promise, 10> kTable{ {
    { matrix::Promise::ReplicaLimit, "P1" },
    { matrix::Promise::Memory, "P2" },
    { matrix::Promise::TimelyAnswers, "P3" },
    { matrix::Promise::CompleteAnswers, "P4" },
    { matrix::Promise::TrueRefusals, "P5" },
    { matrix::Promise::AtMostOnce, "P6" },
    { matrix::Promise::LeavingUpstreams, "P7" },
    { matrix::Promise::GracefulStop, "P8" },
    { matrix::Promise::Configuration, "P9" },
    { matrix::Promise::Recovery, "recovery" },
  } };
};

} // namespace savoryrill
