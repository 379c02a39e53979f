#include <LibMembership/OwnershipMap.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <string_view>
#include <xxhash.h>

namespace zinc {

namespace {

/// Releases that may come at once after a quiet time, as seconds of the rate.
constexpr double kBurstSeconds = 0.25;

/// A candidate's rank for one key; the highest wins.
double
Score(std::string_view aKey, const OwnerCandidate& aEntry)
{
  const XXH64_hash_t seed = XXH3_64bits(aEntry.id.value.data(), aEntry.id.value.size());
  const XXH64_hash_t hash = XXH3_64bits_withSeed(aKey.data(), aKey.size(), seed);
  constexpr double kHashRange = 18446744073709551616.0;
  const double unit = (static_cast<double>(hash) + 0.5) / kHashRange;
  return aEntry.weight / -std::log(std::min(unit, 1.0 - std::numeric_limits<double>::epsilon()));
}

/// An entry instance with its part of a zone's workers.
struct OwnerLoad
{
  const OwnerCandidate* entry = nullptr;
  std::size_t bound = 0;
  std::size_t count = 0;
};

std::vector<OwnerLoad>
LoadsOfZone(std::span<const OwnerCandidate> aEntries,
            const ZoneId& aZone,
            std::size_t aWorkers,
            double aSlack)
{
  std::vector<OwnerLoad> loads;
  double totalWeight = 0;
  for (const OwnerCandidate& entry : aEntries) {
    if (entry.zone == aZone) {
      loads.push_back({ .entry = &entry });
      totalWeight += entry.weight;
    }
  }
  for (OwnerLoad& load : loads) {
    const double part = static_cast<double>(aWorkers) * load.entry->weight / totalWeight;
    load.bound = static_cast<std::size_t>(std::ceil(part * (1.0 + aSlack)));
  }
  return loads;
}

/// A pair of worker and candidate owner.
struct Bid
{
  double score = 0;
  std::size_t worker = 0;
  std::size_t owner = 0;
};

std::vector<Bid>
BidsByRank(std::span<const WorkerId> aWorkers, std::span<const OwnerLoad> aLoads)
{
  std::vector<Bid> bids;
  bids.reserve(aWorkers.size() * aLoads.size());
  for (std::size_t worker = 0; worker < aWorkers.size(); ++worker) {
    for (std::size_t owner = 0; owner < aLoads.size(); ++owner) {
      const double score = Score(aWorkers[worker].value, *aLoads[owner].entry);
      bids.push_back({ score, worker, owner });
    }
  }
  std::ranges::sort(bids, [](const Bid& aLeft, const Bid& aRight) {
    return std::tie(aRight.score, aLeft.worker, aLeft.owner) <
           std::tie(aLeft.score, aRight.worker, aRight.owner);
  });
  return bids;
}

}

Result<OwnershipMap>
OwnershipMap::Create(OwnershipOptions aOptions)
{
  if (aOptions.maxMovesPerSecond <= 0 || aOptions.maxDrainMovesPerSecond <= 0 ||
      aOptions.slack <= 0) {
    return NotRun(ErrorCode::BadRequest, "Rates and slack must be above 0.");
  }
  return OwnershipMap(std::move(aOptions));
}

OwnershipMap::OwnershipMap(OwnershipOptions aOptions)
  : options(std::move(aOptions))
{
}

void
OwnershipMap::SetEntries(std::vector<OwnerCandidate> aEntries)
{
  std::ranges::sort(aEntries, {}, &OwnerCandidate::id);
  if (aEntries != this->entries) {
    this->entries = std::move(aEntries);
    this->Assign();
  }
}

void
OwnershipMap::SetWorkers(std::vector<OwnedWorker> aWorkers)
{
  std::ranges::sort(aWorkers, {}, &OwnedWorker::id);
  if (aWorkers != this->workers) {
    this->workers = std::move(aWorkers);
    this->Assign();
  }
}

void
OwnershipMap::Assign()
{
  this->owners.clear();
  std::map<ZoneId, std::vector<WorkerId>> zones;
  for (const OwnedWorker& worker : this->workers) {
    zones[worker.zone].push_back(worker.id);
  }
  for (const auto& [zone, members] : zones) {
    this->AssignZone(zone, members);
  }
  std::erase_if(this->notBefore,
                [&](const auto& aItem) { return !this->owners.contains(aItem.first); });
}

void
OwnershipMap::AssignZone(const ZoneId& aZone, std::span<const WorkerId> aWorkers)
{
  std::vector<OwnerLoad> loads =
    LoadsOfZone(this->entries, aZone, aWorkers.size(), this->options.slack);
  std::vector<bool> assigned(aWorkers.size(), false);
  for (const Bid& bid : BidsByRank(aWorkers, loads)) {
    OwnerLoad& load = loads[bid.owner];
    if (assigned[bid.worker] || load.count >= load.bound) {
      continue;
    }
    assigned[bid.worker] = true;
    ++load.count;
    this->owners[aWorkers[bid.worker]] = load.entry->id;
  }
}

EntryId
OwnershipMap::DesiredOwner(const WorkerId& aWorker) const
{
  const auto found = this->owners.find(aWorker);
  return found == this->owners.end() ? EntryId{} : found->second;
}

EntryId
OwnershipMap::DesiredDriver(std::uint32_t aShard) const
{
  const std::string key = "shard/" + std::to_string(aShard);
  const OwnerCandidate* best = nullptr;
  double bestScore = -1;
  for (const OwnerCandidate& entry : this->entries) {
    const double score = Score(key, entry);
    if (score > bestScore) {
      bestScore = score;
      best = &entry;
    }
  }
  return best == nullptr ? EntryId{} : best->id;
}

void
OwnershipMap::ReportAcquired(const WorkerId& aWorker)
{
  this->held.insert(aWorker);
  this->notBefore.erase(aWorker);
}

void
OwnershipMap::ReportReleased(const WorkerId& aWorker)
{
  this->held.erase(aWorker);
  this->notBefore.erase(aWorker);
}

void
OwnershipMap::ReportRefused(const WorkerId& aWorker, TimePoint aNow)
{
  this->held.erase(aWorker);
  this->notBefore[aWorker] = aNow + this->options.retryAfter;
}

void
OwnershipMap::ReportFreed(const WorkerId& aWorker)
{
  this->notBefore.erase(aWorker);
}

bool
OwnershipMap::IsDraining() const
{
  return std::ranges::find(this->entries, this->options.self, &OwnerCandidate::id) ==
         this->entries.end();
}

void
OwnershipMap::Refill(TimePoint aNow)
{
  const double rate =
    this->IsDraining() ? this->options.maxDrainMovesPerSecond : this->options.maxMovesPerSecond;
  const Milliseconds passed = aNow - this->refilledAt.value_or(aNow);
  this->refilledAt = aNow;
  const double earned = rate * static_cast<double>(passed.count()) / 1000.0;
  const double most = std::max(1.0, rate * kBurstSeconds);
  this->releaseTokens = std::min(most, this->releaseTokens + earned);
}

void
OwnershipMap::AddReleases(std::vector<OwnershipMove>& aMoves, TimePoint aNow)
{
  for (const WorkerId& worker : this->held) {
    const EntryId owner = this->DesiredOwner(worker);
    // A worker that nobody else could own stays where it is.
    if (owner.IsEmpty() || owner == this->options.self) {
      continue;
    }
    const auto wait = this->notBefore.find(worker);
    if (wait != this->notBefore.end() && aNow < wait->second) {
      continue;
    }
    if (this->releaseTokens < 1) {
      return;
    }
    this->releaseTokens -= 1;
    this->notBefore[worker] = aNow + this->options.retryAfter;
    aMoves.push_back({ MoveKind::Release, worker, owner });
  }
}

void
OwnershipMap::AddAcquires(std::vector<OwnershipMove>& aMoves, TimePoint aNow)
{
  for (const OwnedWorker& worker : this->workers) {
    if (this->held.contains(worker.id) || this->DesiredOwner(worker.id) != this->options.self) {
      continue;
    }
    const auto wait = this->notBefore.find(worker.id);
    if (wait != this->notBefore.end() && aNow < wait->second) {
      continue;
    }
    this->notBefore[worker.id] = aNow + this->options.retryAfter;
    aMoves.push_back({ MoveKind::Acquire, worker.id, this->options.self });
  }
}

std::vector<OwnershipMove>
OwnershipMap::Moves(TimePoint aNow)
{
  this->Refill(aNow);
  std::vector<OwnershipMove> moves;
  this->AddReleases(moves, aNow);
  this->AddAcquires(moves, aNow);
  return moves;
}

}
