#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/types/time.h"

namespace savoryrill::cli {

/// Files of one configuration.
struct BundleFiles
{
  std::string base;
  std::map<std::string, std::string> overlays; // file by site
};

/// Operator ports to ask, and the token for them.
struct OperatorTargets
{
  std::vector<std::string> addresses;
  std::string tokenFile;
};

struct CheckCommand
{
  BundleFiles files;
  std::string settings; // empty: none
  bool json = false;
};

struct ApplyCommand
{
  BundleFiles files;
  std::vector<std::string> platform;
  std::optional<std::uint64_t> expectVersion;
  std::string changeId; // empty: random
  bool wait = false;
  Duration waitLimit = 30s;
  OperatorTargets operators;
  bool json = false;
};

struct StatusCommand
{
  OperatorTargets operators;
  bool json = false;
};

/// Exactly one of `request`, `model` and `summary` is set; `summary` only with `logs`.
struct ExplainCommand
{
  OperatorTargets operators;
  std::vector<std::string> logs; // read in place of asking processes; "-": standard input
  std::string request;
  std::string model;
  bool summary = false;
  bool json = false;
};

enum class ReportFormat
{
  Records, // the records as the processes gave them
  Json,
  Text,
  Html
};

struct ReportCommand
{
  OperatorTargets operators;
  ReportFormat format = ReportFormat::Text;
  std::string output;          // file; empty: standard output
  std::string recordDirectory; // keeps records between runs; empty: none
};

/// Drains processes by operator port, or an upstream or host by a table row.
struct DrainCommand
{
  OperatorTargets operators;
  std::vector<std::string> platform;
  std::string upstream;
  std::string host;
  bool undo = false;
  bool json = false;
};

struct KeygenCommand
{
  std::string secretFile;
  std::string publicFile;
};

struct VersionCommand
{};

using Command = std::variant<CheckCommand,
                             ApplyCommand,
                             StatusCommand,
                             ExplainCommand,
                             ReportCommand,
                             DrainCommand,
                             KeygenCommand,
                             VersionCommand>;

} // namespace savoryrill::cli
