#pragma once

/// @file
/// Decides when tombstones leave the store. Load: thousands of them, and leaders that change within
/// the time for which they stay.

#include <LibBase/Identifier.h>
#include <LibBase/Time.h>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace zinc::cell {

/// A tombstone that has stayed for long enough.
struct ExpiredTombstone
{
  JobId job;
  /// Version of its row.
  std::uint64_t version = 0;
};

/// The tombstones in the store and when each expires.
class TombstoneAges
{
public:
  /// Adds a tombstone, or restarts its time if its row was written again.
  /// @param aExpiry when it may be removed
  void Add(const JobId& aJob, std::uint64_t aVersion, TimePoint aExpiry);
  /// Forgets a tombstone whose row is gone or holds something else.
  /// @param aVersion version of that change, or of the tombstone that it concerned; a tombstone
  /// that was written later stays
  void Remove(const JobId& aJob, std::uint64_t aVersion);

  /// @return tombstones that have expired, in the order of their expiry. They stay until
  /// @ref Remove.
  [[nodiscard]] std::vector<ExpiredTombstone> FindExpired(TimePoint aNow,
                                                          std::size_t aMaxCount) const;

  [[nodiscard]] std::size_t Size() const { return this->byJob.size(); }

private:
  struct Entry
  {
    std::uint64_t version = 0;
    TimePoint expiry{};
  };

  std::map<JobId, Entry> byJob;
  std::set<std::pair<TimePoint, JobId>> byExpiry;
};

}
