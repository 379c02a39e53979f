#pragma once

/// @file
/// Losses of contact with workers, some of which turn out to be crashes.

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
  /// The worker had confirmed its start, and no later one: the most likely cause of a crash.
  bool isLatestStart = false;
};

/// The loss of contact with one incarnation of a worker.
struct WorkerLoss
{
  WorkerId worker;
  /// The worker's machine, which keeps its name across incarnations.
  std::string machine;
  /// Process start of the lost incarnation, Unix ms.
  std::int64_t incarnation = 0;
  RackId rack;
  /// When the worker responded last.
  TimePoint lastContact{};
  std::vector<LostRun> runs;
  /// A later incarnation has started, so this one has ended.
  bool isCrash = false;
};

/// The latest loss of contact with each machine. A later incarnation proves that the lost one has
/// crashed; a response of the lost one proves that it has not.
class LostWorkers
{
public:
  /// Adds a loss. The runs of an earlier record of the same incarnation are kept.
  void Add(WorkerLoss aLoss);
  /// Marks the machine's loss as a crash if it is one of an earlier incarnation.
  /// @param aLaterIncarnation process start of an incarnation that is known to have started, Unix
  /// ms
  /// @return the loss if it was not known to be a crash before, otherwise nothing
  [[nodiscard]] std::optional<WorkerLoss> ConfirmCrash(const std::string& aMachine,
                                                       std::int64_t aLaterIncarnation);
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
