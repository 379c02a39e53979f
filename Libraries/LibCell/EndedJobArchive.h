#pragma once

/// @file
/// Jobs of which the store keeps only how they ended.

#include <LibBase/Identifier.h>
#include <LibBase/Time.h>
#include <LibCell/Records.h>
#include <deque>
#include <unordered_map>
#include <utility>

namespace zinc::cell {

/// The jobs that ended in an earlier term and whose rows were compacted. Their steps are no longer
/// stored, so that a leader can say how they ended but has no @ref Job of them: what looks up a
/// @ref Job to use its steps does not find them.
class EndedJobArchive
{
public:
  /// Adds a job; no effect if it is there already.
  /// @param aNow when this leader learned that it has ended
  void Add(const JobId& aJob, EndedJobRecord aRecord, TimePoint aNow);

  /// @return how the job ended, or null if it is not in the archive. Valid until it is removed.
  [[nodiscard]] const EndedJobRecord* Find(const JobId& aJob) const;

  [[nodiscard]] bool Contains(const JobId& aJob) const { return this->records.contains(aJob); }

  /// Removes the jobs that were added before this time.
  void RemoveOlderThan(TimePoint aTime);

  [[nodiscard]] std::size_t Size() const { return this->records.size(); }

private:
  using Records = std::unordered_map<JobId, EndedJobRecord>;

  Records records;
  /// When each was added, oldest first. Elements of the map keep their addresses.
  std::deque<std::pair<TimePoint, const Records::value_type*>> byAge;
};

}
