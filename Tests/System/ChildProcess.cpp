#include <System/ChildProcess.h>

#include <cerrno>
#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace zinc {

namespace {

constexpr Milliseconds kPollInterval{ 5 };
constexpr int kSignalledBase = 128;
constexpr int kExecFailed = 127;

/// Runs in the new process; calls only what is safe between fork and exec.
[[noreturn]] void
BecomeProgram(const char* aProgram, char* const* aArguments, char* const* aEnvironment, int aLog)
{
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  ::dup2(aLog, STDOUT_FILENO);
  ::dup2(aLog, STDERR_FILENO);
  // Sockets of this process would otherwise stay open in the new one after they are closed here.
  ::close_range(STDERR_FILENO + 1, ~0U, 0);
  ::execve(aProgram, aArguments, aEnvironment);
  ::_exit(kExecFailed);
}

}

Result<ChildProcess>
ChildProcess::Start(const ChildOptions& aOptions)
{
  std::vector<std::string> words = { aOptions.program };
  words.insert(words.end(), aOptions.arguments.begin(), aOptions.arguments.end());
  std::vector<char*> arguments;
  for (std::string& word : words) {
    arguments.push_back(word.data());
  }
  arguments.push_back(nullptr);
  std::vector<std::string> variables = aOptions.environment;
  std::vector<char*> environment;
  for (std::string& variable : variables) {
    environment.push_back(variable.data());
  }
  for (char** variable = environ; *variable != nullptr; ++variable) {
    environment.push_back(*variable);
  }
  environment.push_back(nullptr);
  constexpr int kLogMode = 0644;
  const int log =
    ::open(aOptions.logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kLogMode);
  if (log < 0) {
    return NotRun(ErrorCode::Internal, "Cannot open " + aOptions.logFile + ".");
  }
  const pid_t process = ::fork();
  if (process == 0) {
    BecomeProgram(aOptions.program.c_str(), arguments.data(), environment.data(), log);
  }
  ::close(log);
  if (process < 0) {
    return NotRun(ErrorCode::Internal, std::string("Cannot fork: ") + std::strerror(errno));
  }
  return ChildProcess(process);
}

ChildProcess::ChildProcess(pid_t aProcess)
  : process(aProcess)
{
}

ChildProcess::~ChildProcess()
{
  this->Kill();
}

ChildProcess::ChildProcess(ChildProcess&& aOther) noexcept
  : process(std::exchange(aOther.process, -1))
  , exitCode(aOther.exitCode)
{
}

ChildProcess&
ChildProcess::operator=(ChildProcess&& aOther) noexcept
{
  if (this != &aOther) {
    this->Kill();
    this->process = std::exchange(aOther.process, -1);
    this->exitCode = aOther.exitCode;
  }
  return *this;
}

void
ChildProcess::Signal(int aSignal)
{
  if (this->process > 0 && this->IsRunning()) {
    ::kill(this->process, aSignal);
  }
}

void
ChildProcess::Kill()
{
  if (this->process <= 0 || this->exitCode) {
    return;
  }
  ::kill(this->process, SIGKILL);
  int status = 0;
  ::waitpid(this->process, &status, 0);
  this->exitCode = kSignalledBase + SIGKILL;
}

std::optional<int>
ChildProcess::WaitFor(Milliseconds aTime)
{
  const TimePoint until = SteadyClock().Now() + aTime;
  while (!this->exitCode) {
    int status = 0;
    if (::waitpid(this->process, &status, WNOHANG) == this->process) {
      this->exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : kSignalledBase + WTERMSIG(status);
      break;
    }
    if (SteadyClock().Now() >= until) {
      break;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return this->exitCode;
}

}
