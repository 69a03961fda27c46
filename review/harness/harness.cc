#include "harness.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstdlib>
#include <cstring>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

#include <json/json.h>

namespace review {

namespace {

std::FILE* gRecord = nullptr;
std::mutex gRecordMutex;
std::mutex gProcessMutex;
std::vector<pid_t> gProcesses;
std::string gFolder; // temporary, for settings and logs

int
listener(std::uint16_t aPort)
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  at.sin_port = htons(aPort);
  if (bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 ||
      listen(fd, 512) != 0) {
    std::perror("listen");
    finish(2);
  }
  return fd;
}

std::uint16_t
portOf(int aFd)
{
  sockaddr_in at{};
  socklen_t size = sizeof at;
  getsockname(aFd, reinterpret_cast<sockaddr*>(&at), &size);
  return ntohs(at.sin_port);
}

std::string
encodeBase64(const std::string& aText)
{
  static const char* const kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t at = 0; at < aText.size(); at += 3) {
    std::uint32_t bits = 0;
    for (std::size_t next = 0; next < 3; ++next) {
      bits = bits << 8U;
      bits |=
        at + next < aText.size() ? static_cast<unsigned char>(aText[at + next]) : 0U;
    }
    for (std::size_t digit = 0; digit < 4; ++digit) {
      const bool padding = at + digit > aText.size();
      text.push_back(padding ? '=' : kDigits[bits >> (18U - 6U * digit) & 63U]);
    }
  }
  return text;
}

std::string
decodeBase64(const std::string& aText)
{
  std::string bytes;
  std::uint32_t bits = 0;
  int count = 0;
  for (const char digit : aText) {
    std::uint32_t value = 0;
    if (digit >= 'A' && digit <= 'Z') {
      value = digit - 'A';
    } else if (digit >= 'a' && digit <= 'z') {
      value = digit - 'a' + 26;
    } else if (digit >= '0' && digit <= '9') {
      value = digit - '0' + 52;
    } else if (digit == '+' || digit == '/') {
      value = digit == '+' ? 62 : 63;
    } else {
      break;
    }
    bits = bits << 6U | value;
    count += 6;
    if (count >= 8) {
      count -= 8;
      bytes.push_back(static_cast<char>(bits >> count & 255U));
    }
  }
  return bytes;
}

std::string
unescape(const std::string& aText)
{
  std::string text;
  for (std::size_t at = 0; at < aText.size(); ++at) {
    if (aText[at] == '%' && at + 2 < aText.size()) {
      text.push_back(
        static_cast<char>(std::strtol(aText.substr(at + 1, 2).c_str(), nullptr, 16)));
      at += 2;
    } else {
      text.push_back(aText[at]);
    }
  }
  return text;
}

std::string
headerIn(const std::string& aHead, const std::string& aName)
{
  std::size_t line = aHead.find("\r\n");
  while (line != std::string::npos && line + 2 < aHead.size()) {
    const auto begin = line + 2;
    line = aHead.find("\r\n", begin);
    const auto text = aHead.substr(begin, line - begin);
    const auto colon = text.find(':');
    if (colon == aName.size() && strncasecmp(text.c_str(), aName.c_str(), colon) == 0) {
      const auto value = text.find_first_not_of(' ', colon + 1);
      return value == std::string::npos ? "" : text.substr(value);
    }
  }
  return "";
}

} // namespace

std::int64_t
nowMs()
{
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::steady_clock::now() - start)
    .count();
}

void
sleepMs(std::int64_t aMs)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMs));
}

bool
withTrouble()
{
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::strcmp(trouble, "0") != 0;
}

void
openRecord(const std::string& aPath)
{
  std::signal(SIGPIPE, SIG_IGN);
  (void)nowMs();
  gRecord = std::fopen(aPath.c_str(), "w");
  std::string pattern = "/tmp/review.XXXXXX";
  if (gRecord == nullptr || mkdtemp(pattern.data()) == nullptr) {
    std::perror("record");
    std::exit(2);
  }
  gFolder = pattern;
}

void
record(const char* aFormat, ...)
{
  const std::lock_guard<std::mutex> lock(gRecordMutex);
  std::fprintf(gRecord, "%7.3f ", static_cast<double>(nowMs()) / 1000);
  va_list arguments;
  va_start(arguments, aFormat);
  std::vfprintf(gRecord, aFormat, arguments);
  va_end(arguments);
  std::fputc('\n', gRecord);
  std::fflush(gRecord);
}

