#pragma once

/// @file
/// Spreads questions to the policy service over the instances, since it serves each caller one call
/// at a time.

#include <LibBase/Time.h>
#include <LibCell/Ports.h>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace zinc::cell {

/// How questions are spread.
struct AdviceDispatcherOptions
{
  /// Calls sent to the service by one instance and not answered; one more than it serves, so that
  /// the service is never idle for lack of the next question.
  std::uint32_t callsPerInstance = 2;
  /// Calls expected to take longer are kept from a part of the instances.
  Milliseconds longCall{ 150 };
  /// Part of the instances that take no long calls, so that short ones never wait behind them.
  double shortOnlyPart = 0.34;
  /// Questions that wait for each instance before the dispatcher counts as crowded.
  std::size_t waitingPerInstance = 2;
  /// An instance whose call failed gets none for this long.
  Milliseconds avoidAfterFailure{ 1000 };
};

/// Queues questions by urgency and sends each through the instance that is free first.
class AdviceDispatcher
{
public:
  using Answer = Handler<AdviceResponse>;

  AdviceDispatcher(AdvicePort& aPort, AdviceDispatcherOptions aOptions = {});

  /// Names the instances that can make calls.
  void SetInstances(const std::vector<std::string>& aInstances);

  /// @param aUrgency questions with a lower value go first
  void Ask(AdviceRequest aQuestion, std::int64_t aUrgency, TimePoint aNow, Answer aHandler);

  /// Sends what can be sent.
  void Pump(TimePoint aNow);

  [[nodiscard]] std::size_t Waiting() const
  {
    return this->shortOnes.size() + this->longOnes.size();
  }
  /// @return the long questions that would be sent at once.
  [[nodiscard]] std::size_t IdleForLong() const;
  /// @return true if a question that is not urgent would only wait with many others.
  [[nodiscard]] bool IsCrowded() const
  {
    return this->Waiting() >= this->options.waitingPerInstance * this->callers.size();
  }

private:
  struct Caller
  {
    std::uint32_t open = 0;
    std::uint32_t openLong = 0;
    TimePoint busyUntil{};
    TimePoint avoidUntil{};
  };

  struct Entry
  {
    AdviceRequest question;
    Answer handler;
  };

  [[nodiscard]] bool IsLong(const AdviceRequest& aQuestion) const
  {
    return aQuestion.expectedDuration > this->options.longCall;
  }
  /// @return the instances that may be busy with a long call at the same time.
  [[nodiscard]] std::size_t MostWithLong() const;
  [[nodiscard]] std::size_t WithLong() const;
  void PumpQueue(std::multimap<std::int64_t, Entry>& aQueue, bool aIsLong, TimePoint aNow);
  /// @return the caller that is free first, or the end if none may take the question.
  [[nodiscard]] std::map<std::string, Caller>::iterator Choose(bool aIsLong, TimePoint aNow);
  void Send(std::map<std::string, Caller>::iterator aCaller, Entry aEntry, TimePoint aNow);

  AdvicePort& port;
  AdviceDispatcherOptions options;
  std::map<std::string, Caller> callers;
  using Queue = std::multimap<std::int64_t, Entry>;
  /// Long and short calls wait apart, so that neither is looked through for the other.
  Queue shortOnes;
  Queue longOnes;
  /// Tells answers that arrive after the dispatcher is gone.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
  /// Time of the newest call, for answers that carry none.
  TimePoint now{};
};

}
