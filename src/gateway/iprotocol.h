#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/result.h"
#include "link/types/message.h"
#include "serving/types/placement.h"
#include "serving/types/requestdetails.h"
#include "serving/types/servingconfig.h"
#include "serving/types/upstreamentry.h"

namespace savoryrill::gateway {

/// What is added to a request for one attempt at an upstream.
struct AttemptParameters
{
  std::string upstream;      // id of the upstream that the request is meant for
  Duration remaining{};      // until the response is due
  std::uint32_t urgency = 5; // 0 is the most urgent
  std::string resumeAfter;   // id of the last event forwarded to the caller; empty: none
  /// Set where the configuration names organisations: the upstream receives neither the
  /// caller's key nor a name of an organisation that the caller states.
  bool replacesOrganisation = false;
  std::string organisation; // sent to the upstream then; empty: none
};

/// What a response head says about the exchange, apart from status and body.
struct ResponseMetadata
{
  std::string requestId;      // of the request it belongs to; empty if not given
  bool notExecuted = false;   // the upstream did not execute the request
  bool isSigned = false;      // the response carries the upstream's signature
  bool wrongUpstream = false; // an incarnation other than the intended one responded
  bool leaving = false;       // the upstream is about to stop
  /// Requests a second that the upstream takes, from all hosts together.
  std::optional<double> rateLimit;
  bool rateLimitUnreadable = false; // it names a limit that is not a valid number
  /// Time for which the upstream wants no request from this host.
  std::optional<Duration> retryAfter;
};

/// Format of requests and responses between callers, this host and upstreams. Thread
/// safe.
class IRequestProtocol
{
public:
  virtual ~IRequestProtocol() = default;
  /// Reads the details of a caller's request, including its key. Fails with
  /// InvalidArgument if required details are missing or malformed; the error does not
  /// quote the request.
  virtual Result<serving::RequestDetails> readRequest(
    const link::RequestMessage& aRequest) const = 0;
  /// Serialises the head of a request for one attempt at an upstream. The body follows it
  /// as it was received.
  virtual std::string writeRequestHead(const link::RequestMessage& aRequest,
                                       const AttemptParameters& aParameters) const = 0;
  /// Overwrites the key in a request that has been read.
  virtual void eraseKey(link::RequestMessage& aRequest) const = 0;
  virtual ResponseMetadata readMetadata(const link::ResponseHead& aHead) const = 0;
};

/// Format of orders and reports between the placement leader and engines. Thread safe.
class IControlProtocol
{
public:
  virtual ~IControlProtocol() = default;
  /// `aHolder` is the host that holds the lease, `aFencingNumber` that of its lease.
  virtual std::string writeOrder(const serving::PlacementOrder& aOrder,
                                 const link::Endpoint& aEndpoint,
                                 std::string_view aHolder,
                                 std::uint64_t aFencingNumber) const = 0;
  virtual serving::OrderOutcome readOrderResponse(const serving::PlacementOrder& aOrder,
                                                  int aStatus) const = 0;
  virtual std::string writeReportRequest(const std::string& aUpstream,
                                         const link::Endpoint& aEndpoint) const = 0;
  /// Fails with Malformed.
  virtual Result<serving::EngineReport> readReport(std::string_view aBody) const = 0;
};

/// Format of the platform's rows in its store. Thread safe.
class IRecordFormat
{
public:
  virtual ~IRecordFormat() = default;
  virtual std::string configTable() const = 0;
  virtual std::string configKey() const = 0;
  virtual std::string upstreamTable() const = 0;
  /// Fails with Malformed if any required part is missing.
  virtual Result<serving::ServingConfig> readConfig(std::string_view aValue) const = 0;
  /// Fails with Malformed; the row is then ignored.
  virtual Result<serving::UpstreamEntry> readUpstream(const std::string& aKey,
                                                      std::string_view aValue) const = 0;
};

} // namespace savoryrill::gateway
