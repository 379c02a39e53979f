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
  const std::set<std::string> current(aInstances.begin(), aInstances.end());
  std::erase_if(this->instances, [&current](const auto& aEntry) {
    return !current.contains(aEntry.first) && aEntry.second.callsInFlight == 0;
  });
  for (const auto& name : current) {
    this->instances.try_emplace(name);
  }
}

void
AdviceDispatcher::Submit(AdviceRequest aRequest,
                         std::int64_t aPriorityKey,
                         TimePoint aNow,
                         ResponseHandler aHandler)
{
  auto& queue = this->IsLong(aRequest.expectedDuration) ? this->longRequests : this->shortRequests;
  queue.emplace(aPriorityKey,
                PendingRequest{ .request = std::move(aRequest), .handler = std::move(aHandler) });
  this->DispatchPending(aNow);
}

void
AdviceDispatcher::DispatchPending(TimePoint aNow)
{
  this->lastCallTime = aNow;
  this->DispatchQueue(this->shortRequests, false, aNow);
  this->DispatchQueue(this->longRequests, true, aNow);
}

void
AdviceDispatcher::DispatchQueue(Queue& aQueue, bool aIsLong, TimePoint aNow)
{
  while (!aQueue.empty()) {
    const auto instance = this->ChooseInstance(aIsLong, aNow);
    if (instance == this->instances.end()) {
      return;
    }
    auto pending = std::move(aQueue.begin()->second);
    aQueue.erase(aQueue.begin());
    this->Send(instance, std::move(pending), aNow);
  }
}

void
AdviceDispatcher::CancelPending(const std::function<bool(const AdviceRequest&)>& aIsObsolete)
{
  std::vector<ResponseHandler> handlers;
  for (auto* queue : { &this->shortRequests, &this->longRequests }) {
    std::erase_if(*queue, [&](auto& aEntry) {
      const bool isObsolete = aIsObsolete(aEntry.second.request);
      if (isObsolete) {
        handlers.push_back(std::move(aEntry.second.handler));
      }
      return isObsolete;
    });
  }
  // A handler may submit the next request.
  for (const auto& handler : handlers) {
    handler(
      NotRun(ErrorCode::Unavailable, "The request was cancelled, since its workers get no tasks."));
  }
}

std::size_t
AdviceDispatcher::MaxInstancesWithLongCall() const
{
  // Instances that cannot be reached serve no short calls, so they do not count as kept free.
  const auto responsive = static_cast<std::size_t>(std::ranges::count_if(
    this->instances, [](const auto& aEntry) { return aEntry.second.IsResponsive(); }));
  const auto shortOnly =
    static_cast<std::size_t>(static_cast<double>(responsive) * this->options.shortOnlyFraction);
  return std::max<std::size_t>(1, responsive) - shortOnly;
}

std::size_t
AdviceDispatcher::CountInstancesWithLongCall() const
{
  return static_cast<std::size_t>(std::ranges::count_if(this->instances, [](const auto& aEntry) {
    return aEntry.second.IsResponsive() && aEntry.second.longCallsInFlight > 0;
  }));
}

std::size_t
AdviceDispatcher::CountFreeLongSlots() const
{
  const auto usedSlots = this->CountInstancesWithLongCall() + this->longRequests.size();
  const auto maxSlots = this->MaxInstancesWithLongCall();
  return usedSlots < maxSlots ? maxSlots - usedSlots : 0;
}

bool
AdviceDispatcher::CanTake(const InstanceState& aState, bool aIsLong, TimePoint aNow) const
{
  if (aState.avoidUntil > aNow) {
    return false;
  }
  // A single call shows whether an instance responds again.
  if (!aState.IsResponsive()) {
    return aState.callsInFlight == 0;
  }
  // No call is sent to an instance with a long call in flight, and no long call to one with any
  // call in flight: another instance is free sooner.
  return aState.callsInFlight < this->options.maxCallsPerInstance &&
         aState.longCallsInFlight == 0 && (!aIsLong || aState.callsInFlight == 0);
}

std::map<std::string, AdviceDispatcher::InstanceState>::iterator
AdviceDispatcher::ChooseInstance(bool aIsLong, TimePoint aNow)
{
  if (aIsLong && this->CountInstancesWithLongCall() >= this->MaxInstancesWithLongCall()) {
    return this->instances.end();
  }
  auto best = this->instances.end();
  for (auto instance = this->instances.begin(); instance != this->instances.end(); ++instance) {
    if (!this->CanTake(instance->second, aIsLong, aNow)) {
      continue;
    }
    if (best == this->instances.end() ||
        std::max(instance->second.busyUntil, aNow) < std::max(best->second.busyUntil, aNow)) {
      best = instance;
    }
  }
  return best;
}

void
AdviceDispatcher::OnCallEnded(InstanceState& aState, bool aIsLong, bool aHasFailed)
{
  --aState.callsInFlight;
  aState.longCallsInFlight -= aIsLong ? 1 : 0;
  if (aState.callsInFlight == 0) {
    aState.busyUntil = {};
  }
  if (!aHasFailed) {
    aState.failures = 0;
    return;
  }
  // Calls that were in flight together fail together.
  if (aState.avoidUntil > this->lastCallTime) {
    return;
  }
  constexpr std::uint32_t kMaxDoublings = 10;
  const auto doublings = std::min(aState.failures++, kMaxDoublings);
  aState.avoidUntil =
    this->lastCallTime + std::min(this->options.failureBackoff * (std::int64_t{ 1 } << doublings),
                                  this->options.maxFailureBackoff);
}

void
AdviceDispatcher::Send(std::map<std::string, InstanceState>::iterator aInstance,
                       PendingRequest aPending,
                       TimePoint aNow)
{
  auto& state = aInstance->second;
  const bool isLong = this->IsLong(aPending.request.expectedDuration);
  ++state.callsInFlight;
  state.longCallsInFlight += isLong ? 1 : 0;
  state.busyUntil = std::max(state.busyUntil, aNow) + aPending.request.expectedDuration;
  const std::string name = aInstance->first;
  this->port.RequestAdvice(
    name,
    std::move(aPending.request),
    [this,
     guard = std::weak_ptr<bool>(this->livenessToken),
     name,
     isLong,
     handler = std::move(aPending.handler)](Result<AdviceResponse> aResponse) {
      if (guard.expired()) {
        return;
      }
      const auto found = this->instances.find(name);
      if (found != this->instances.end()) {
        this->OnCallEnded(found->second, isLong, IsError(aResponse));
      }
      handler(std::move(aResponse));
    });
}

}
