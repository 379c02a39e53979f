#pragma once

/// @file
/// Requests that callers can make to an instance, independent of the protocol.

#include <LibCell/JobCanceller.h>
#include <LibCell/Policy.h>
#include <LibCell/Ports.h>
#include <memory>
#include <string_view>
#include <variant>

namespace zinc::cell {

/// A request that has a route and whose key may use it.
struct AuthorizedRequest
{
  /// Points into the policy.
  const QueueRoute* route = nullptr;
  /// Workspace of the key; empty on a public route without a valid key.
  WorkspaceId workspace;
  /// The path after the route's prefix; a view of the caller's path.
  std::string_view subpath;
};

/// Finds a request's route and checks its API key.
/// @return @ref ErrorCode::NotFound if there is no route, @ref ErrorCode::Unauthorized if the route
/// needs a key and this one is not valid
[[nodiscard]] Result<AuthorizedRequest>
AuthorizeRequest(const CellPolicy& aPolicy,
                 std::string_view aHost,
                 std::string_view aPath,
                 std::string_view aKey);

/// State of a job as callers see it.
enum class CallerJobState : std::uint8_t
{
  Queued,
  Running,
  Succeeded,
  Failed,
  Cancelled,
};

/// Serves callers' requests; implemented by the instance.
class CallerPort
{
public:
  virtual ~CallerPort() = default;

  /// @return the document in force, or null before the first one was read.
  [[nodiscard]] virtual std::shared_ptr<const CellPolicy> Policy() const = 0;
  /// @return false if the load balancer should send callers to other instances.
  [[nodiscard]] virtual bool IsReady() const = 0;
  virtual void Submit(const JobSpecification& aSpec, Handler<Done> aHandler) = 0;
  /// @param aHandler gets @ref ErrorCode::NotFound if the workspace has no such job
  virtual void QueryStatus(const JobId& aJob,
                           const WorkspaceId& aWorkspace,
                           Handler<CallerJobState> aHandler) = 0;
  virtual void Cancel(const JobId& aJob,
                      const WorkspaceId& aWorkspace,
                      Handler<CancelResult> aHandler) = 0;
  /// @return the number of accepted jobs of a queue that have not started.
  [[nodiscard]] virtual Result<std::uint64_t> CountPendingJobs(const QueueId& aQueue) const = 0;
};

}
