#include <LibPlacement/TeamQueues.h>

#include <LibPlacement/ResourceMath.h>
#include <bit>
#include <cassert>

namespace zinc {

namespace {

constexpr std::uint8_t kServiceRank = 0;
constexpr std::uint8_t kOrdinaryRank = 1;

/// @return the logarithmic bucket of the amount, four per doubling; 0 if it is not positive.
std::uint8_t
ComputeLogBucket(std::int64_t aAmount)
{
  if (aAmount <= 0) {
    return 0;
  }
  const auto amount = static_cast<std::uint64_t>(aAmount);
  const int exponent = std::bit_width(amount) - 1;
  const std::uint64_t quarter =
    exponent >= 2 ? (amount >> (exponent - 2)) & 3U : (amount << (2 - exponent)) & 3U;
  return static_cast<std::uint8_t>(1 + exponent * 4 + static_cast<int>(quarter));
}

SizeClass
SizeClassOf(const TaskSpec& aTask)
{
  return { .rank = aTask.workClass == WorkClass::Service ? kServiceRank : kOrdinaryRank,
           .milliCores = ComputeLogBucket(aTask.request.milliCores),
           .memoryMiB = ComputeLogBucket(aTask.request.memoryMiB),
           .accelerators = ComputeLogBucket(aTask.request.accelerators),
           .slots = ComputeLogBucket(aTask.request.slots),
           .gang = ComputeLogBucket(aTask.gangSize) };
}

}

Tier
TierOf(const TaskSpec& aTask)
{
  if (aTask.urgency == Urgency::Urgent) {
    return Tier::Urgent;
  }
  return aTask.workClass == WorkClass::Check ? Tier::Check : Tier::Bulk;
}

TeamTierQueue::OrderKey
TeamTierQueue::MakeOrderKey(const TaskBucket& aBucket, std::uint32_t aIndex)
{
  return { .rank = aBucket.size.rank, .sequence = aBucket.tasks.begin()->first, .bucket = aIndex };
}

std::uint32_t
TeamTierQueue::Insert(TaskIndex aTask, const TaskRecord& aRecord)
{
  const SizeClass size = SizeClassOf(aRecord.spec);
  const auto [mapEntry, isInserted] =
    this->bucketsBySize.try_emplace(size, static_cast<std::uint32_t>(this->buckets.size()));
  if (isInserted) {
    this->buckets.push_back({ .size = size });
  }
  const std::uint32_t index = mapEntry->second;
  TaskBucket& bucket = this->buckets[index];
  const TaskBucket::Entry queueEntry{ aRecord.sequence, aTask };
  const bool isOldest = bucket.tasks.empty() || queueEntry < *bucket.tasks.begin();
  if (isOldest) {
    this->RemoveFromOrder(index);
  }
  bucket.tasks.insert(queueEntry);
  if (isOldest) {
    this->AddToOrder(index, aRecord.spec.request);
  }
  return index;
}

void
TeamTierQueue::Erase(TaskIndex aTask, const TaskRecord& aRecord, const TaskTable& aTasks)
{
  TaskBucket& bucket = this->buckets[aRecord.bucket];
  const TaskBucket::Entry queueEntry{ aRecord.sequence, aTask };
  if (queueEntry != *bucket.tasks.begin()) {
    bucket.tasks.erase(queueEntry);
    return;
  }
  this->RemoveFromOrder(aRecord.bucket);
  bucket.tasks.erase(bucket.tasks.begin());
  if (!bucket.tasks.empty()) {
    this->AddToOrder(aRecord.bucket, aTasks[bucket.tasks.begin()->second].spec.request);
  }
}

void
TeamTierQueue::SetBlocked(std::uint32_t aBucket, bool aIsBlocked)
{
  TaskBucket& bucket = this->buckets[aBucket];
  this->unblockedCount += bucket.isBlocked ? 1 : 0;
  this->unblockedCount -= aIsBlocked ? 1 : 0;
  bucket.isBlocked = aIsBlocked;
}

void
TeamTierQueue::RecomputeMinRequest()
{
  if (this->bucketOrder.empty()) {
    return;
  }
  this->minRequest = this->buckets[this->bucketOrder.begin()->bucket].request;
  for (const OrderKey& key : this->bucketOrder) {
    this->minRequest = ElementwiseMin(this->minRequest, this->buckets[key.bucket].request);
  }
}

void
TeamTierQueue::RemoveFromOrder(std::uint32_t aBucket)
{
  const TaskBucket& bucket = this->buckets[aBucket];
  if (bucket.tasks.empty()) {
    return;
  }
  this->bucketOrder.erase(MakeOrderKey(bucket, aBucket));
  this->unblockedCount -= bucket.isBlocked ? 0 : 1;
}

void
TeamTierQueue::AddToOrder(std::uint32_t aBucket, const Resources& aRequest)
{
  TaskBucket& bucket = this->buckets[aBucket];
  this->minRequest =
    this->bucketOrder.empty() ? aRequest : ElementwiseMin(this->minRequest, aRequest);
  bucket.request = aRequest;
  bucket.isBlocked = false;
  bucket.lastFailedPass = 0;
  bucket.retryAt = {};
  this->bucketOrder.insert(MakeOrderKey(bucket, aBucket));
  ++this->unblockedCount;
}

void
TeamQueues::Ensure(TeamIndex aTeam)
{
  for (auto& tier : this->queues) {
    if (aTeam >= tier.size()) {
      tier.resize(aTeam + 1);
    }
  }
}

void
TeamQueues::Insert(TaskIndex aTask, TaskRecord& aRecord)
{
  const Tier tier = TierOf(aRecord.spec);
  aRecord.bucket = this->QueueFor(tier, aRecord.team).Insert(aTask, aRecord);
  this->activeTeams[static_cast<std::size_t>(tier)].insert(aRecord.team);
}

void
TeamQueues::Erase(TaskIndex aTask, TaskRecord& aRecord, const TaskTable& aTasks)
{
  const Tier tier = TierOf(aRecord.spec);
  TeamTierQueue& queue = this->QueueFor(tier, aRecord.team);
  queue.Erase(aTask, aRecord, aTasks);
  aRecord.bucket = kNoIndex;
  if (queue.IsEmpty()) {
    this->activeTeams[static_cast<std::size_t>(tier)].erase(aRecord.team);
  }
}

}