void
finish(int aExitCode)
{
  {
    const std::lock_guard<std::mutex> lock(gProcessMutex);
    for (const auto process : gProcesses) {
      kill(process, SIGKILL);
      waitpid(process, nullptr, 0);
    }
  }
  if (!gFolder.empty() && std::getenv("KEEP_LOGS") == nullptr) {
    const std::string command = "rm -rf " + gFolder;
    (void)!std::system(command.c_str());
  }
  std::fflush(nullptr);
  _exit(aExitCode);
}

std::uint16_t
freePort()
{
  const int fd = listener(0);
  const auto port = portOf(fd);
  close(fd);
  return port;
}

std::string
Request::header(const std::string& aName) const
{
  for (const auto& [name, value] : headers) {
    if (strcasecmp(name.c_str(), aName.c_str()) == 0) {
      return value;
    }
  }
  return "";
}

std::string
Request::parameter(const std::string& aName) const
{
  const auto query = target.find('?');
  auto at = query;
  while (at != std::string::npos) {
    const auto end = target.find('&', at + 1);
    const auto text =
      target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
    if (text.compare(0, aName.size() + 1, aName + "=") == 0) {
      return unescape(text.substr(aName.size() + 1));
    }
    at = end;
  }
  return "";
}

bool
Connection::read(Request& aRequest)
{
  const auto more = [&] {
    char buffer[16384];
    const ssize_t size = recv(mFd, buffer, sizeof buffer, 0);
    if (size <= 0) {
      return false;
    }
    mInput.append(buffer, static_cast<std::size_t>(size));
    return true;
  };
  std::size_t end = 0;
  while ((end = mInput.find("\r\n\r\n")) == std::string::npos) {
    if (!more()) {
      return false;
    }
  }
  const std::string head = mInput.substr(0, end + 2);
  mInput.erase(0, end + 4);
  aRequest = {};
  const auto first = head.find(' ');
  const auto second = head.find(' ', first + 1);
  aRequest.method = head.substr(0, first);
  aRequest.target = head.substr(first + 1, second - first - 1);
  std::size_t line = head.find("\r\n") + 2;
  while (line < head.size()) {
    const auto stop = head.find("\r\n", line);
    const auto colon = head.find(':', line);
    const auto value = head.find_first_not_of(' ', colon + 1);
    aRequest.headers.emplace_back(head.substr(line, colon - line),
                                  head.substr(value, stop - value));
    line = stop + 2;
  }
  const std::size_t length =
    std::strtoul(aRequest.header("content-length").c_str(), nullptr, 10);
  while (mInput.size() < length) {
    if (!more()) {
      return false;
    }
  }
  aRequest.body = mInput.substr(0, length);
  mInput.erase(0, length);
  return true;
}

bool
Connection::send(const std::string& aBytes)
{
  std::size_t sent = 0;
  while (sent < aBytes.size()) {
    const ssize_t size =
      ::send(mFd, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (size <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(size);
  }
  return true;
}

bool
Connection::peerClosed()
{
  char byte = 0;
  const ssize_t size = recv(mFd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void
Connection::drain()
{
  char buffer[4096];
  while (recv(mFd, buffer, sizeof buffer, 0) > 0) {
  }
}

void
Connection::close()
{
  if (mFd >= 0) {
    ::close(mFd);
    mFd = -1;
  }
}

Server::Server(Handler aHandler)
{
  const int fd = listener(0);
  mPort = portOf(fd);
  std::thread([fd, handler = std::move(aHandler)] {
    while (true) {
      const int accepted = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0) {
        continue;
      }
      const int on = 1;
      setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      std::thread([accepted, handler] {
        Connection connection(accepted);
        handler(connection);
      }).detach();
    }
  }).detach();
}

std::string
response(int aStatus, const std::string& aHeaders, const std::string& aBody)
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " Status\r\n" + aHeaders +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

std::uint16_t
Store::addressFor(const std::string& aMachine)
{
  mServers.push_back(std::make_unique<Server>(
    [this, aMachine](Connection& aConnection) { serve(aMachine, aConnection); }));
  return mServers.back()->port();
}

std::uint64_t
Store::put(const std::string& aTable, const std::string& aKey, const std::string& aJson)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mTables[aTable][aKey] = { encodeBase64(aJson), ++mVersion, false };
  mChanged.notify_all();
  return mVersion;
}

void
Store::remove(const std::string& aTable, const std::string& aKey)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mTables[aTable][aKey] = { "", ++mVersion, true };
  mChanged.notify_all();
}

std::string
Store::valueOf(const std::string& aTable, const std::string& aKey)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const auto& rows = mTables[aTable];
  const auto found = rows.find(aKey);
  return found == rows.end() ? "" : decodeBase64(found->second.value);
}

