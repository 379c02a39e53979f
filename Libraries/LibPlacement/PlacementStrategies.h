#pragma once

/// @file
/// Strategies that choose a worker among those with enough room.

#include <LibDocument/Document.h>
#include <LibPlacement/WorkerPool.h>
#include <pcg_random.hpp>

namespace zinc {

/// Describes a search for a worker.
struct PlacementQuery
{
  Resources request;
  RoomKind kind = RoomKind::Bulk;
  PlacementStrategy strategy = PlacementStrategy::BestFit;
  /// Indices of the workers to choose from.
  std::span<const WorkerIndex> candidates;
  /// Penalty of each failure domain by index, compared before the strategy's score; empty if no
  /// domain has one.
  std::span<const std::uint32_t> domainPenalties;
  /// Kind of failure domain that the penalties are indexed by.
  SpreadDomain spread = SpreadDomain::None;
};

/// Chooses workers by the strategy that the document configures.
class PlacementStrategies
{
public:
  explicit PlacementStrategies(std::uint64_t aSeed);

  /// @return the chosen worker, or @ref kNoIndex if the request fits on no candidate.
  [[nodiscard]] WorkerIndex Choose(const WorkerPool& aPool, const PlacementQuery& aQuery);

private:
  using Selector = WorkerIndex (PlacementStrategies::*)(const WorkerPool&, const PlacementQuery&);

  WorkerIndex FirstFit(const WorkerPool& aPool, const PlacementQuery& aQuery);
  WorkerIndex BestFit(const WorkerPool& aPool, const PlacementQuery& aQuery);
  WorkerIndex DotProduct(const WorkerPool& aPool, const PlacementQuery& aQuery);
  WorkerIndex LeastLoaded(const WorkerPool& aPool, const PlacementQuery& aQuery);
  WorkerIndex PowerOfChoices(const WorkerPool& aPool, const PlacementQuery& aQuery);
  WorkerIndex Random(const WorkerPool& aPool, const PlacementQuery& aQuery);

  pcg32 random;
};

}
