#pragma once

/// @file
/// Queued tasks by tier, team, size and age.

#include <LibPlacement/TaskTable.h>
#include <array>
#include <map>
#include <set>
#include <tuple>
#include <vector>

namespace zinc {

/// Placement tiers. Tasks of an earlier tier are placed before those of a later one.
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

/// Groups tasks of similar size. Amounts are stored as logarithmic buckets, four per doubling.
struct SizeClass
{
  /// Service tasks rank before all others.
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

/// Tasks of one team, tier and size class, oldest first. A gang is represented by its first member.
struct TaskBucket
{
  using Entry = std::pair<std::uint64_t, TaskIndex>;

  SizeClass size;
  std::set<Entry> tasks;
  /// Request of the oldest task.
  Resources request;
  /// True if the oldest task fitted on no worker; only workers that gained room since then need to
  /// be tried.
  bool isBlocked = false;
  /// Number of the last placement pass in which the oldest task could not be placed; 0 if none.
  std::uint64_t lastFailedPass = 0;
  /// Earliest time of the next attempt to place a gang without a reservation.
  TimePoint retryAt{};
  /// When a sweep first found that no worker has the capacity for the oldest task.
  std::optional<TimePoint> infeasibleSince;
};

/// The queued tasks of one team and tier, in one bucket per size class.
class TeamTierQueue
{
public:
  /// Queues the task by its sequence number.
  /// @return its bucket, which the caller stores in the record.
  std::uint32_t Insert(TaskIndex aTask, const TaskRecord& aRecord);
  void Erase(TaskIndex aTask, const TaskRecord& aRecord, const TaskTable& aTasks);

  [[nodiscard]] bool IsEmpty() const { return this->bucketOrder.empty(); }
  [[nodiscard]] TaskBucket& Bucket(std::uint32_t aBucket) { return this->buckets[aBucket]; }

  /// Position of a bucket in the placement order, by the rank and sequence of its oldest task.
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

  /// Sets @ref TaskBucket::isBlocked of a bucket that is not empty.
  void SetBlocked(std::uint32_t aBucket, bool aIsBlocked);

  /// @return true if the oldest task of some bucket has to be tried on every worker.
  [[nodiscard]] bool HasUnblockedBuckets() const { return this->unblockedCount > 0; }

  /// @return a lower bound of each amount over the requests of the oldest tasks. Can be too low
  /// after tasks were erased, until @ref RecomputeMinRequest.
  [[nodiscard]] const Resources& MinRequest() const { return this->minRequest; }

  /// Makes the lower bound exact again.
  void RecomputeMinRequest();

  /// @return non-empty buckets in the order in which their tasks are placed.
  [[nodiscard]] const std::set<OrderKey>& BucketOrder() const { return this->bucketOrder; }

private:
  [[nodiscard]] static OrderKey MakeOrderKey(const TaskBucket& aBucket, std::uint32_t aIndex);
  /// Removes the bucket from the order. Has to be called before its oldest task changes.
  void RemoveFromOrder(std::uint32_t aBucket);
  /// Adds the bucket to the order by its oldest task and clears what is known about placing it.
  /// @param aRequest the request of the oldest task.
  void AddToOrder(std::uint32_t aBucket, const Resources& aRequest);

  std::map<SizeClass, std::uint32_t> bucketsBySize;
  std::vector<TaskBucket> buckets;
  std::set<OrderKey> bucketOrder;
  std::uint32_t unblockedCount = 0;
  Resources minRequest;
};

/// The queues of all teams and tiers.
class TeamQueues
{
public:
  /// Adds empty queues for the team if it has none.
  void Ensure(TeamIndex aTeam);

  /// Queues the task and stores its bucket in the record.
  void Insert(TaskIndex aTask, TaskRecord& aRecord);
  void Erase(TaskIndex aTask, TaskRecord& aRecord, const TaskTable& aTasks);

  [[nodiscard]] TeamTierQueue& QueueFor(Tier aTier, TeamIndex aTeam)
  {
    return this->queues[static_cast<std::size_t>(aTier)][aTeam];
  }

  /// @return teams with tasks queued in the tier.
  [[nodiscard]] const std::set<TeamIndex>& TeamsWithTasks(Tier aTier) const
  {
    return this->activeTeams[static_cast<std::size_t>(aTier)];
  }

private:
  std::array<std::vector<TeamTierQueue>, kTierCount> queues;
  std::array<std::set<TeamIndex>, kTierCount> activeTeams;
};

}
