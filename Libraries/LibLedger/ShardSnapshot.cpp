#include <LibLedger/JsonArray.h>
#include <LibLedger/RecordJson.h>
#include <LibLedger/ShardSnapshot.h>

namespace zinc {

namespace {

using detail::JsonArrayReader;
using detail::JsonArrayWriter;

constexpr std::size_t kTaskStateCount = 6;
constexpr std::size_t kRunStateCount = 3;

Json::Value
OutcomeToJson(const AttemptOutcome& aOutcome)
{
  return JsonArrayWriter()
    .Number64(aOutcome.state)
    .Number64(aOutcome.run)
    .Text(aOutcome.result)
    .Take();
}

std::optional<AttemptOutcome>
OutcomeFromJson(const Json::Value& aValue)
{
  JsonArrayReader reader(aValue);
  AttemptOutcome outcome;
  outcome.state = reader.Enumerator<TaskState>(kTaskStateCount);
  outcome.run = reader.Enumerator<RunState>(kRunStateCount);
  outcome.result = reader.Text();
  return reader.IsValid() ? std::optional(outcome) : std::nullopt;
}

Json::Value
TaskToJson(const LedgerTask& aTask)
{
  JsonArrayWriter writer;
  writer.Number64(aTask.attempt)
    .Text(aTask.worker.value)
    .Number64(aTask.term)
    .Number64(aTask.epoch)
    .Nested(aTask.outcome ? OutcomeToJson(*aTask.outcome) : Json::Value())
    .Text(aTask.progress);
  if (aTask.lostWorkers > 0) {
    writer.Number64(aTask.lostWorkers);
  }
  return writer.Take();
}

std::optional<LedgerTask>
TaskFromJson(const Json::Value& aValue)
{
  JsonArrayReader reader(aValue);
  LedgerTask task;
  task.attempt = reader.Number64<std::uint32_t>();
  task.worker.value = reader.Text();
  task.term = reader.Number64<LeaseTerm>();
  task.epoch = reader.Number64<DriverEpoch>();
  const Json::Value& outcome = reader.Nested();
  task.progress = reader.Text();
  task.lostWorkers = reader.HasMore() ? reader.Number64<std::uint32_t>() : 0;
  if (!outcome.isNull()) {
    task.outcome = OutcomeFromJson(outcome);
    if (!task.outcome) {
      return {};
    }
  }
  return reader.IsValid() ? std::optional(task) : std::nullopt;
}

Json::Value
JobToJson(const LedgerJob& aJob)
{
  JsonArrayWriter tasks;
  for (const LedgerTask& task : aJob.tasks) {
    tasks.Nested(TaskToJson(task));
  }
  return JsonArrayWriter()
    .Nested(detail::RecordToJson(aJob.accepted))
    .Number64(aJob.isCancelled)
    .Nested(aJob.ended ? detail::RecordToJson(*aJob.ended) : Json::Value())
    .Nested(tasks.Take())
    .Take();
}

bool
ReadTasks(const Json::Value& aValue, LedgerJob& aJob)
{
  if (!aValue.isArray()) {
    return false;
  }
  for (const Json::Value& value : aValue) {
    auto task = TaskFromJson(value);
    if (!task) {
      return false;
    }
    aJob.tasks.push_back(std::move(*task));
  }
  return true;
}

/// Reads a nested record of one kind. @return false if there is none of it.
template<typename Kind>
bool
ReadRecord(const Json::Value& aValue, Kind& aTarget)
{
  auto record = detail::RecordFromJson(aValue);
  if (!record || !std::holds_alternative<Kind>(*record)) {
    return false;
  }
  aTarget = std::get<Kind>(std::move(*record));
  return true;
}

std::optional<LedgerJob>
JobFromJson(const Json::Value& aValue)
{
  JsonArrayReader reader(aValue);
  LedgerJob job;
  if (!ReadRecord(reader.Nested(), job.accepted)) {
    return {};
  }
  job.isCancelled = reader.Number64<std::uint32_t>() != 0;
  const Json::Value& ended = reader.Nested();
  if (!ended.isNull() && !ReadRecord(ended, job.ended.emplace())) {
    return {};
  }
  if (!ReadTasks(reader.Nested(), job) || !reader.IsValid()) {
    return {};
  }
  return job;
}

std::optional<ShardImage>
ImageFromJson(const Json::Value& aValue)
{
  JsonArrayReader reader(aValue);
  ShardImage image;
  const Json::Value& drivers = reader.Nested();
  const Json::Value& writers = reader.Nested();
  const Json::Value& jobs = reader.Nested();
  if (!reader.IsValid() || !drivers.isArray() || !writers.isArray() || !jobs.isArray()) {
    return {};
  }
  for (const Json::Value& value : drivers) {
    if (!ReadRecord(value, image.drivers.emplace_back())) {
      return {};
    }
  }
  for (const Json::Value& value : writers) {
    JsonArrayReader mark(value);
    WriterMark writer;
    writer.writer.value = mark.Text();
    writer.batch = mark.Text();
    if (!mark.IsValid()) {
      return {};
    }
    image.writers.push_back(std::move(writer));
  }
  for (const Json::Value& value : jobs) {
    auto job = JobFromJson(value);
    if (!job) {
      return {};
    }
    image.jobs.push_back(std::move(*job));
  }
  return image;
}

}

std::string
EncodeSnapshot(const ShardImage& aImage)
{
  JsonArrayWriter writers;
  for (const WriterMark& mark : aImage.writers) {
    writers.Nested(JsonArrayWriter().Text(mark.writer.value).Text(mark.batch).Take());
  }
  JsonArrayWriter jobs;
  for (const LedgerJob& job : aImage.jobs) {
    jobs.Nested(JobToJson(job));
  }
  JsonArrayWriter drivers;
  for (const DriverRecord& driver : aImage.drivers) {
    drivers.Nested(detail::RecordToJson(driver));
  }
  return detail::WriteJson(
    JsonArrayWriter().Nested(drivers.Take()).Nested(writers.Take()).Nested(jobs.Take()).Take());
}

Result<ShardImage>
DecodeSnapshot(std::string_view aContent)
{
  const auto json = detail::ReadJson(aContent);
  auto image = json ? ImageFromJson(*json) : std::nullopt;
  if (!image) {
    return NotRun(ErrorCode::Internal, "malformed ledger snapshot");
  }
  return std::move(*image);
}

}
