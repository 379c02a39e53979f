#pragma once

/// @file
/// Replaces the rows of ended jobs by short ones.

#include <LibCell/Ports.h>
#include <LibCell/Records.h>
#include <deque>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

namespace zinc::cell {

/// Writes an @ref EndedJobRecord in place of the specification and the progress of each job whose
/// outcome is stored, one batch at a time, so that the next leader has little to read.
class EndedJobCompactor
{
public:
  EndedJobCompactor(StorePort& aStore, const Clock& aClock)
    : store(aStore)
    , clock(aClock)
  {
  }

  /// Adds a job whose outcome is in the store.
  void Add(const JobId& aJob, EndedJobRecord aRecord);

  /// @return true if there is enough to compact now. Nothing depends on it, so that it waits for a
  /// full batch.
  [[nodiscard]] bool IsDue() const;

  /// Compacts the next batch.
  /// @param aHasRuns tells whether a job may have runs: their demand is in the job's specification,
  /// and the next leader needs it
  void Compact(const std::function<bool(const JobId&)>& aHasRuns);

private:
  using EndedJob = std::pair<JobId, EndedJobRecord>;

  /// @return the first jobs without runs; the others go to the end of the queue
  [[nodiscard]] std::vector<EndedJob> TakeBatch(const std::function<bool(const JobId&)>& aHasRuns);
  void OnCommitted(const std::vector<EndedJob>& aBatch, const Result<CommitResult>& aResult);

  StorePort& store;
  const Clock& clock;
  std::deque<EndedJob> queue;
  bool isCommitInFlight = false;
  TimePoint nextBatch{};
  /// Lets callbacks notice that the compactor is gone.
  std::shared_ptr<bool> livenessToken = std::make_shared<bool>(true);
};

}
