#include <LibCell/Records.h>

#include <LibPlatform/JsonArena.h>

namespace zinc::cell {

namespace {

namespace json = boost::json;

json::array
EncodeRuns(const std::set<std::uint64_t>& aRuns, const json::storage_ptr& aStorage)
{
  json::array runs(aStorage);
  for (const auto run : aRuns) {
    runs.emplace_back(run);
  }
  return runs;
}

json::array
EncodeKey(const TaskKey& aKey, const json::storage_ptr& aStorage)
{
  return json::array({ aKey.occurrence, aKey.step, aKey.index }, aStorage);
}

/// @return the form of a recorded start that @ref DecodeProgress reads
json::array
EncodeRecordedStart(const RecordedStart& aStart, const json::storage_ptr& aStorage)
{
  return json::array({ aStart.run, aStart.worker.value, aStart.machine, aStart.incarnation },
                     aStorage);
}

json::array
EncodeTask(const TaskRecord& aTask, const json::storage_ptr& aStorage)
{
  auto entry = EncodeKey(aTask.key, aStorage);
  entry.emplace_back(aTask.hasSucceeded);
  entry.emplace_back(aTask.checkpoint);
  entry.emplace_back(EncodeRuns(aTask.failedRuns, aStorage));
  if (!aTask.crashedRuns.empty() || !aTask.rackLossRuns.empty() || aTask.recordedStart) {
    entry.emplace_back(EncodeRuns(aTask.crashedRuns, aStorage));
    entry.emplace_back(EncodeRuns(aTask.blamedRuns, aStorage));
    entry.emplace_back(EncodeRuns(aTask.rackLossRuns, aStorage));
  }
  if (aTask.recordedStart) {
    entry.emplace_back(EncodeRecordedStart(*aTask.recordedStart, aStorage));
  }
  return entry;
}

}

std::string
EncodeProgress(const ProgressRecord& aRecord)
{
  JsonArena arena;
  const auto storage = arena.Storage();
  json::object value(storage);
  value["occurrences"] = aRecord.occurrencesSucceeded;
  value["outcome"] = static_cast<std::uint32_t>(aRecord.outcome);
  value["started"] = aRecord.hasStarted;
  if (!aRecord.succeededSteps.empty()) {
    json::array steps(storage);
    for (const auto& step : aRecord.succeededSteps) {
      steps.emplace_back(EncodeKey(step, storage));
    }
    value["steps"] = std::move(steps);
  }
  if (!aRecord.startedSteps.empty()) {
    json::array steps(storage);
    for (const auto& step : aRecord.startedSteps) {
      steps.emplace_back(EncodeKey(step, storage));
    }
    value["started_steps"] = std::move(steps);
  }
  if (!aRecord.tasks.empty()) {
    json::array tasks(storage);
    tasks.reserve(aRecord.tasks.size());
    for (const auto& task : aRecord.tasks) {
      tasks.emplace_back(EncodeTask(task, storage));
    }
    value["tasks"] = std::move(tasks);
  }
  return WriteJson(json::value(std::move(value)));
}

}
