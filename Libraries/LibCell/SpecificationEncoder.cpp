#include <LibCell/Records.h>

#include <LibCell/StepFlags.h>
#include <LibPlatform/JsonArena.h>

namespace zinc::cell {

namespace {

namespace json = boost::json;

json::array
Encode(const Resources& aAmount, const json::storage_ptr& aStorage)
{
  return json::array({ aAmount.milliCores, aAmount.memoryMiB, aAmount.accelerators }, aStorage);
}

json::object
Encode(const QueuePolicy& aQueue, const json::storage_ptr& aStorage)
{
  json::object value(aStorage);
  value["name"] = aQueue.name.value;
  value["pool"] = aQueue.pool;
  value["priority"] = aQueue.priority;
  value["attempts"] = aQueue.maxAttempts;
  value["stretch"] = aQueue.stretch;
  value["slack"] = aQueue.slack.count();
  if (aQueue.needsAdvice) {
    value["advice"] = json::array(
      { aQueue.advice.baseMs, aQueue.advice.perWorkerMs, aQueue.advice.ticketValidity.count() },
      aStorage);
  }
  return value;
}

std::uint32_t
FlagsOf(const StepSpecification& aStep)
{
  return (aStep.hasCheckpoints ? detail::Checkpoints : 0U) | (aStep.isGang ? detail::Gang : 0U) |
         (aStep.prefersSameRack ? detail::OneRack : 0U) |
         (aStep.canSpeculate ? detail::Speculate : 0U) | (aStep.isService ? detail::Service : 0U) |
         (aStep.isBestEffort ? detail::BestEffort : 0U) |
         (aStep.hasAvailabilityBudget ? detail::AvailabilityBudget : 0U);
}

json::object
Encode(const StepSpecification& aStep, const json::storage_ptr& aStorage)
{
  json::object value(aStorage);
  value["count"] = aStep.count;
  value["demand"] = Encode(aStep.demand, aStorage);
  value["estimate"] = aStep.estimate.count();
  if (!aStep.dependsOn.empty()) {
    json::array after(aStorage);
    after.reserve(aStep.dependsOn.size());
    for (const auto step : aStep.dependsOn) {
      after.emplace_back(step);
    }
    value["after"] = std::move(after);
  }
  value["flags"] = FlagsOf(aStep);
  value["label"] = aStep.requiredLabel;
  value["rack"] = aStep.dataRack;
  value["image"] = aStep.image;
  value["spread"] = aStep.maxTasksPerWorker;
  value["tail"] = aStep.tailLatencyTarget.count();
  value["away"] = aStep.availabilityBudget;
  return value;
}

}

std::string
EncodeSpecification(const JobSpecification& aSpec)
{
  JsonArena arena;
  const auto storage = arena.Storage();
  json::object value(storage);
  value["workspace"] = aSpec.workspace.value;
  value["queue"] = Encode(aSpec.queue, storage);
  value["payload"] = aSpec.payload;
  if (!aSpec.steps.empty()) {
    json::array steps(storage);
    steps.reserve(aSpec.steps.size());
    for (const auto& step : aSpec.steps) {
      steps.emplace_back(Encode(step, storage));
    }
    value["steps"] = std::move(steps);
  }
  value["occurrences"] = aSpec.occurrences;
  value["due"] = aSpec.firstDue.time_since_epoch().count();
  value["interval"] = aSpec.interval.count();
  value["received"] = aSpec.received.time_since_epoch().count();
  return WriteJson(json::value(std::move(value)));
}

}
