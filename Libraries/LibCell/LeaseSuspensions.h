#pragma once

/// @file
/// The workers whose leases must not be renewed, since the leader record may say so.

#include <LibBase/Identifier.h>
#include <LibCell/Records.h>
#include <cstdint>
#include <map>
#include <vector>

namespace zinc::cell {

/// Keeps what the leader record promises to the next leader: it names the workers whose leases are
/// not renewed, so that the next leader does not wait for leases that it cannot know of. A lease of
/// such a worker may be renewed again once the store holds a record without it.
class LeaseSuspensions
{
public:
  /// Suspends the leases that a record names, from before it is written.
  /// @return the number of the record
  std::uint64_t OnRecordMade(const SuspendedLeases& aLeases);
  /// Called when the store holds a record. Records that were made before it can no longer take
  /// effect; those made after it may.
  /// @return the workers whose leases may be renewed again
  [[nodiscard]] std::vector<WorkerId> OnRecordStored(std::uint64_t aNumber);
  [[nodiscard]] bool Contains(const WorkerId& aWorker) const
  {
    return this->lastRecords.contains(aWorker);
  }

private:
  /// The number of the last record that names a worker.
  std::map<WorkerId, std::uint64_t> lastRecords;
  std::uint64_t recordCount = 0;
};

}
