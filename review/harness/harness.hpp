// Stand-ins for the cases of the review: the platform's store, runners and clients, each
// on a loopback address, and the gateway as a process of its own. Blocking sockets, one
// thread a connection.
#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace review {

/// Milliseconds since the start of the program.
std::int64_t
nowMs();
void
sleepMs(std::int64_t aMs);

/// True unless TROUBLE=0 is set.
bool
withTrouble();

/// Opens the record, a file in the folder of the case. Call first.
void
openRecord(const std::string& aPath);
/// Writes a line with the time. Thread safe.
void
record(const char* aFormat, ...) __attribute__((format(printf, 1, 2)));
/// Ends all processes that were started, and then this program.
[[noreturn]] void
finish(int aExitCode);

std::uint16_t
freePort();

struct Request
{
  std::string method;
  std::string target;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  std::string header(const std::string& aName) const;
  std::string parameter(const std::string& aName) const;
};

/// A connection that a server has accepted. Used by its own thread.
class Connection
{
public:
  explicit Connection(int aFd)
    : mFd(aFd)
  {
  }
  ~Connection() { close(); }
  /// False at the end of the connection.
  bool read(Request& aRequest);
  bool send(const std::string& aBytes);
  /// True if the peer has closed the connection.
  bool peerClosed();
  /// Lets bytes that arrive pass unread until the peer closes the connection.
  void drain();
  void close();

private:
  int mFd;
  std::string mInput;
};

/// Accepts connections on a loopback address until the program ends.
class Server
{
public:
  using Handler = std::function<void(Connection&)>;
  explicit Server(Handler aHandler);
  std::uint16_t port() const { return mPort; }

private:
  std::uint16_t mPort = 0;
};

std::string
response(int aStatus, const std::string& aHeaders, const std::string& aBody);

/// The platform's store (PROTOCOL.md, "The platform's metadata store"). Each machine has
/// an address of its own there, so that the store can tell machines apart.
class Store
{
public:
  /// Address of the store for a machine.
  std::uint16_t addressFor(const std::string& aMachine);

  /// A write of the operator or of a runner. Returns the version of the row.
  std::uint64_t put(const std::string& aTable,
                    const std::string& aKey,
                    const std::string& aJson);
  void remove(const std::string& aTable, const std::string& aKey);

  /// The next answer to a waiting read of the table by the machine that has rows is lost:
  /// its connection stays open and delivers nothing further.
  void loseNextAnswer(const std::string& aMachine, const std::string& aTable);
  /// While silent, the store gives a machine no response: its calls that arrive, or would
  /// be answered, are lost, and their connections deliver nothing further.
  void setSilent(const std::string& aMachine, bool aSilent);

  /// Waits until the machine begins a read of the table's changes that waits for
  /// `aLeastWaitMs` or longer; false if none begins in time.
  bool waitForRead(const std::string& aMachine,
                   const std::string& aTable,
                   std::int64_t aLeastWaitMs,
                   std::int64_t aMaxMs);
  /// True once an answer was lost.
  bool answerLost() const { return mAnswerLost; }

  /// Value of a row as text; empty if there is none.
  std::string valueOf(const std::string& aTable, const std::string& aKey);

private:
  struct Row
  {
    std::string value; // base64
    std::uint64_t version = 0;
    bool deleted = false;
  };
  void serve(const std::string& aMachine, Connection& aConnection);
  std::string readRows(const Request& aRequest);
  std::string readFeed(const std::string& aMachine, const Request& aRequest, bool& aLost);
  std::string transact(const Request& aRequest);
  std::string body(const std::string& aFields);

  std::mutex mMutex;
  std::condition_variable mChanged;
  std::map<std::string, std::map<std::string, Row>> mTables;
  std::uint64_t mVersion = 0;
  std::vector<std::unique_ptr<Server>> mServers;
  std::map<std::string, std::uint64_t> mReads; // by machine, table and wait
  std::map<std::string, bool> mSilent;
  std::string mLosesMachine;
  std::string mLosesTable;
  std::atomic<bool> mAnswerLost{ false };
};

/// A gateway, started with the command of deploy/system.toml.
class Gateway
{
public:
  Gateway(std::string aName, Store& aStore);
  void start();
  void signal(int aSignal);
  /// Waits for the end of the process; false if it goes on longer.
  bool waitForEnd(std::int64_t aMaxMs);
  /// True if the gateway answers at its readiness address with 200 within the time.
  bool ready(std::int64_t aMaxMs);
  bool waitUntilReady(std::int64_t aMaxMs);
  const std::string& name() const { return mName; }
  std::uint16_t callers() const { return mCallers; }

private:
  std::string mName;
  std::string mSettings;
  std::uint16_t mCallers;
  std::uint16_t mReadiness;
  std::uint16_t mPeers;
  std::uint16_t mStoreAddress;
  pid_t mProcess = 0;
};

/// What a client has got for one request.
struct Answer
{
  int status = 0; // 0: none
  std::string head;
  std::string body;
  bool complete = false;
  std::int64_t sentMs = 0;  // last byte of the request
  std::int64_t endedMs = 0; // the answer's end, or when the client gave up
  std::string header(const std::string& aName) const;
};

struct Call
{
  std::uint16_t port = 0;
  std::string method = "GET";
  std::string path;
  std::string host;
  std::string id;
  std::string headers; // further header lines
  std::string body;
  std::int64_t deadlineMs = 1500;
  std::int64_t leavesMs = 0; // when the client leaves, if that is before its deadline
  bool keepsBody = true;     // otherwise the body is read and dropped
};

/// Sends a request on a new connection and waits for the answer, up to the deadline.
Answer
call(const Call& aCall);

/// A new attempt id.
std::string
newId();

/// Header lines with which a runner signs its answer.
std::string
signature(const Request& aRequest, const std::string& aRunner);

std::string
address(std::uint16_t aPort);

} // namespace review
