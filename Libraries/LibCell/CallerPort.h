#pragma once

/// @file
/// What callers can ask of an instance, whatever protocol they speak.

#include <LibCell/Intake.h>
#include <LibCell/Policy.h>
#include <LibCell/Ports.h>
#include <memory>
#include <string_view>
#include <variant>

namespace zinc::cell {

/// A request whose route exists and whose key may use it.
struct AdmittedCall
{
  const QueueRoute* route = nullptr;
  /// Empty on a public route without a key.
  WorkspaceId workspace;
  /// The path behind the route's prefix.
  std::string_view rest;
};

/// Finds a request's route and checks its key.
/// @return @ref ErrorCode::NotFound without a route, @ref ErrorCode::Unauthorized without a valid
/// key
[[nodiscard]] Result<AdmittedCall>
Admit(const CellPolicy& aPolicy,
      std::string_view aHost,
      std::string_view aPath,
      std::string_view aKey);

/// What a caller is told of a job.
enum class CallerJobState : std::uint8_t
{
  Queued,
  Running,
  Succeeded,
  Failed,
  Cancelled,
};

/// Answers callers; implemented by the instance.
class CallerPort
{
public:
  virtual ~CallerPort() = default;

  /// @return the document in force, or null before the first one is known.
  [[nodiscard]] virtual std::shared_ptr<const CellPolicy> Policy() const = 0;
  /// @return false while the balancer should send callers elsewhere.
  [[nodiscard]] virtual bool IsReady() const = 0;
  virtual void Submit(const JobSpecification& aSpec, Handler<Done> aHandler) = 0;
  /// Handler gets @ref ErrorCode::NotFound if no such job exists.
  virtual void Status(const JobId& aJob,
                      const WorkspaceId& aWorkspace,
                      Handler<CallerJobState> aHandler) = 0;
  virtual void Cancel(const JobId& aJob,
                      const WorkspaceId& aWorkspace,
                      Handler<CancelResult> aHandler) = 0;
  /// @return how many accepted jobs of a queue have not started.
  [[nodiscard]] virtual Result<std::uint64_t> Waiting(const QueueId& aQueue) const = 0;
};

}
