#pragma once

/// @file
/// The state of a job according to its rows in the store.

#include <LibCell/Forward.h>
#include <LibCell/Job.h>
#include <LibCell/Ports.h>
#include <LibCell/Tombstone.h>
#include <cstdint>
#include <memory>
#include <optional>

namespace zinc::cell {

/// State of a job according to its rows in the store.
struct StoredJob
{
  bool isKnown = false;
  WorkspaceId workspace;
  QueueId queue;
  JobOutcome outcome = JobOutcome::Active;
  bool hasStarted = false;
  /// In place of a job that is not known.
  std::optional<Tombstone> tombstone;
  /// Version of the row of the job's specification, or of its tombstone; 0 if there is none.
  std::uint64_t version = 0;
};

/// Reads a job's state from the store. Only rows are certain: a write that got no response may
/// still add the job after it was found to be unknown.
/// @param aPolicy for rows of ended jobs with several readings; see @ref DecodeEndedJob. May be
/// null
void
ReadStoredJob(StorePort& aStore,
              const JobId& aJob,
              std::shared_ptr<const CellPolicy> aPolicy,
              Handler<StoredJob> aHandler);

}
