#pragma once

/// @file
/// The part of the declared document that decides on callers' requests.

#include <LibCell/Specification.h>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace zinc::cell {

/// Where a queue's requests arrive.
struct QueueRoute
{
  std::string host;
  std::string pathPrefix;
  /// Open to callers without a key.
  bool isPublic = false;
  QueuePolicy queue;
};

/// A workspace's rights.
struct WorkspacePolicy
{
  WorkspaceId name;
  /// Share when the cell is full; also the jobs a second that it is entitled to.
  double weight = 1.0;
  /// Most that it may have running; amounts of 0 are not limited.
  Resources maximum;
};

/// A pool of workers.
struct PoolPolicy
{
  std::string name;
  bool guardsCapacity = false;
  /// Its instances are off until they are moved elsewhere.
  bool isStandby = false;
  std::string healthPath;
};

/// One version of the declared document.
struct CellPolicy
{
  std::uint64_t version = 0;
  std::vector<QueueRoute> routes;
  std::map<std::string, PoolPolicy, std::less<>> pools;
  std::map<WorkspaceId, WorkspacePolicy> workspaces;
  std::unordered_map<std::string, WorkspaceId> workspaceByKey;
  std::unordered_map<QueueId, std::size_t> routeByQueue;
  std::size_t maxBodyBytes = 262'144;

  /// @return the route with the longest prefix of the path, if any.
  [[nodiscard]] const QueueRoute* FindRoute(std::string_view aHost, std::string_view aPath) const
  {
    const QueueRoute* best = nullptr;
    for (const auto& route : this->routes) {
      const bool matches = route.host == aHost && aPath.starts_with(route.pathPrefix);
      if (matches && (best == nullptr || route.pathPrefix.size() > best->pathPrefix.size())) {
        best = &route;
      }
    }
    return best;
  }

  /// @return the route of this queue, if it still exists.
  [[nodiscard]] const QueueRoute* FindQueue(const QueueId& aName) const
  {
    const auto found = this->routeByQueue.find(aName);
    return found == this->routeByQueue.end() ? nullptr : &this->routes[found->second];
  }

  /// Adds a route. A second one of the same queue is found by its path alone.
  void AddRoute(QueueRoute aRoute)
  {
    this->routeByQueue.try_emplace(aRoute.queue.name, this->routes.size());
    this->routes.push_back(std::move(aRoute));
  }
};

}
