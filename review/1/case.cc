// A runner sends bytes without end in the bodies of its answers. Meanwhile other clients
// send lookups, which sound runners serve, to the same gateway.
#include <harness.hpp>

#include <cstdlib>
#include <thread>

using namespace review;

namespace {

// Figures of the small deployment (toj-campanario).
constexpr std::int64_t kEstimateDeadlineMs = 35000;
// Clients abandon a stream after four times its objective of 4,000 ms without an event.
constexpr std::int64_t kClientLeavesMs = 16000;
// Requests that the runner in trouble has at the same time.
constexpr int kEstimates = 3;
constexpr std::int64_t kLookupTimeoutMs = 800;
constexpr std::int64_t kLookupDeadlineMs = 1500;
constexpr std::int64_t kHalfSecondMs = 500;
constexpr std::int64_t kLookupPeriodMs = 100;
constexpr std::int64_t kLookupTimeMs = 18000;
constexpr std::int64_t kWorkMs = 30;
constexpr int kLeastLate = 8; // CONFIG: eight or more

const char* const kConfig = R"({"version":3,
"routes":[
{"name":"lookup","hostname":"a.example","prefix":"/lookup/","service":"desk",
 "route_type":"safe","timeout_ms":800,"max_attempts":2,"target_latency_ms":150,"priority":2},
{"name":"estimate","hostname":"a.example","prefix":"/estimate/","service":"advisor",
 "route_type":"streaming","resumable":true,"timeout_ms":35000,"max_attempts":2,
 "target_latency_ms":4000,"gap_target_ms":300,"priority":1,"session_affinity":true}],
"services":[
{"name":"desk","health_path":"/healthz","max_connections":110},
{"name":"advisor","health_path":"/healthz","max_connections":310,
 "engine":{"slots":48,"kv_capacity_tokens":119707,"weights_mb":230000,"adapter_slots":8,
 "loads_per_s":4.2,"models":[{"name":"m1","weights_mb":65100,"load_s":8.6,"adapters":0,
 "adapter_mb":12}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":5000,
 "idle_timeout_ms":15000}})";

const char* const kModels = R"("models":[{"name":"m1","version":1,"adapters":[]}])";

std::string
entry(const std::string& aService, std::uint16_t aPort, const std::string& aMore)
{
  return R"({"service":")" + aService + R"(","address":")" + address(aPort) +
         R"(","zone":"z","version":1,"slots":6,"state":"ready","cold_remaining_ms":0,)" +
         R"("sequence":1,"born":1700000000000)" + aMore + "}";
}

/// About a megabyte in chunks of 256 bytes.
std::string
smallChunks()
{
  std::string text;
  while (text.size() < (1U << 20U)) {
    text += "100\r\n" + std::string(256, 'x') + "\r\n";
  }
  return text;
}

void
serveLookups(Connection& aConnection)
{
  Request request;
  while (aConnection.read(request)) {
    sleepMs(kWorkMs);
    record("desk runs %s", request.header("X-Savoryrill-Attempt-Id").c_str());
    const auto body = "lookup " + request.header("X-Savoryrill-Attempt-Id");
    if (!aConnection.send(response(200, signature(request, "i-desk"), body))) {
      return;
    }
  }
}

void
serveEstimates(Connection& aConnection)
{
  Request request;
  while (aConnection.read(request)) {
    if (request.target == "/savoryrill/report") {
      const auto body =
        std::string("{\"stage\":\"unified\",") + kModels +
        R"(,"busy":false,"sequence":0,"queued":0,"active":0,"kv_used":0,)" +
        R"("kv_total":119707,"handles":0,"born":1700000000000})";
      if (!aConnection.send(response(200, "Content-Type: application/json\r\n", body))) {
        return;
      }
      continue;
    }
    const auto id = request.header("X-Savoryrill-Attempt-Id");
    record("advisor runs %s", id.c_str());
    if (withTrouble()) {
      static const std::string kChunks = smallChunks();
      aConnection.send("HTTP/1.1 200 OK\r\n" + signature(request, "i-advisor") +
                       "Transfer-Encoding: chunked\r\n\r\n");
      std::int64_t sent = 0;
      while (aConnection.send(kChunks)) {
        ++sent;
      }
      record(
        "advisor's connection for %s ends after %lld KB",
        id.c_str(),
        static_cast<long long>(sent * static_cast<std::int64_t>(kChunks.size()) / 1024));
      return;
    }
    if (!aConnection.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" +
                          signature(request, "i-advisor") +
                          "Transfer-Encoding: chunked\r\n\r\n")) {
      return;
    }
    for (int number = 1; number <= 57; ++number) {
      sleepMs(20);
      char text[80];
      const int size =
        std::snprintf(text, sizeof text, "id: %d\ndata: event %d\n\n", number, number);
      char length[16];
      std::snprintf(length, sizeof length, "%x\r\n", static_cast<unsigned>(size));
      if (!aConnection.send(std::string(length) + text + "\r\n")) {
        return;
      }
    }
    if (!aConnection.send("0\r\n\r\n")) {
      return;
    }
  }
}

} // namespace

