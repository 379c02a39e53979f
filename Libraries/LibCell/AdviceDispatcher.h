#pragma once

/// @file
/// Distributes requests to the policy service over the instances, since the service handles the
/// calls of one instance one at a time.

#include <LibBase/Time.h>
#include <LibCell/Ports.h>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace zinc::cell {

/// Limits of the distribution of requests.
struct AdviceDispatcherOptions
{
  /// Calls in flight per instance. One more than the service handles at a time, so that it never
  /// idles between two calls.
  std::uint32_t maxCallsPerInstance = 2;
  /// Calls expected to take longer are long calls.
  Milliseconds longCallThreshold{ 150 };
  /// Fraction of the instances that get no long calls, so that short ones never wait behind them.
  double shortOnlyFraction = 0.34;
  /// Pending requests per instance from which on the dispatcher counts as saturated.
  std::size_t saturatedBacklogPerInstance = 2;
  /// How long an instance gets no calls after one has failed. Doubles with each failure in a row.
  Milliseconds failureBackoff{ 1000 };
  Milliseconds maxFailureBackoff{ 8000 };
};

/// Queues requests by priority and sends each through the instance that is expected to be free
/// first.
class AdviceDispatcher
{
public:
  using ResponseHandler = Handler<AdviceResponse>;

  AdviceDispatcher(AdvicePort& aPort, AdviceDispatcherOptions aOptions = {});

  /// Sets the instances that can make calls.
  void SetInstances(const std::vector<std::string>& aInstances);

  /// Queues a request and sends what can be sent.
  /// @param aPriorityKey requests with a lower key are sent first
  void Submit(AdviceRequest aRequest,
              std::int64_t aPriorityKey,
              TimePoint aNow,
              ResponseHandler aHandler);

  /// Sends the pending requests for which an instance is free.
  void DispatchPending(TimePoint aNow);

  /// Removes requests that were not sent yet. Their handlers get an error.
  /// @param aIsObsolete returns true for a request to remove
  void CancelPending(const std::function<bool(const AdviceRequest&)>& aIsObsolete);

  /// @return the number of requests that were not sent yet.
  [[nodiscard]] std::size_t PendingCount() const
  {
    return this->shortRequests.size() + this->longRequests.size();
  }
  /// @return how many more long requests would be sent at once.
  [[nodiscard]] std::size_t CountFreeLongSlots() const;
  /// @return true if the backlog is so long that requests which are not urgent should not be added.
  /// Short and long requests have instances of their own, so that each count by themselves.
  /// @param aExpectedDuration of the request to add
  [[nodiscard]] bool IsSaturated(Milliseconds aExpectedDuration) const
  {
    const auto& queue = this->IsLong(aExpectedDuration) ? this->longRequests : this->shortRequests;
    return queue.size() >= this->options.saturatedBacklogPerInstance * this->instances.size();
  }

private:
  struct InstanceState
  {
    std::uint32_t callsInFlight = 0;
    std::uint32_t longCallsInFlight = 0;
    /// When its calls are expected to complete.
    TimePoint busyUntil{};
    TimePoint avoidUntil{};
    /// Failed calls since the last response.
    std::uint32_t failures = 0;

    [[nodiscard]] bool IsResponsive() const { return this->failures == 0; }
  };

  struct PendingRequest
  {
    AdviceRequest request;
    ResponseHandler handler;
  };

  [[nodiscard]] bool IsLong(Milliseconds aExpectedDuration) const
  {
    return aExpectedDuration > this->options.longCallThreshold;
  }
  /// @return how many responsive instances may have a long call in flight at the same time.
  [[nodiscard]] std::size_t MaxInstancesWithLongCall() const;
  /// @return how many responsive instances have a long call in flight.
  [[nodiscard]] std::size_t CountInstancesWithLongCall() const;
  /// @return true if the instance can take the request now
  [[nodiscard]] bool CanTake(const InstanceState& aState, bool aIsLong, TimePoint aNow) const;
  /// Notes the result of a call.
  void OnCallEnded(InstanceState& aState, bool aIsLong, bool aHasFailed);
  void DispatchQueue(std::multimap<std::int64_t, PendingRequest>& aQueue,
                     bool aIsLong,
                     TimePoint aNow);
  /// @return the instance that is expected to be free first, or the end if none can take the
  /// request.
  [[nodiscard]] std::map<std::string, InstanceState>::iterator ChooseInstance(bool aIsLong,
                                                                              TimePoint aNow);
  void Send(std::map<std::string, InstanceState>::iterator aInstance,
            PendingRequest aPending,
            TimePoint aNow);

  AdvicePort& port;
  AdviceDispatcherOptions options;
  std::map<std::string, InstanceState> instances;
  using Queue = std::multimap<std::int64_t, PendingRequest>;
  /// Two queues, so that neither is scanned for a request of the other kind.
  Queue shortRequests;
  Queue longRequests;
  /// Lets response handlers notice that the dispatcher is gone.
  std::shared_ptr<bool> livenessToken = std::make_shared<bool>(true);
  /// Time of the last call of @ref DispatchPending, for responses, which carry no time.
  TimePoint lastCallTime{};
};

}
