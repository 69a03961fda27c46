// A route of lookups that a configuration moves from the service "old" to "new", and a
// runner of each service, which answers with its name.
#pragma once

#include "harness.hpp"

namespace review {

inline std::string
config(int aVersion, const std::string& aService)
{
  return R"({"version":)" + std::to_string(aVersion) +
         R"(,"routes":[{"name":"lookup","hostname":"a.example","prefix":"/lookup/",)" +
         R"("service":")" + aService +
         R"(","route_type":"safe","timeout_ms":800,"max_attempts":2,)" +
         R"("target_latency_ms":150,"priority":2}],)" +
         R"("services":[{"name":"old","health_path":"/healthz","max_connections":110},)" +
         R"({"name":"new","health_path":"/healthz","max_connections":110}],)" +
         R"("limits":{"max_header_bytes":16384,"max_body_bytes":1048576,)" +
         R"("header_timeout_ms":5000,"idle_timeout_ms":15000}})";
}

inline std::string
entry(const std::string& aService, std::uint16_t aPort)
{
  return R"({"service":")" + aService + R"(","address":")" + address(aPort) +
         R"(","zone":"z","version":1,"slots":6,"state":"ready","cold_remaining_ms":0,)" +
         R"("sequence":1,"born":1700000000000})";
}

inline Server::Handler
runner(const std::string& aService)
{
  return [aService](Connection& aConnection) {
    Request request;
    while (aConnection.read(request)) {
      sleepMs(30);
      record("%s runs %s",
             aService.c_str(),
             request.header("X-Savoryrill-Attempt-Id").c_str());
      if (!aConnection.send(
            response(200, signature(request, "i-" + aService), aService))) {
        return;
      }
    }
  };
}

inline bool
leads(Store& aStore, const std::string& aGateway, std::int64_t aMaxMs)
{
  const auto until = nowMs() + aMaxMs;
  while (nowMs() < until) {
    const auto row = aStore.valueOf("savoryrill-leader", "placement");
    if (row.find("\"" + aGateway + "\"") != std::string::npos &&
        row.find("\"released\":true") == std::string::npos) {
      record("%s leads", aGateway.c_str());
      return true;
    }
    sleepMs(20);
  }
  return false;
}

inline Answer
ask(const Gateway& aGateway)
{
  Call request;
  request.port = aGateway.callers();
  request.host = "a.example";
  request.path = "/lookup/1";
  request.id = newId();
  const auto answer = call(request);
  record("%s answers %s: %d %s",
         aGateway.name().c_str(),
         request.id.c_str(),
         answer.status,
         answer.body.c_str());
  return answer;
}

} // namespace review
