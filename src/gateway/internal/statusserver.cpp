#include "gateway/internal/statusserver.h"

#include "gateway/internal/refusal.h"

namespace savoryrill::gateway {

namespace {

// Enough for the load balancer, one metrics collector and connections that have not
// closed yet.
constexpr std::size_t kMaxConnections = 64;
// Their requests have short heads and no bodies. Anybody may connect, so these limits and
// the number of connections bound what the process holds here.
constexpr link::InboundLimits kLimits{ 4UL * 1024, 1024, 3s, 15s };

} // namespace

Result<std::unique_ptr<StatusServer>>
StatusServer::create(event::Loop& aLoop,
                     const link::Endpoint& aEndpoint,
                     std::string aPath,
                     std::function<Response()> aRespond)
{
  std::unique_ptr<StatusServer> server(
    new StatusServer(std::move(aPath), std::move(aRespond)));
  BOOST_OUTCOME_TRY(listener,
                    link::Listener::create(aLoop, aEndpoint, *server, kMaxConnections));
  server->mListener = std::move(listener);
  return server;
}

StatusServer::StatusServer(std::string aPath, std::function<Response()> aRespond)
  : mPath(std::move(aPath))
  , mRespond(std::move(aRespond))
  , mLimits(kLimits)
{
}

void
StatusServer::requestReceived(const std::shared_ptr<link::InboundConnection>& aConnection,
                              link::RequestMessage aRequest)
{
  const auto path = aRequest.target.substr(0, aRequest.target.find('?'));
  const auto response =
    mPath.empty() || path == mPath ? mRespond() : Response{ 404, "not found\n" };
  link::ResponseHead head;
  head.status = response.status;
  head.reason = reasonPhrase(response.status);
  head.headers.push_back({ "Content-Type", "text/plain; version=0.0.4" });
  aConnection->respond(head, response.text);
}

} // namespace savoryrill::gateway
