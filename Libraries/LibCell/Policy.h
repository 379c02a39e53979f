#pragma once

/// @file
/// Routes, pools and workspaces of the declared document: the policy for callers' requests.

#include <LibCell/Specification.h>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace zinc::cell {

/// Maps requests by host and path to a queue.
struct QueueRoute
{
  std::string host;
  std::string pathPrefix;
  /// Callers need no API key.
  bool isPublic = false;
  QueuePolicy queue;
};

/// A workspace's weight and quota.
struct WorkspacePolicy
{
  WorkspaceId name;
  /// Share of a full cell relative to other workspaces; also the jobs per second that the workspace
  /// is entitled to submit.
  double weight = 1.0;
  /// Limit of the resources that its runs use together; an amount of 0 is unlimited.
  Resources quota;
};

/// A pool of workers.
struct PoolPolicy
{
  std::string name;
  bool enforcesCapacity = false;
  /// Its instances stay off until they are moved to another pool.
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
  std::unordered_map<std::string, WorkspaceId> workspaceByApiKey;
  std::unordered_map<QueueId, std::size_t> routeIndexByQueue;
  /// Sentences about the parts of the document that cannot be read; they have defaults or are left
  /// out.
  std::vector<std::string> faults;
  /// Limits of a request's body and header.
  std::size_t maxBodyBytes = 262'144;
  std::size_t maxHeaderBytes = 16'384;

  /// @return the route with the longest prefix of the path, or null.
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

  /// @return the first route of a queue, or null if the queue was removed.
  [[nodiscard]] const QueueRoute* FindRouteByQueue(const QueueId& aName) const
  {
    const auto found = this->routeIndexByQueue.find(aName);
    return found == this->routeIndexByQueue.end() ? nullptr : &this->routes[found->second];
  }

  /// Adds a route. If its queue has one already, @ref FindRouteByQueue continues to return that
  /// one.
  void AddRoute(QueueRoute aRoute)
  {
    this->routeIndexByQueue.try_emplace(aRoute.queue.name, this->routes.size());
    this->routes.push_back(std::move(aRoute));
  }
};

}
