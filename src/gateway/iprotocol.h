#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/result.h"
#include "link/types/message.h"
#include "serving/types/call.h"
#include "serving/types/placement.h"
#include "serving/types/servingconfig.h"
#include "serving/types/upstreamentry.h"

namespace savoryrill::gateway {

/// What is added to a request when it is sent to an upstream.
struct AttemptParameters
{
  std::string upstream;      // the incarnation that must receive it
  Duration remaining{};      // time in which the response is useful
  std::uint32_t urgency = 5; // 0 first
  std::string resumeAfter;   // last event that the caller has, empty: from the start
};

/// What a response head says, beside status and body.
struct ResponseMetadata
{
  std::string requestId;      // of the request it belongs to, empty: it does not say
  bool notExecuted = false;   // the upstream did not run the request
  bool isSigned = false;      // the upstream vouches for status and body
  bool wrongUpstream = false; // an incarnation other than the one meant has answered
};

/// Requests and responses between callers, this host and upstreams. Thread safe.
class IRequestProtocol
{
public:
  virtual ~IRequestProtocol() = default;
  /// Fails with InvalidArgument if required details are missing or malformed.
  virtual Result<serving::CallDetails> readRequest(
    const link::RequestMessage& aRequest) const = 0;
  /// Serialises the request for an upstream.
  virtual std::string writeRequest(const link::RequestMessage& aRequest,
                                   const AttemptParameters& aParameters) const = 0;
  virtual ResponseMetadata readMetadata(const link::ResponseHead& aHead) const = 0;
};

/// Orders and reports between the leader of placement and engines. Thread safe.
class IControlProtocol
{
public:
  virtual ~IControlProtocol() = default;
  virtual std::string writeOrder(const serving::PlacementOrder& aOrder,
                                 const link::Endpoint& aEndpoint,
                                 std::string_view aHolder,
                                 std::uint64_t aFencing) const = 0;
  virtual serving::OrderOutcome readOrderResponse(const serving::PlacementOrder& aOrder,
                                                  int aStatus) const = 0;
  virtual std::string writeReportRequest(const std::string& aUpstream,
                                         const link::Endpoint& aEndpoint) const = 0;
  /// Fails with Malformed.
  virtual Result<serving::EngineReport> readReport(std::string_view aBody) const = 0;
};

/// The platform's records in its store. Thread safe.
class IRecordFormat
{
public:
  virtual ~IRecordFormat() = default;
  virtual std::string configTable() const = 0;
  virtual std::string configKey() const = 0;
  virtual std::string upstreamTable() const = 0;
  /// Fails with Malformed if any required part is missing.
  virtual Result<serving::ServingConfig> readConfig(std::string_view aValue) const = 0;
  /// Fails with Malformed; such a row names no upstream to use.
  virtual Result<serving::UpstreamEntry> readUpstream(const std::string& aKey,
                                                      std::string_view aValue) const = 0;
};

} // namespace savoryrill::gateway
