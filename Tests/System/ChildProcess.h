#pragma once

/// @file
/// A process started by a test.

#include <LibBase/Time.h>
#include <LibBase/Verdict.h>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace zinc {

/// What to start.
struct ChildOptions
{
  /// Path of the program.
  std::string program;
  std::vector<std::string> arguments;
  /// Variables besides those of this process, as NAME=value.
  std::vector<std::string> environment;
  /// Standard output and standard error are appended to this file.
  std::string logFile;
};

/// A running program; it is killed when this object goes or when the thread that started it ends.
class ChildProcess
{
public:
  [[nodiscard]] static Result<ChildProcess> Start(const ChildOptions& aOptions);
  ~ChildProcess();
  ChildProcess(ChildProcess&& aOther) noexcept;
  ChildProcess& operator=(ChildProcess&& aOther) noexcept;

  /// Sends a signal if the process has not ended.
  void Signal(int aSignal);

  /// Sends SIGKILL and waits for the end.
  void Kill();

  /// @return the exit code, or 128 and the signal's number; empty if it runs on.
  [[nodiscard]] std::optional<int> WaitFor(Milliseconds aTime);

  /// @return the process's number at the system
  [[nodiscard]] pid_t Id() const { return this->process; }

  [[nodiscard]] bool IsRunning() { return !this->WaitFor(Milliseconds{ 0 }); }

private:
  explicit ChildProcess(pid_t aProcess);

  pid_t process = -1;
  std::optional<int> exitCode;
};

}
