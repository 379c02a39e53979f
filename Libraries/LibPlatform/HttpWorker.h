#pragma once

/// @file
/// One worker over HTTP.

#include <LibPlatform/HttpOptions.h>
#include <LibPlatform/Worker.h>
#include <memory>

namespace zinc {

class HttpClient;

/// Client of one worker over HTTP; see docs/platform.md for its endpoints.
class HttpWorker final : public Worker
{
public:
  using Options = HttpOptions;

  /// @return the client, or @ref ErrorCode::BadRequest if an address is not an IP address.
  [[nodiscard]] static Result<std::shared_ptr<HttpWorker>> Create(Options aOptions);

  void Lease(LeaseRequest aRequest, Handler<LeaseGrant> aHandler) override;
  void Release(LeaseTerm aTerm, Handler<Done> aHandler) override;
  void Start(LeaseTerm aTerm,
             TaskSpec aTask,
             Milliseconds aWait,
             Handler<TaskStatus> aHandler) override;
  void Stop(LeaseTerm aTerm,
            TaskId aTask,
            std::uint32_t aAttempt,
            StopMode aMode,
            Handler<TaskStatus> aHandler) override;
  void Inspect(TaskId aTask, std::uint32_t aAttempt, Handler<TaskStatus> aHandler) override;
  void Poll(LeaseTerm aTerm,
            std::uint64_t aAfter,
            Milliseconds aWait,
            Handler<EventBatch> aHandler) override;

private:
  explicit HttpWorker(std::shared_ptr<HttpClient> aClient);

  std::shared_ptr<HttpClient> client;
};

}
