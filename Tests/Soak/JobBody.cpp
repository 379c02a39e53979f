#include <Soak/JobBody.h>

#include <LibPlatform/Json.h>
#include <json/json.h>

namespace zinc::soak {

namespace {

void
SetAmount(Json::Value& aObject, const char* aName, std::int64_t aAmount)
{
  if (aAmount != 0) {
    aObject[aName] = Json::Int64(aAmount);
  }
}

}

std::string
WriteJobBody(const JobBody& aJob)
{
  Json::Value body(Json::objectValue);
  body["Spec"] = "{}";
  SetAmount(body, "Times", aJob.occurrences);
  SetAmount(body, "IntervalMs", aJob.intervalMs);
  for (const auto& step : aJob.steps) {
    Json::Value value(Json::objectValue);
    value["Count"] = step.tasks;
    SetAmount(value, "Cpu", step.milliCores);
    SetAmount(value, "MemMb", step.memoryMiB);
    SetAmount(value, "EstimateMs", step.estimateMs);
    body["Phases"].append(value);
  }
  return WriteJson(body);
}

}