void
Store::loseNextAnswer(const std::string& aMachine, const std::string& aTable)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mLosesMachine = aMachine;
  mLosesTable = aTable;
}

void
Store::setSilent(const std::string& aMachine, bool aSilent)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mSilent[aMachine] = aSilent;
  record("store %s %s", aSilent ? "is silent for" : "answers again to", aMachine.c_str());
}

bool
Store::waitForRead(const std::string& aMachine,
                   const std::string& aTable,
                   std::int64_t aLeastWaitMs,
                   std::int64_t aMaxMs)
{
  const auto key = aMachine + " " + aTable + " " + std::to_string(aLeastWaitMs);
  std::unique_lock<std::mutex> lock(mMutex);
  mReads[key] = 0;
  return mChanged.wait_for(
    lock, std::chrono::milliseconds(aMaxMs), [&] { return mReads[key] > 0; });
}

void
Store::serve(const std::string& aMachine, Connection& aConnection)
{
  Request request;
  const auto silent = [&] {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mSilent[aMachine];
  };
  while (aConnection.read(request)) {
    const auto path = request.target.substr(0, request.target.find('?'));
    std::string text;
    bool lost = silent();
    if (path == "/savoryrill/rows-get") {
      text = readRows(request);
    } else if (path == "/savoryrill/rows-feed") {
      text = readFeed(aMachine, request, lost);
    } else if (path == "/savoryrill/rows-tx") {
      text = transact(request);
    } else {
      text = response(404, "", "");
    }
    lost = lost || silent();
    if (lost) {
      mAnswerLost = true;
      record("store loses its answer to %s on table %s",
             aMachine.c_str(),
             request.parameter("table").c_str());
      aConnection.drain(); // the connection delivers nothing further
      return;
    }
    if (!aConnection.send(text)) {
      return;
    }
  }
}

/// Precondition: the caller holds the mutex.
std::string
Store::body(const std::string& aFields)
{
  return response(200,
                  "Content-Type: application/json\r\n",
                  "{" + aFields + "\"row_version\":" + std::to_string(mVersion) +
                    ",\"now_ms\":" + std::to_string(nowMs()) + "}");
}

std::string
Store::readRows(const Request& aRequest)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const auto table = aRequest.parameter("table");
  const auto limit = std::strtoul(aRequest.parameter("limit").c_str(), nullptr, 10);
  const auto& rows = mTables[table];
  std::string list;
  std::size_t count = 0;
  bool more = false;
  for (auto row = rows.lower_bound(aRequest.parameter("from")); row != rows.end();
       ++row) {
    if (row->second.deleted) {
      continue;
    }
    if (limit != 0 && count == limit) {
      more = true;
      break;
    }
    list += (count++ == 0 ? "" : ",") + std::string(R"({"table":")") + table +
            R"(","part":"","key":")" + row->first + R"(","value":")" + row->second.value +
            R"(","row_version":)" + std::to_string(row->second.version) + "}";
  }
  return body("\"rows\":[" + list + "],\"has_more\":" + (more ? "true" : "false") + ",");
}

std::string
Store::readFeed(const std::string& aMachine, const Request& aRequest, bool& aLost)
{
  const auto table = aRequest.parameter("table");
  const auto after = std::strtoull(aRequest.parameter("after").c_str(), nullptr, 10);
  const std::chrono::milliseconds wait(
    std::strtoul(aRequest.parameter("wait_ms").c_str(), nullptr, 10));
  const auto until = std::chrono::steady_clock::now() + wait;
  std::unique_lock<std::mutex> lock(mMutex);
  for (auto& [key, count] : mReads) {
    const auto least = std::strtoll(key.substr(key.rfind(' ') + 1).c_str(), nullptr, 10);
    const auto read = aMachine + " " + table + " ";
    if (key.compare(0, read.size(), read) == 0 && wait.count() >= least) {
      ++count;
      mChanged.notify_all();
    }
  }
  std::map<std::uint64_t, std::string> changes;
  while (true) {
    for (const auto& [key, row] : mTables[table]) {
      if (row.version > after) {
        changes[row.version] = R"({"table":")" + table + R"(","part":"","key":")" + key +
                               R"(","row_version":)" + std::to_string(row.version) +
                               (row.deleted ? std::string(",\"deleted\":true}")
                                            : R"(,"value":")" + row.value + "\"}");
      }
    }
    if (!changes.empty() || mChanged.wait_until(lock, until) == std::cv_status::timeout) {
      break; // at the timeout no change has come, or it comes with the next read
    }
  }
  if (!changes.empty() && aMachine == mLosesMachine && table == mLosesTable) {
    mLosesMachine.clear();
    aLost = true;
  }
  std::string list;
  for (const auto& [version, text] : changes) {
    list += (list.empty() ? "" : ",") + text;
  }
  return body("\"rows\":[" + list + "],");
}

