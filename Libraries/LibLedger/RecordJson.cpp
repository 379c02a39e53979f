#include <LibLedger/JsonArray.h>
#include <LibLedger/RecordJson.h>

#include <array>

namespace zinc::detail {

namespace {

constexpr std::size_t kUrgencyCount = 2;
constexpr std::size_t kIdempotenceCount = 2;
constexpr std::size_t kTaskStateCount = 6;
constexpr std::size_t kRunStateCount = 3;
constexpr std::int64_t kNoDeadline = -1;

std::int64_t
ToNumber(WallTime aTime)
{
  return aTime.time_since_epoch().count();
}

WallTime
ReadTime(JsonArrayReader& aReader)
{
  return WallTime(Milliseconds(aReader.Number64<std::int64_t>()));
}

std::optional<WallTime>
ReadDeadline(JsonArrayReader& aReader)
{
  const auto number = aReader.Number64<std::int64_t>();
  if (number == kNoDeadline) {
    return {};
  }
  return WallTime(Milliseconds(number));
}

Resources
ReadResources(JsonArrayReader& aReader)
{
  Resources resources;
  resources.milliCores = aReader.Number64<std::int64_t>();
  resources.memoryMiB = aReader.Number64<std::int64_t>();
  resources.accelerators = aReader.Number64<std::int64_t>();
  resources.slots = aReader.Number64<std::int64_t>();
  return resources;
}

struct Writer
{
  Json::Value operator()(const AcceptedRecord& aRecord) const
  {
    return JsonArrayWriter()
      .Text("A")
      .Text(aRecord.job.value)
      .Text(aRecord.request.value)
      .Text(aRecord.team.value)
      .Text(aRecord.queue.value)
      .Text(aRecord.zone.value)
      .Text(aRecord.acceptedBy.value)
      .Number64(ToNumber(aRecord.acceptedAt))
      .Text(aRecord.bodyHash)
      .Number64(aRecord.tasks)
      .Number64(aRecord.workClass)
      .Number64(aRecord.urgency)
      .Number64(aRecord.idempotence)
      .Number64(aRecord.resources.milliCores)
      .Number64(aRecord.resources.memoryMiB)
      .Number64(aRecord.resources.accelerators)
      .Number64(aRecord.resources.slots)
      .Number64(aRecord.expectedRun.count())
      .Number64(aRecord.deadline ? ToNumber(*aRecord.deadline) : kNoDeadline)
      .Text(aRecord.payload)
      .Take();
  }

  Json::Value operator()(const AttemptRecord& aRecord) const
  {
    return JsonArrayWriter()
      .Text("T")
      .Text(aRecord.job.value)
      .Number64(aRecord.task)
      .Number64(aRecord.attempt)
      .Text(aRecord.worker.value)
      .Number64(aRecord.term)
      .Number64(aRecord.epoch)
      .Take();
  }

  Json::Value operator()(const OutcomeRecord& aRecord) const
  {
    JsonArrayWriter writer;
    writer.Text("O")
      .Text(aRecord.job.value)
      .Number64(aRecord.task)
      .Number64(aRecord.attempt)
      .Number64(aRecord.epoch)
      .Number64(aRecord.state)
      .Number64(aRecord.run)
      .Text(aRecord.result)
      .Text(aRecord.progress);
    if (aRecord.isWorkerLost) {
      writer.Number64(1);
    }
    return writer.Take();
  }

  Json::Value operator()(const JobEndedRecord& aRecord) const
  {
    return JsonArrayWriter()
      .Text("E")
      .Text(aRecord.job.value)
      .Number64(aRecord.epoch)
      .Number64(aRecord.end)
      .Number64(aRecord.run)
      .Number64(ToNumber(aRecord.endedAt))
      .Text(aRecord.result)
      .Take();
  }

  Json::Value operator()(const CancelledRecord& aRecord) const
  {
    return JsonArrayWriter().Text("C").Text(aRecord.job.value).Take();
  }

  Json::Value operator()(const DriverRecord& aRecord) const
  {
    return JsonArrayWriter()
      .Text("D")
      .Text(aRecord.zone.value)
      .Text(aRecord.entry.value)
      .Number64(aRecord.epoch)
      .Take();
  }

