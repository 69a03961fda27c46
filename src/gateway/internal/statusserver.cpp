#include "gateway/internal/statusserver.h"

#include "gateway/internal/refusal.h"

namespace savoryrill::gateway {

namespace {

// The balancer and one collector, with room for connections that have not ended yet.
constexpr std::size_t kMaxConnections = 64;

} // namespace

Result<std::unique_ptr<StatusServer>>
StatusServer::create(event::Loop& aLoop,
                     const link::Endpoint& aEndpoint,
                     std::string aPath,
                     std::function<Answer()> aAnswer)
{
  std::unique_ptr<StatusServer> server(
    new StatusServer(std::move(aPath), std::move(aAnswer)));
  BOOST_OUTCOME_TRY(listener,
                    link::Listener::create(aLoop, aEndpoint, *server, kMaxConnections));
  server->mListener = std::move(listener);
  return server;
}

StatusServer::StatusServer(std::string aPath, std::function<Answer()> aAnswer)
  : mPath(std::move(aPath))
  , mAnswer(std::move(aAnswer))
{
}

void
StatusServer::requestReceived(const std::shared_ptr<link::InboundConnection>& aConnection,
                              link::RequestMessage aRequest)
{
  const auto path = aRequest.target.substr(0, aRequest.target.find('?'));
  const auto answer =
    mPath.empty() || path == mPath ? mAnswer() : Answer{ 404, "not found\n" };
  link::ResponseHead head;
  head.status = answer.status;
  head.reason = reasonPhrase(answer.status);
  head.headers.push_back({ "Content-Type", "text/plain; version=0.0.4" });
  aConnection->respond(head, answer.text);
}

} // namespace savoryrill::gateway