std::string
Store::transact(const Request& aRequest)
{
  Json::Value call;
  const std::unique_ptr<Json::CharReader> reader(
    Json::CharReaderBuilder().newCharReader());
  const auto* text = aRequest.body.data();
  if (!reader->parse(text, text + aRequest.body.size(), &call, nullptr)) {
    return response(400, "", "");
  }
  const std::lock_guard<std::mutex> lock(mMutex);
  for (const auto& condition : call["precondition"]) {
    const auto& row = mTables[condition["table"].asString()][condition["key"].asString()];
    if ((row.deleted ? 0 : row.version) != condition["row_version"].asUInt64()) {
      return response(
        412, "", R"({"rows":[],"row_version":)" + std::to_string(mVersion) + "}");
    }
  }
  ++mVersion;
  for (const auto& put : call["puts"]) {
    mTables[put["table"].asString()][put["key"].asString()] = { put["value"].asString(),
                                                                mVersion,
                                                                false };
  }
  for (const auto& gone : call["remove"]) {
    mTables[gone["table"].asString()][gone["key"].asString()] = { "", mVersion, true };
  }
  mChanged.notify_all();
  return body("");
}

Gateway::Gateway(std::string aName, Store& aStore)
  : mName(std::move(aName))
  , mCallers(freePort())
  , mReadiness(freePort())
  , mPeers(freePort())
  , mStoreAddress(aStore.addressFor(mName))
{
  mSettings = gFolder + "/" + mName + ".jsonc";
  std::FILE* file = std::fopen(mSettings.c_str(), "w");
  if (file == nullptr) {
    finish(2);
  }
  // The fields of deploy/gateway.jsonc, with the bounds of the small deployments.
  std::fprintf(file,
               R"({"host":"%s","data_centre":"z","caller_address":"%s",)"
               R"("readiness_address":"%s","peer_address":"%s","store_address":"%s",)"
               R"("drain_limit_ms":8000,"leave_notice_ms":2000,"order_turn_ms":3000,)"
               R"("retry_share":0.2,"retry_reserve":58,"link_mbps":1000.0})",
               mName.c_str(),
               address(mCallers).c_str(),
               address(mReadiness).c_str(),
               address(mPeers).c_str(),
               address(mStoreAddress).c_str());
  std::fclose(file);
}

void
Gateway::start()
{
  const std::string log = gFolder + "/" + mName + ".log";
  const pid_t parent = getpid();
  mProcess = fork();
  if (mProcess == 0) {
    // Ends with this program, however that ends.
    if (prctl(PR_SET_PDEATHSIG, SIGKILL) != 0 || getppid() != parent) {
      _exit(2);
    }
    (void)!std::freopen(log.c_str(), "a", stdout);
    (void)!std::freopen(log.c_str(), "a", stderr);
    execl("target/savoryrill-gateway",
          "target/savoryrill-gateway",
          "--settings",
          mSettings.c_str(),
          nullptr);
    _exit(2);
  }
  const std::lock_guard<std::mutex> lock(gProcessMutex);
  gProcesses.push_back(mProcess);
  record("%s starts", mName.c_str());
}

void
Gateway::signal(int aSignal)
{
  record("%s gets signal %d", mName.c_str(), aSignal);
  kill(mProcess, aSignal);
}

bool
Gateway::waitForEnd(std::int64_t aMaxMs)
{
  const auto until = nowMs() + aMaxMs;
  while (nowMs() < until) {
    if (waitpid(mProcess, nullptr, WNOHANG) == mProcess) {
      const std::lock_guard<std::mutex> lock(gProcessMutex);
      gProcesses.erase(std::find(gProcesses.begin(), gProcesses.end(), mProcess));
      record("%s has ended", mName.c_str());
      return true;
    }
    sleepMs(10);
  }
  return false;
}

bool
Gateway::ready(std::int64_t aMaxMs)
{
  Call question;
  question.port = mReadiness;
  question.path = "/savoryrill/readyz";
  question.host = address(mReadiness);
  question.deadlineMs = aMaxMs;
  return call(question).status == 200;
}

