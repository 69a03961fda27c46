#pragma once

#include <map>
#include <string>
#include <sys/types.h>
#include <vector>

#include "base/result.h"
#include "base/types/time.h"

namespace savoryrill::testing {

/// Starts the built programs as child processes of a test, and ends those that are left
/// in its destructor. Each process has a name and a folder `<base>/<name>` for settings,
/// records and its output (`log`). Children are told to end with the test itself. Waits
/// block the calling thread; their limits only bound a test that hangs. Not thread safe.
class Processes
{
public:
  /// Creates the base folder with its parents. Fails with Unavailable.
  static Result<Processes> create(const std::string& aBaseFolder);

  Processes(Processes&& aOther) noexcept;
  Processes& operator=(Processes&&) = delete;
  ~Processes();

  /// The folder of a process, created on first use, with no slash at the end. Fails with
  /// Unavailable.
  Result<std::string> folder(const std::string& aName) const;

  /// Writes a file into the folder of a process and returns its path. Fails with
  /// Unavailable.
  Result<std::string> writeFile(const std::string& aName,
                                const std::string& aFile,
                                const std::string& aText) const;

  /// Starts `aProgram` (a path). A name may be used again after its process has ended;
  /// the log is appended to. Fails with Conflict if it is running, or with Unavailable.
  Result<void> start(const std::string& aName,
                     const std::string& aProgram,
                     const std::vector<std::string>& aArguments);

  /// Sends SIGTERM and waits for the end. Returns the exit status (128 + signal number if
  /// a signal ended it). Fails with NotFound or Timeout.
  Result<int> stop(const std::string& aName, Duration aLimit = 60s);

  /// Waits for the end without a signal. Results as of `stop`.
  Result<int> wait(const std::string& aName, Duration aLimit = 60s);

  // Signals to a running process: SIGKILL (and wait for the end), SIGSTOP (and wait until
  // it has stopped), SIGCONT. Each fails with NotFound.
  Result<void> kill(const std::string& aName);
  Result<void> freeze(const std::string& aName);
  Result<void> wake(const std::string& aName);

  /// True if the process was started and has not ended.
  bool running(const std::string& aName);

  /// The process id, 0 if it is not running.
  pid_t id(const std::string& aName) const;

  /// The output so far, of all processes of this name.
  std::string log(const std::string& aName) const;

  /// Waits for the line `listening on <address>:<port>` of the latest process of this
  /// name and returns the address and port. Fails with NotFound if the process has ended,
  /// or with Timeout.
  Result<std::string> waitListening(const std::string& aName, Duration aLimit = 60s);

  /// Asks `aUrl` until it answers with status 200. Fails with Timeout.
  static Result<void> waitReady(const std::string& aUrl, Duration aLimit = 60s);

private:
  struct Child
  {
    pid_t id = 0;
    std::size_t logBegin = 0; // bytes of earlier processes of this name
  };

  explicit Processes(std::string aBaseFolder);

  Result<void> signal(const std::string& aName, int aSignal);
  void endAll();

  std::string mBaseFolder;
  std::map<std::string, Child> mChildren;
};

} // namespace savoryrill::testing
