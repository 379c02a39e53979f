#pragma once

/// @file
/// Losses of contact with workers, from which crashes are told apart from interruptions.

#include <LibBase/Identifier.h>
#include <LibBase/Task.h>
#include <LibBase/Time.h>
#include <LibCell/Ports.h>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace zinc::cell {

/// A run that a worker had when contact with it was lost.
struct LostRun
{
  TaskName task;
  std::uint64_t run = 0;
  /// How long the run had been at the worker at the last contact.
  Milliseconds age{ 0 };
  /// It certainly ran there, and none that certainly did started later, so that it is the most
  /// likely cause of a crash.
  bool isLatestStart = false;
};

/// The loss of contact with one incarnation of a worker.
struct WorkerLoss
{
  WorkerId worker;
  /// The worker's machine, which keeps its name across incarnations.
  std::string machine;
  std::int64_t incarnation = 0;
  RackId rack;
  /// When the worker responded last.
  TimePoint lastContact{};
  std::vector<LostRun> runs;
  /// A later incarnation has started, so this one has ended.
  bool isCrash = false;
};

/// The latest loss of each machine, until the machine turns out to have crashed or to run on. Has
/// no clock and no I/O.
class LostWorkers
{
public:
  /// Adds a loss. The runs of an earlier record of the same incarnation are kept.
  void Add(WorkerLoss aLoss);
  /// Marks the loss of an incarnation as a crash.
  /// @param aBefore the machine has started a later incarnation than the lost one
  /// @return the loss if it was not known to be a crash, otherwise nothing
  [[nodiscard]] std::optional<WorkerLoss> ConfirmCrash(const std::string& aMachine,
                                                       std::int64_t aBefore);
  /// Removes the loss of an incarnation that responds again.
  void Dismiss(const std::string& aMachine, std::int64_t aIncarnation);
  /// Removes losses with an older last contact.
  void RemoveOlderThan(TimePoint aTime);
  /// @return the losses in a rack whose last contact was at most @p aWindow from @p aTime
  [[nodiscard]] std::vector<const WorkerLoss*> FindInRack(const RackId& aRack,
                                                          TimePoint aTime,
                                                          Milliseconds aWindow) const;
  [[nodiscard]] bool IsEmpty() const { return this->byMachine.empty(); }

private:
  std::map<std::string, WorkerLoss> byMachine;
};

}
