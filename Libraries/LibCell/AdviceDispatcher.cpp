#include <LibCell/AdviceDispatcher.h>

#include <algorithm>

namespace zinc::cell {

AdviceDispatcher::AdviceDispatcher(AdvicePort& aPort, AdviceDispatcherOptions aOptions)
  : port(aPort)
  , options(aOptions)
{
}

void
AdviceDispatcher::SetInstances(const std::vector<std::string>& aInstances)
{
  const std::set<std::string> named(aInstances.begin(), aInstances.end());
  std::erase_if(this->callers, [&named](const auto& aEntry) {
    return !named.contains(aEntry.first) && aEntry.second.open == 0;
  });
  for (const auto& instance : named) {
    this->callers.try_emplace(instance);
  }
}

void
AdviceDispatcher::Ask(AdviceRequest aQuestion,
                      std::int64_t aUrgency,
                      TimePoint aNow,
                      Answer aHandler)
{
  auto& queue = this->IsLong(aQuestion) ? this->longOnes : this->shortOnes;
  queue.emplace(aUrgency,
                Entry{ .question = std::move(aQuestion), .handler = std::move(aHandler) });
  this->Pump(aNow);
}

void
AdviceDispatcher::Pump(TimePoint aNow)
{
  this->now = aNow;
  this->PumpQueue(this->shortOnes, false, aNow);
  this->PumpQueue(this->longOnes, true, aNow);
}

void
AdviceDispatcher::PumpQueue(Queue& aQueue, bool aIsLong, TimePoint aNow)
{
  while (!aQueue.empty()) {
    const auto caller = this->Choose(aIsLong, aNow);
    if (caller == this->callers.end()) {
      return;
    }
    auto taken = std::move(aQueue.begin()->second);
    aQueue.erase(aQueue.begin());
    this->Send(caller, std::move(taken), aNow);
  }
}

std::size_t
AdviceDispatcher::MostWithLong() const
{
  const auto reserved = static_cast<std::size_t>(static_cast<double>(this->callers.size()) *
                                                 this->options.shortOnlyPart);
  return std::max<std::size_t>(1, this->callers.size()) - reserved;
}

std::size_t
AdviceDispatcher::WithLong() const
{
  return static_cast<std::size_t>(std::ranges::count_if(
    this->callers, [](const auto& aEntry) { return aEntry.second.openLong > 0; }));
}

std::size_t
AdviceDispatcher::IdleForLong() const
{
  const auto taken = this->WithLong() + this->longOnes.size();
  const auto most = this->MostWithLong();
  return taken < most ? most - taken : 0;
}

std::map<std::string, AdviceDispatcher::Caller>::iterator
AdviceDispatcher::Choose(bool aIsLong, TimePoint aNow)
{
  if (aIsLong && this->WithLong() >= this->MostWithLong()) {
    return this->callers.end();
  }
  auto best = this->callers.end();
  for (auto caller = this->callers.begin(); caller != this->callers.end(); ++caller) {
    const auto& state = caller->second;
    // No call waits behind a long one, and a long one behind none: another instance is free sooner.
    const bool isFull = state.open >= this->options.callsPerInstance || state.openLong > 0 ||
                        (aIsLong && state.open > 0);
    if (isFull || state.avoidUntil > aNow) {
      continue;
    }
    if (best == this->callers.end() ||
        std::max(state.busyUntil, aNow) < std::max(best->second.busyUntil, aNow)) {
      best = caller;
    }
  }
  return best;
}

void
AdviceDispatcher::Send(std::map<std::string, Caller>::iterator aCaller,
                       Entry aEntry,
                       TimePoint aNow)
{
  auto& state = aCaller->second;
  const bool isLong = this->IsLong(aEntry.question);
  ++state.open;
  state.openLong += isLong ? 1 : 0;
  state.busyUntil = std::max(state.busyUntil, aNow) + aEntry.question.expectedDuration;
  const std::string instance = aCaller->first;
  this->port.RequestAdvice(instance,
                           std::move(aEntry.question),
                           [this,
                            guard = std::weak_ptr<bool>(this->alive),
                            instance,
                            isLong,
                            handler = std::move(aEntry.handler)](Result<AdviceResponse> aAnswer) {
                             if (guard.expired()) {
                               return;
                             }
                             const auto caller = this->callers.find(instance);
                             if (caller != this->callers.end()) {
                               --caller->second.open;
                               caller->second.openLong -= isLong ? 1 : 0;
                               if (caller->second.open == 0) {
                                 caller->second.busyUntil = {};
                               }
                               if (IsError(aAnswer)) {
                                 caller->second.avoidUntil =
                                   this->now + this->options.avoidAfterFailure;
                               }
                             }
                             handler(std::move(aAnswer));
                           });
}

}
