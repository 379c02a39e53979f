#pragma once

/// @file
/// What the policy service has said about the workers that may run a step.

#include <LibBase/Time.h>
#include <LibCell/Worker.h>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace zinc::cell {

/// A ticket of the policy service with which a step's tasks can start at one worker.
struct CachedTicket
{
  WorkerNumber worker = 0;
  std::string text;
  TimePoint expires{};
};

/// Responses of the policy service about a step. The eligible workers of a step never change, but
/// tickets expire.
class StepAdvice
{
public:
  /// Stores a ticket in place of an earlier one for the same worker.
  void AddTicket(CachedTicket aTicket);
  /// @return the latest ticket for the worker, which may have expired, or null
  [[nodiscard]] CachedTicket* FindTicket(WorkerNumber aWorker);
  [[nodiscard]] const CachedTicket* FindTicket(WorkerNumber aWorker) const;
  /// @return the eligible workers known so far, each with its latest ticket, sorted by number
  [[nodiscard]] std::span<const CachedTicket> Tickets() const { return this->tickets; }

  /// Removes the ticket of a worker that the service no longer calls eligible.
  void RemoveTicket(WorkerNumber aWorker);
  /// Records that a request named the worker.
  void MarkRequested(WorkerNumber aWorker);
  /// Lets another request name the worker, unless it is known to be eligible.
  void ForgetRequest(WorkerNumber aWorker);
  [[nodiscard]] bool WasRequested(WorkerNumber aWorker) const
  {
    return aWorker < this->isRequested.size() && this->isRequested[aWorker];
  }
  /// @return how many workers requests have named
  [[nodiscard]] std::size_t RequestedCount() const { return this->requestedCount; }

  /// The policy service has responded at least once.
  bool hasResponse = false;
  /// A response arrived since the last placement attempt.
  bool hasNewResponse = false;
  std::uint32_t requestsInFlight = 0;
  /// When the response to the latest request is expected, if the request is sent at once.
  TimePoint expectedResponse{};
  /// No request is sent before this time.
  TimePoint retryAt{};

private:
  /// Sorted by worker number.
  std::vector<CachedTicket> tickets;
  /// Workers named in a request, by number.
  std::vector<bool> isRequested;
  std::size_t requestedCount = 0;
};

}
