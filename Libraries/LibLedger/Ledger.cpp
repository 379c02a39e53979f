#include <LibLedger/Ledger.h>
#include <LibLedger/LedgerKeys.h>
#include <LibLedger/ShardContext.h>
#include <LibLedger/ShardLog.h>

#include <map>
#include <utility>

namespace zinc {

namespace {

constexpr std::uint32_t kMaxShards = 0x10000;

Verdict
OutOfRange(std::string aMessage)
{
  return NotRun(ErrorCode::BadRequest, std::move(aMessage));
}

}

struct Ledger::State
{
  detail::ShardContext context;
  std::map<ShardIndex, std::shared_ptr<detail::ShardLog>> shards;
  /// Kept until the next tick, because a handler of theirs may be running.
  std::vector<std::shared_ptr<detail::ShardLog>> closed;

  detail::ShardLog& Shard(ShardIndex aShard)
  {
    auto& shard = this->shards[aShard];
    if (!shard) {
      shard = std::make_shared<detail::ShardLog>(this->context, aShard);
    }
    return *shard;
  }

  [[nodiscard]] const detail::ShardLog* FindShard(ShardIndex aShard) const
  {
    const auto found = this->shards.find(aShard);
    return found == this->shards.end() ? nullptr : found->second.get();
  }

  /// @return the shard that a caller's record belongs to, or nothing if it belongs nowhere.
  [[nodiscard]] std::optional<ShardIndex> ShardOf(const Record& aRecord) const
  {
    const JobId* const job = JobOf(aRecord);
    const auto shard = job == nullptr ? std::nullopt : ShardOfJob(*job);
    if (!shard || *shard >= this->context.options.shardCount) {
      return {};
    }
    const auto* const accepted = std::get_if<AcceptedRecord>(&aRecord);
    if (accepted != nullptr &&
        *shard !=
          ShardOfRequest(accepted->team, accepted->request, this->context.options.shardCount)) {
      return {};
    }
    return shard;
  }
};

Result<std::unique_ptr<Ledger>>
Ledger::Create(LedgerOptions aOptions, LedgerEnvironment aEnvironment)
{
  if (aOptions.self.IsEmpty()) {
    return OutOfRange("the entry has no name");
  }
  if (aOptions.shardCount == 0 || aOptions.shardCount > kMaxShards) {
    return OutOfRange("shardCount is out of range");
  }
  if (aOptions.rowsPerSnapshot == 0 || aOptions.rowsPerDeletion == 0 || aOptions.maxPending == 0) {
    return OutOfRange("rowsPerSnapshot, rowsPerDeletion and maxPending are above 0");
  }
  const std::uint64_t seed = aOptions.seed;
  auto state = std::unique_ptr<State>(new State{ .context = { .options = std::move(aOptions),
                                                              .environment = aEnvironment,
                                                              .random = pcg64(seed) } });
  return std::unique_ptr<Ledger>(new Ledger(std::move(state)));
}

Ledger::Ledger(std::unique_ptr<State> aState)
  : state(std::move(aState))
{
}

Ledger::~Ledger() = default;

std::uint32_t
Ledger::ShardCount() const
{
  return this->state->context.options.shardCount;
}

ShardIndex
Ledger::ShardOf(const TeamId& aTeam, const RequestId& aRequest) const
{
  return ShardOfRequest(aTeam, aRequest, this->ShardCount());
}

JobId
Ledger::NewJobId(const TeamId& aTeam, const RequestId& aRequest)
{
  return MakeJobId(this->ShardOf(aTeam, aRequest), this->state->context.random());
}

void
Ledger::Open(ShardIndex aShard, Handler<Done> aHandler)
{
  this->Refresh(aShard, std::move(aHandler));
}

bool
Ledger::Close(ShardIndex aShard)
{
  const auto found = this->state->shards.find(aShard);
  if (found == this->state->shards.end()) {
    return true;
  }
  if (!found->second->IsIdle()) {
    return false;
  }
  this->state->closed.push_back(std::move(found->second));
  this->state->shards.erase(found);
  return true;
}

bool
Ledger::IsOpen(ShardIndex aShard) const
{
  return this->state->FindShard(aShard) != nullptr;
}

void
Ledger::TakeOver(ShardIndex aShard, Handler<DriverEpoch> aHandler)
{
  this->state->Shard(aShard).TakeOver(std::move(aHandler));
}

void
Ledger::Append(Record aRecord, Handler<AppendReceipt> aHandler)
{
  const std::optional<ShardIndex> shard = this->state->ShardOf(aRecord);
  if (!shard) {
    this->state->context.deferred.emplace_back([handler = std::move(aHandler)] {
      handler(NotRun(ErrorCode::NotFound, "The record belongs to no shard."));
    });
    return;
  }
  this->state->Shard(*shard).Append(std::move(aRecord), std::move(aHandler));
}

void
Ledger::Refresh(ShardIndex aShard, Handler<Done> aHandler)
{
  this->state->Shard(aShard).Refresh(std::move(aHandler));
}

const LedgerJob*
Ledger::Find(const TeamId& aTeam, const RequestId& aRequest) const
{
  const auto* const shard = this->state->FindShard(this->ShardOf(aTeam, aRequest));
  return shard == nullptr ? nullptr : shard->State().Find(aTeam, aRequest);
}

const LedgerJob*
Ledger::Find(const JobId& aJob) const
{
  const auto index = ShardOfJob(aJob);
  const auto* const shard = index ? this->state->FindShard(*index) : nullptr;
  return shard == nullptr ? nullptr : shard->State().Find(aJob);
}

void
Ledger::ForEachUnfinished(ShardIndex aShard,
                          const std::function<void(const LedgerJob&)>& aVisitor) const
{
  if (const auto* const shard = this->state->FindShard(aShard)) {
    shard->State().ForEachUnfinished(aVisitor);
  }
}

DriverRecord
Ledger::Driver(ShardIndex aShard, const ZoneId& aZone) const
{
  const auto* const shard = this->state->FindShard(aShard);
  return shard == nullptr ? DriverRecord{} : shard->State().Driver(aZone);
}

std::vector<ShardIndex>
Ledger::DrivenShards() const
{
  std::vector<ShardIndex> driven;
  for (const auto& [index, shard] : this->state->shards) {
    if (shard->IsDriver()) {
      driven.push_back(index);
    }
  }
  return driven;
}

void
Ledger::Tick(WallTime aWall)
{
  this->state->context.wall = aWall;
  for (const auto& answer : std::exchange(this->state->context.deferred, {})) {
    answer();
  }
  this->state->closed.clear();
  std::vector<std::shared_ptr<detail::ShardLog>> logs;
  logs.reserve(this->state->shards.size());
  for (const auto& [index, shard] : this->state->shards) {
    logs.push_back(shard);
  }
  if (logs.empty()) {
    return;
  }
  // A random first shard lets none go short of the write budget for long.
  const std::size_t first = this->state->context.random() % logs.size();
  for (std::size_t index = 0; index < logs.size(); ++index) {
    logs[(first + index) % logs.size()]->Tick();
  }
}

const LedgerStatistics&
Ledger::Statistics() const
{
  return this->state->context.statistics;
}

}