int
main(int argc, char** argv)
{
  openRecord(argc > 1 ? argv[1] : "record.txt");
  record("trouble: %s", withTrouble() ? "yes" : "no");
  Store store;
  const Server desk(serveLookups);
  const Server advisor(serveEstimates);
  store.put("servers", "i-desk", entry("desk", desk.port(), ""));
  store.put(
    "servers", "i-advisor", entry("advisor", advisor.port(), std::string(",") + kModels));
  store.put("op", "config", kConfig);
  Gateway gateway("gw-1", store);
  gateway.start();
  if (!gateway.waitUntilReady(10000)) {
    finish(2);
  }
  sleepMs(2000);

  std::vector<std::thread> estimates;
  const auto estimate = [&] {
    Call request;
    request.port = gateway.callers();
    request.method = "POST";
    request.host = "a.example";
    request.path = "/estimate/1";
    request.id = newId();
    request.deadlineMs = kEstimateDeadlineMs;
    request.leavesMs = kClientLeavesMs;
    request.headers = "X-Savoryrill-Model: m1\r\nX-Savoryrill-Token-Usage: 1460,57\r\n"
                      "X-Savoryrill-Prompt-Prefix: 5c1e07a2:350,e4402b7d:1110\r\n";
    request.body = "a prompt";
    request.keepsBody = false;
    record("client sends estimate %s", request.id.c_str());
    const auto answer = call(request);
    record("client ends estimate %s after %lld ms, status %d",
           request.id.c_str(),
           static_cast<long long>(answer.endedMs - answer.sentMs),
           answer.status);
  };
  for (int at = 0; at < kEstimates; ++at) {
    estimates.emplace_back(estimate);
  }

  std::atomic<int> asked{ 0 };
  std::atomic<int> atTimeout{ 0 };
  std::atomic<int> stillLate{ 0 };
  std::atomic<int> running{ 0 };
  int missedReadiness = 0;
  const auto until = nowMs() + kLookupTimeMs;
  sleepMs(500);
  while (nowMs() < until) {
    ++running;
    std::thread([&] {
      Call request;
      request.port = gateway.callers();
      request.host = "a.example";
      request.path = "/lookup/1";
      request.id = newId();
      request.deadlineMs = kLookupDeadlineMs;
      record("client sends lookup %s", request.id.c_str());
      const auto answer = call(request);
      const auto took = answer.endedMs - answer.sentMs;
      const bool answered = answer.status != 0 && answer.complete;
      record("client has lookup %s: status %d after %lld ms",
             request.id.c_str(),
             answered ? answer.status : 0,
             static_cast<long long>(took));
      ++asked;
      atTimeout += !answered || took > kLookupTimeoutMs ? 1 : 0;
      stillLate += !answered || took > kLookupTimeoutMs + kHalfSecondMs ? 1 : 0;
      --running;
    }).detach();
    sleepMs(kLookupPeriodMs);
    if (asked % 10 == 9 && !gateway.ready(1000)) {
      ++missedReadiness;
      record("no answer to the question if the gateway is ready");
    }
  }
  for (auto& thread : estimates) {
    thread.join();
  }
  while (running > 0) {
    sleepMs(10);
  }
  record(
    "lookups %d, without an answer at their timeout of 800 ms %d, of these half a second "
    "later %d; questions of the platform without an answer %d",
    asked.load(),
    atTimeout.load(),
    stillLate.load(),
    missedReadiness);
  if (!withTrouble() && atTimeout > 0) {
    record("the machine is too slow for the case");
  }
  const bool broken = atTimeout >= kLeastLate && 2 * stillLate > atTimeout;
  record("CONFIG %s", broken ? "broken" : "held");
  finish(broken ? 1 : 0);
}