  Json::Value operator()(const RetiredRecord& aRecord) const
  {
    return JsonArrayWriter()
      .Text("R")
      .Number64(ToNumber(aRecord.endedUpTo))
      .Number64(aRecord.epoch)
      .Take();
  }
};

Record
ReadAccepted(JsonArrayReader& aReader)
{
  AcceptedRecord record;
  record.job.value = aReader.Text();
  record.request.value = aReader.Text();
  record.team.value = aReader.Text();
  record.queue.value = aReader.Text();
  record.zone.value = aReader.Text();
  record.acceptedBy.value = aReader.Text();
  record.acceptedAt = ReadTime(aReader);
  record.bodyHash = aReader.Text();
  record.tasks = aReader.Number64<std::uint32_t>();
  record.workClass = aReader.Enumerator<WorkClass>(kWorkClassCount);
  record.urgency = aReader.Enumerator<Urgency>(kUrgencyCount);
  record.idempotence = aReader.Enumerator<Idempotence>(kIdempotenceCount);
  record.resources = ReadResources(aReader);
  record.expectedRun = Milliseconds(aReader.Number64<std::int64_t>());
  record.deadline = ReadDeadline(aReader);
  record.payload = aReader.Text();
  return record;
}

Record
ReadAttempt(JsonArrayReader& aReader)
{
  AttemptRecord record;
  record.job.value = aReader.Text();
  record.task = aReader.Number64<TaskIndex>();
  record.attempt = aReader.Number64<std::uint32_t>();
  record.worker.value = aReader.Text();
  record.term = aReader.Number64<LeaseTerm>();
  record.epoch = aReader.Number64<DriverEpoch>();
  return record;
}

Record
ReadOutcome(JsonArrayReader& aReader)
{
  OutcomeRecord record;
  record.job.value = aReader.Text();
  record.task = aReader.Number64<TaskIndex>();
  record.attempt = aReader.Number64<std::uint32_t>();
  record.epoch = aReader.Number64<DriverEpoch>();
  record.state = aReader.Enumerator<TaskState>(kTaskStateCount);
  record.run = aReader.Enumerator<RunState>(kRunStateCount);
  record.result = aReader.Text();
  record.progress = aReader.Text();
  record.isWorkerLost = aReader.HasMore() && aReader.Number64<std::uint32_t>() != 0;
  return record;
}

Record
ReadJobEnded(JsonArrayReader& aReader)
{
  JobEndedRecord record;
  record.job.value = aReader.Text();
  record.epoch = aReader.Number64<DriverEpoch>();
  record.end = aReader.Enumerator<JobEnd>(kJobEndCount);
  record.run = aReader.Enumerator<RunState>(kRunStateCount);
  record.endedAt = ReadTime(aReader);
  record.result = aReader.Text();
  return record;
}

Record
ReadCancelled(JsonArrayReader& aReader)
{
  return CancelledRecord{ .job = { aReader.Text() } };
}

Record
ReadDriver(JsonArrayReader& aReader)
{
  DriverRecord record;
  record.zone.value = aReader.Text();
  record.entry.value = aReader.Text();
  record.epoch = aReader.Number64<DriverEpoch>();
  return record;
}

Record
ReadRetired(JsonArrayReader& aReader)
{
  RetiredRecord record;
  record.endedUpTo = ReadTime(aReader);
  record.epoch = aReader.Number64<DriverEpoch>();
  return record;
}

struct KindReader
{
  std::string_view kind;
  Record (*read)(JsonArrayReader& aReader);
};

constexpr std::array kKindReaders = {
  KindReader{ "A", ReadAccepted }, KindReader{ "T", ReadAttempt },   KindReader{ "O", ReadOutcome },
  KindReader{ "E", ReadJobEnded }, KindReader{ "C", ReadCancelled }, KindReader{ "D", ReadDriver },
  KindReader{ "R", ReadRetired },
};

}

Json::Value
RecordToJson(const Record& aRecord)
{
  return std::visit(Writer{}, aRecord);
}

std::optional<Record>
RecordFromJson(const Json::Value& aValue)
{
  JsonArrayReader reader(aValue);
  const std::string kind = reader.Text();
  for (const KindReader& candidate : kKindReaders) {
    if (candidate.kind != kind) {
      continue;
    }
    Record record = candidate.read(reader);
    if (!reader.IsValid()) {
      return {};
    }
    return record;
  }
  return {};
}

}
