#pragma once

/// @file
/// The jobs whose write got no response. Load: a store that loses its responses for seconds.

#include <LibBase/Identifier.h>
#include <LibBase/Time.h>
#include <LibCell/Ports.h>
#include <cstddef>
#include <deque>
#include <unordered_map>
#include <utility>

namespace zinc::cell {

/// Remembers for @ref kMaxWriteDelay that a job may be stored. Nothing may be said meanwhile that a
/// late write would make untrue, such as that the job never runs.
class UnansweredWrites
{
public:
  explicit UnansweredWrites(std::size_t aMaxJobs = 2000)
    : maxJobs(aMaxJobs)
  {
  }

  void Add(const JobId& aJob, TimePoint aNow);
  [[nodiscard]] bool Contains(const JobId& aJob, TimePoint aNow) const;
  /// @return true if no further write should be sent, since its job may have to be remembered; also
  /// forgets the jobs whose writes can no longer be performed.
  [[nodiscard]] bool IsFull(TimePoint aNow);

private:
  std::size_t maxJobs;
  /// When the latest write of each job can no longer be performed.
  std::unordered_map<JobId, TimePoint> expiryByJob;
  /// One entry for each write, oldest first.
  std::deque<std::pair<TimePoint, JobId>> byExpiry;
};

}
