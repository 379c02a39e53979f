#pragma once

/// @file
/// Exit codes of zincctl; docs/operators/zincctl.md lists them for users.

namespace zinc {

/// How a command ended.
enum class ExitCode : int
{
  Success = 0,
  /// The job failed or was cancelled.
  TaskFailed = 1,
  /// The command line or the settings are wrong; nothing was sent.
  Usage = 2,
  /// The cell refused; nothing was run or changed.
  Refused = 3,
  /// No complete answer came; the request may have run.
  MayHaveRun = 4,
  /// No entry instance could be reached; nothing was run or changed.
  Unreachable = 5,
  /// The document has faults; nothing of it took effect.
  Faulty = 6,
  /// Another document was accepted first; nothing took effect.
  StaleVersion = 7,
  /// The job had not ended when the time to wait was over.
  InProgress = 8,
};

}
