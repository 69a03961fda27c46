#include "testing/processes.h"

#include <cerrno>
#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <optional>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>

#include "event/loop.h"
#include "http/client.h"

namespace savoryrill::testing {

namespace {

constexpr Duration kPollPeriod = 5ms;
constexpr int kExecFailedStatus = 127;
constexpr std::string_view kListening = "listening on ";

auto
failUnavailable(const std::string& aAction)
{
  return fail(ErrorCode::Unavailable, aAction + ": " + std::strerror(errno));
}

/// Calls `aCheck` until it returns a value or the limit has passed.
template<typename Check>
auto
poll(Duration aLimit, Check aCheck) -> decltype(aCheck())
{
  const auto end = std::chrono::steady_clock::now() + aLimit;
  auto result = aCheck();
  while (!result && std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(kPollPeriod);
    result = aCheck();
  }
  return result;
}

/// The child's part: only calls that are allowed between fork and exec.
[[noreturn]] void
becomeProgram(char* const* aArguments, int aLogFd, pid_t aParent)
{
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (::getppid() != aParent) {
    ::_exit(kExecFailedStatus); // the test ended before the call above
  }
  ::dup2(aLogFd, STDOUT_FILENO);
  ::dup2(aLogFd, STDERR_FILENO);
  ::execv(aArguments[0], aArguments);
  ::_exit(kExecFailedStatus);
}

int
exitStatus(int aWaitStatus)
{
  return WIFSIGNALED(aWaitStatus) ? 128 + WTERMSIG(aWaitStatus)
                                  : WEXITSTATUS(aWaitStatus);
}

bool
answersReady(event::Loop& aLoop, http::Client& aClient, const std::string& aUrl)
{
  std::optional<bool> ready;
  http::ClientRequest request;
  request.url = aUrl;
  request.totalTimeout = 1s;
  http::ClientCallbacks callbacks;
  callbacks.onDone = [&](const http::ClientOutcome& aOutcome) {
    ready = aOutcome.response && aOutcome.response.value().status == 200;
  };
  const auto call = aClient.start(request, callbacks);
  while (!ready) {
    aLoop.runOnce(true);
  }
  return *ready;
}

} // namespace

Processes::Processes(std::string aBaseFolder)
  : mBaseFolder(std::move(aBaseFolder))
{
}

Processes::Processes(Processes&& aOther) noexcept
  : mBaseFolder(std::move(aOther.mBaseFolder))
  , mChildren(std::exchange(aOther.mChildren, {}))
{
}

Processes::~Processes()
{
  endAll();
}

Result<Processes>
Processes::create(const std::string& aBaseFolder)
{
  std::error_code error;
  std::filesystem::create_directories(aBaseFolder, error);
  if (error) {
    return fail(ErrorCode::Unavailable,
                "cannot create " + aBaseFolder + ": " + error.message());
  }
  return Processes(aBaseFolder);
}

Result<std::string>
Processes::folder(const std::string& aName) const
{
  const std::string path = mBaseFolder + "/" + aName;
  std::error_code error;
  std::filesystem::create_directories(path, error);
  if (error) {
    return fail(ErrorCode::Unavailable, "cannot create " + path + ": " + error.message());
  }
  return path;
}

Result<std::string>
Processes::writeFile(const std::string& aName,
                     const std::string& aFile,
                     const std::string& aText) const
{
  BOOST_OUTCOME_TRY(directory, folder(aName));
  const std::string path = directory + "/" + aFile;
  std::ofstream file(path, std::ios::trunc);
  file << aText;
  file.close();
  if (!file) {
    return fail(ErrorCode::Unavailable, "cannot write " + path);
  }
  return path;
}

Result<void>
Processes::start(const std::string& aName,
                 const std::string& aProgram,
                 const std::vector<std::string>& aArguments)
{
  if (running(aName)) {
    return fail(ErrorCode::Conflict, aName + " is running");
  }
  BOOST_OUTCOME_TRY(directory, folder(aName));
  const std::string log_path = directory + "/log";
  const int log_fd =
    ::open(log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  if (log_fd < 0) {
    return failUnavailable("cannot open " + log_path);
  }
  const auto log_size = static_cast<std::size_t>(::lseek(log_fd, 0, SEEK_END));
  std::vector<std::string> words{ aProgram };
  words.insert(words.end(), aArguments.begin(), aArguments.end());
  std::vector<char*> pointers;
  for (auto& word : words) {
    pointers.push_back(word.data());
  }
  pointers.push_back(nullptr);
  const pid_t parent = ::getpid();
  const pid_t child = ::fork();
  if (child == 0) {
    becomeProgram(pointers.data(), log_fd, parent);
  }
  ::close(log_fd);
  if (child < 0) {
    return failUnavailable("cannot start " + aProgram);
  }
  mChildren[aName] = { child, log_size };
  return outcome::success();
}

pid_t
Processes::id(const std::string& aName) const
{
  const auto found = mChildren.find(aName);
  return found == mChildren.end() ? 0 : found->second.id;
}

Result<void>
Processes::signal(const std::string& aName, int aSignal)
{
  const pid_t child = id(aName);
  if (child == 0 || ::kill(child, aSignal) != 0) {
    return fail(ErrorCode::NotFound, aName + " is not running");
  }
  return outcome::success();
}

Result<int>
Processes::wait(const std::string& aName, Duration aLimit)
{
  const pid_t child = id(aName);
  if (child == 0) {
    return fail(ErrorCode::NotFound, aName + " is not running");
  }
  const auto status = poll(aLimit, [&]() -> std::optional<int> {
    int wait_status = 0;
    return ::waitpid(child, &wait_status, WNOHANG) == child
             ? std::optional(exitStatus(wait_status))
             : std::nullopt;
  });
  if (!status) {
    return fail(ErrorCode::Timeout, aName + " does not end");
  }
  mChildren[aName].id = 0;
  return *status;
}

Result<int>
Processes::stop(const std::string& aName, Duration aLimit)
{
  BOOST_OUTCOME_TRYV(signal(aName, SIGTERM));
  return wait(aName, aLimit);
}

Result<void>
Processes::kill(const std::string& aName)
{
  BOOST_OUTCOME_TRYV(signal(aName, SIGKILL));
  BOOST_OUTCOME_TRYV(wait(aName));
  return outcome::success();
}

Result<void>
Processes::freeze(const std::string& aName)
{
  BOOST_OUTCOME_TRYV(signal(aName, SIGSTOP));
  // The signal takes effect later if the process is running on another core.
  siginfo_t info{};
  ::waitid(P_PID, id_t(id(aName)), &info, WSTOPPED | WEXITED | WNOWAIT);
  return outcome::success();
}

Result<void>
Processes::wake(const std::string& aName)
{
  return signal(aName, SIGCONT);
}

bool
Processes::running(const std::string& aName)
{
  const pid_t child = id(aName);
  if (child == 0) {
    return false;
  }
  // WNOWAIT leaves the exit status for `wait`.
  siginfo_t info{};
  const int waited = ::waitid(P_PID, id_t(child), &info, WEXITED | WNOHANG | WNOWAIT);
  const bool ended = waited == 0 && info.si_pid == child;
  return !ended;
}

std::string
Processes::log(const std::string& aName) const
{
  std::ifstream file(mBaseFolder + "/" + aName + "/log");
  return { std::istreambuf_iterator<char>(file), {} };
}

Result<std::string>
Processes::waitListening(const std::string& aName, Duration aLimit)
{
  const auto found = poll(aLimit, [&]() -> std::optional<std::string> {
    const bool alive = running(aName);
    const auto known = mChildren.find(aName);
    const std::size_t begin = known == mChildren.end() ? 0 : known->second.logBegin;
    const std::string text = log(aName);
    const auto at = text.find(kListening, begin);
    const auto end = text.find('\n', at);
    if (at != std::string::npos && end != std::string::npos) {
      return text.substr(at + kListening.size(), end - at - kListening.size());
    }
    return alive ? std::nullopt : std::optional(std::string());
  });
  if (!found) {
    return fail(ErrorCode::Timeout, aName + " does not listen");
  }
  if (found->empty()) {
    return fail(ErrorCode::NotFound, aName + " has ended: " + log(aName));
  }
  return *found;
}

Result<void>
Processes::waitReady(const std::string& aUrl, Duration aLimit)
{
  BOOST_OUTCOME_TRY(loop, event::Loop::create());
  BOOST_OUTCOME_TRY(client, http::Client::create(*loop));
  const bool ready = poll(aLimit, [&] { return answersReady(*loop, *client, aUrl); });
  if (!ready) {
    return fail(ErrorCode::Timeout, aUrl + " does not become ready");
  }
  return outcome::success();
}

void
Processes::endAll()
{
  for (auto& [name, child] : mChildren) {
    if (child.id != 0) {
      ::kill(child.id, SIGKILL);
      ::waitpid(child.id, nullptr, 0);
      child.id = 0;
    }
  }
}

} // namespace savoryrill::testing