bool
Gateway::waitUntilReady(std::int64_t aMaxMs)
{
  const auto until = nowMs() + aMaxMs;
  while (nowMs() < until) {
    if (ready(500)) {
      record("%s is ready", mName.c_str());
      return true;
    }
    sleepMs(20);
  }
  return false;
}

std::string
Answer::header(const std::string& aName) const
{
  return headerIn(head, aName);
}

Answer
call(const Call& aCall)
{
  Answer answer;
  const auto until = nowMs() + (aCall.leavesMs > 0 ? aCall.leavesMs : aCall.deadlineMs);
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const auto stop = [&] {
    close(fd);
    answer.endedMs = nowMs();
    return answer;
  };
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  at.sin_port = htons(aCall.port);
  if (connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0) {
    return stop();
  }
  std::string text = aCall.method + " " + aCall.path +
                     " HTTP/1.1\r\nHost: " + aCall.host + "\r\n" + aCall.headers;
  if (!aCall.id.empty()) {
    text += "X-Savoryrill-Attempt-Id: " + aCall.id +
            "\r\nX-Savoryrill-Deadline-Ms: " + std::to_string(aCall.deadlineMs) + "\r\n";
  }
  if (aCall.method != "GET") {
    text += "Content-Length: " + std::to_string(aCall.body.size()) + "\r\n";
  }
  text += "\r\n" + aCall.body;
  std::size_t sent = 0;
  while (sent < text.size()) {
    const ssize_t size = send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (size <= 0) {
      return stop();
    }
    sent += static_cast<std::size_t>(size);
  }
  answer.sentMs = nowMs();
  std::string input;
  std::vector<char> buffer(1 << 20);
  bool headRead = false;
  bool reads_in_bulk = false;
  bool chunked = false;
  std::size_t length = std::string::npos;
  while (true) {
    const auto rest = until - nowMs();
    pollfd wait{ fd, POLLIN, 0 };
    if (rest <= 0 || poll(&wait, 1, static_cast<int>(rest)) <= 0) {
      return stop(); // gives up at its deadline
    }
    const bool drops = headRead && !aCall.keepsBody;
    if (drops && !reads_in_bulk) {
      // Reads in large pieces, as a fast client does.
      constexpr int kPiece = 512 * 1024;
      setsockopt(fd, SOL_SOCKET, SO_RCVLOWAT, &kPiece, sizeof kPiece);
      reads_in_bulk = true;
    }
    const ssize_t size =
      recv(fd, buffer.data(), buffer.size(), drops ? MSG_TRUNC | MSG_DONTWAIT : 0);
    if (drops && (size > 0 || errno == EAGAIN)) {
      continue;
    }
    if (size <= 0) {
      break;
    }
    input.append(buffer.data(), static_cast<std::size_t>(size));
    if (!headRead) {
      const auto end = input.find("\r\n\r\n");
      if (end == std::string::npos) {
        continue;
      }
      headRead = true;
      answer.head = input.substr(0, end + 2);
      input.erase(0, end + 4);
      answer.status = std::atoi(answer.head.c_str() + 9);
      chunked = strcasecmp(answer.header("transfer-encoding").c_str(), "chunked") == 0;
      const auto value = answer.header("content-length");
      length = value.empty() ? length : std::strtoul(value.c_str(), nullptr, 10);
    }
    if (length != std::string::npos && input.size() >= length) {
      answer.body = input.substr(0, length);
      answer.complete = true;
      return stop();
    }
    if (chunked && input.size() >= 5 &&
        input.compare(input.size() - 5, 5, "0\r\n\r\n") == 0) {
      answer.complete = true;
      break;
    }
  }
  if (!chunked) {
    answer.body = input;
    return stop();
  }
  std::size_t next = 0;
  while (next < input.size()) {
    const auto size = std::strtoul(input.c_str() + next, nullptr, 16);
    const auto data = input.find("\r\n", next);
    if (size == 0 || data == std::string::npos) {
      break;
    }
    answer.body += input.substr(data + 2, size);
    next = data + 2 + size + 2;
  }
  return stop();
}

std::string
newId()
{
  static std::atomic<unsigned> count{ 0 };
  char text[32];
  std::snprintf(text, sizeof text, "%08x%08x", static_cast<unsigned>(getpid()), ++count);
  return text;
}

std::string
signature(const Request& aRequest, const std::string& aRunner)
{
  return "X-Savoryrill-Attempt-Id: " + aRequest.header("X-Savoryrill-Attempt-Id") +
         "\r\nX-Savoryrill-Response-Signature: " + aRunner + "\r\n";
}

std::string
address(std::uint16_t aPort)
{
  return "127.0.0.1:" + std::to_string(aPort);
}

} // namespace review
