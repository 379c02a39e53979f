#pragma once

/// @file
/// Queued tasks, ordered by tier, team, size and age.

#include <LibPlacement/TaskTable.h>
#include <array>
#include <map>
#include <set>
#include <tuple>
#include <vector>

namespace zinc {

/// Work of an earlier tier is placed before that of a later one.
enum class Tier : std::uint8_t
{
  Urgent,
  Check,
  Bulk,
};

inline constexpr std::size_t kTierCount = 3;

/// @return the tier in which the task is queued.
[[nodiscard]] Tier
TierOf(const TaskSpec& aTask);

/// Groups tasks whose sizes differ by less than a fixed ratio.
struct SizeClass
{
  std::uint8_t rank = 0;
  std::uint8_t milliCores = 0;
  std::uint8_t memoryMiB = 0;
  std::uint8_t accelerators = 0;
  std::uint8_t slots = 0;
  std::uint8_t gang = 0;

  friend bool operator<(const SizeClass& aLeft, const SizeClass& aRight)
  {
    const auto fields = [](const SizeClass& aSize) {
      return std::tie(
        aSize.rank, aSize.milliCores, aSize.memoryMiB, aSize.accelerators, aSize.slots, aSize.gang);
    };
    return fields(aLeft) < fields(aRight);
  }
};

/// Tasks of one team, tier and size class, oldest first. A gang is queued by its first member.
struct TaskBucket
{
  using Position = std::pair<std::uint64_t, TaskIndex>;

  SizeClass size;
  std::set<Position> tasks;
  /// What the oldest task asks for.
  Resources request;
  /// True if the oldest task fits on no worker that has not gained room since.
  bool isBlocked = false;
  /// Last pass in which the oldest task could not be placed.
  std::uint64_t lastFailedPass = 0;
  /// A gang is not tried before this time.
  TimePoint retryAt{};
  /// Since when no worker could hold the oldest task.
  std::optional<TimePoint> infeasibleSince;
};

/// The queued tasks of one team and tier.
class TeamTierQueue
{
public:
  /// Queues the task by its sequence number. @return the bucket that holds it.
  std::uint32_t Insert(TaskIndex aTask, const TaskRecord& aRecord);
  void Erase(TaskIndex aTask, const TaskRecord& aRecord, const TaskTable& aTasks);

  [[nodiscard]] bool IsEmpty() const { return this->order.empty(); }
  [[nodiscard]] TaskBucket& Bucket(std::uint32_t aBucket) { return this->buckets[aBucket]; }

  /// Rank and age of a bucket's oldest task, and the bucket.
  struct OrderKey
  {
    std::uint8_t rank = 0;
    std::uint64_t sequence = 0;
    std::uint32_t bucket = 0;

    friend bool operator<(const OrderKey& aLeft, const OrderKey& aRight)
    {
      return std::tie(aLeft.rank, aLeft.sequence, aLeft.bucket) <
             std::tie(aRight.rank, aRight.sequence, aRight.bucket);
    }
  };

  /// Counts a bucket's oldest task as fitting nowhere or not.
  void SetBlocked(std::uint32_t aBucket, bool aIsBlocked);

  /// @return true if some bucket's oldest task has to look at every worker.
  [[nodiscard]] bool HasUnblockedBuckets() const { return this->unblocked > 0; }

  /// @return a lower bound of each amount over the oldest tasks.
  [[nodiscard]] const Resources& MinRequest() const { return this->minRequest; }

  /// Makes the lower bound exact.
  void RecomputeMinRequest();

  /// @return non-empty buckets in the order in which they are tried.
  [[nodiscard]] const std::set<OrderKey>& BucketOrder() const { return this->order; }

private:
  [[nodiscard]] static OrderKey KeyOf(const TaskBucket& aBucket, std::uint32_t aIndex);
  /// Takes the bucket out of the order, or into it by its oldest task.
  void Unlink(std::uint32_t aBucket);
  void Link(std::uint32_t aBucket, const Resources& aRequest);

  std::map<SizeClass, std::uint32_t> bySize;
  std::vector<TaskBucket> buckets;
  std::set<OrderKey> order;
  std::uint32_t unblocked = 0;
  Resources minRequest;
};

/// The lanes of all teams.
class TeamQueues
{
public:
  /// Makes room for a team with this index.
  void Ensure(TeamIndex aTeam);

  void Insert(TaskIndex aTask, TaskRecord& aRecord);
  void Erase(TaskIndex aTask, TaskRecord& aRecord, const TaskTable& aTasks);

  [[nodiscard]] TeamTierQueue& QueueFor(Tier aTier, TeamIndex aTeam)
  {
    return this->lanes[static_cast<std::size_t>(aTier)][aTeam];
  }

  /// @return teams with work queued in the tier.
  [[nodiscard]] const std::set<TeamIndex>& TeamsWithTasks(Tier aTier) const
  {
    return this->active[static_cast<std::size_t>(aTier)];
  }

private:
  std::array<std::vector<TeamTierQueue>, kTierCount> lanes;
  std::array<std::set<TeamIndex>, kTierCount> active;
};

}
