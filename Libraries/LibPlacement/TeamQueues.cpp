#include <LibPlacement/TeamQueues.h>

#include <LibPlacement/ResourceMath.h>
#include <bit>
#include <cassert>

namespace zinc {

namespace {

constexpr std::uint8_t kServiceRank = 0;
constexpr std::uint8_t kOrdinaryRank = 1;

/// Four classes for each doubling.
std::uint8_t
Magnitude(std::int64_t aAmount)
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
           .milliCores = Magnitude(aTask.request.milliCores),
           .memoryMiB = Magnitude(aTask.request.memoryMiB),
           .accelerators = Magnitude(aTask.request.accelerators),
           .slots = Magnitude(aTask.request.slots),
           .gang = Magnitude(aTask.gangSize) };
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
TeamTierQueue::KeyOf(const TaskBucket& aBucket, std::uint32_t aIndex)
{
  return { .rank = aBucket.size.rank, .sequence = aBucket.tasks.begin()->first, .bucket = aIndex };
}

std::uint32_t
TeamTierQueue::Insert(TaskIndex aTask, const TaskRecord& aRecord)
{
  const SizeClass size = SizeClassOf(aRecord.spec);
  const auto [entry, isNew] =
    this->bySize.try_emplace(size, static_cast<std::uint32_t>(this->buckets.size()));
  if (isNew) {
    this->buckets.push_back({ .size = size });
  }
  const std::uint32_t index = entry->second;
  TaskBucket& bucket = this->buckets[index];
  const TaskBucket::Position position{ aRecord.sequence, aTask };
  const bool isOldest = bucket.tasks.empty() || position < *bucket.tasks.begin();
  if (isOldest) {
    this->Unlink(index);
  }
  bucket.tasks.insert(position);
  if (isOldest) {
    this->Link(index, aRecord.spec.request);
  }
  return index;
}

void
TeamTierQueue::Erase(TaskIndex aTask, const TaskRecord& aRecord, const TaskTable& aTasks)
{
  TaskBucket& bucket = this->buckets[aRecord.bucket];
  const TaskBucket::Position position{ aRecord.sequence, aTask };
  if (position != *bucket.tasks.begin()) {
    bucket.tasks.erase(position);
    return;
  }
  this->Unlink(aRecord.bucket);
  bucket.tasks.erase(bucket.tasks.begin());
  if (!bucket.tasks.empty()) {
    this->Link(aRecord.bucket, aTasks[bucket.tasks.begin()->second].spec.request);
  }
}

void
TeamTierQueue::SetBlocked(std::uint32_t aBucket, bool aIsBlocked)
{
  TaskBucket& bucket = this->buckets[aBucket];
  this->unblocked += bucket.isBlocked ? 1 : 0;
  this->unblocked -= aIsBlocked ? 1 : 0;
  bucket.isBlocked = aIsBlocked;
}

void
TeamTierQueue::RecomputeMinRequest()
{
  if (this->order.empty()) {
    return;
  }
  this->minRequest = this->buckets[this->order.begin()->bucket].request;
  for (const OrderKey& key : this->order) {
    this->minRequest = ElementwiseMin(this->minRequest, this->buckets[key.bucket].request);
  }
}

void
TeamTierQueue::Unlink(std::uint32_t aBucket)
{
  const TaskBucket& bucket = this->buckets[aBucket];
  if (bucket.tasks.empty()) {
    return;
  }
  this->order.erase(KeyOf(bucket, aBucket));
  this->unblocked -= bucket.isBlocked ? 0 : 1;
}

void
TeamTierQueue::Link(std::uint32_t aBucket, const Resources& aRequest)
{
  TaskBucket& bucket = this->buckets[aBucket];
  this->minRequest = this->order.empty() ? aRequest : ElementwiseMin(this->minRequest, aRequest);
  bucket.request = aRequest;
  bucket.isBlocked = false;
  bucket.lastFailedPass = 0;
  bucket.retryAt = {};
  this->order.insert(KeyOf(bucket, aBucket));
  ++this->unblocked;
}

void
TeamQueues::Ensure(TeamIndex aTeam)
{
  for (auto& tier : this->lanes) {
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
  this->active[static_cast<std::size_t>(tier)].insert(aRecord.team);
}

void
TeamQueues::Erase(TaskIndex aTask, TaskRecord& aRecord, const TaskTable& aTasks)
{
  const Tier tier = TierOf(aRecord.spec);
  TeamTierQueue& lane = this->QueueFor(tier, aRecord.team);
  lane.Erase(aTask, aRecord, aTasks);
  aRecord.bucket = kNoIndex;
  if (lane.IsEmpty()) {
    this->active[static_cast<std::size_t>(tier)].erase(aRecord.team);
  }
}

}
