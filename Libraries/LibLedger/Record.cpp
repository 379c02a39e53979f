#include <LibLedger/Record.h>

#include <charconv>

namespace zinc {

namespace {

constexpr char kTaskSeparator = '.';

struct JobFinder
{
  const JobId* operator()(const DriverRecord&) const { return nullptr; }
  const JobId* operator()(const RetiredRecord&) const { return nullptr; }

  template<typename JobRecord>
  const JobId* operator()(const JobRecord& aRecord) const
  {
    return &aRecord.job;
  }
};

}

const JobId*
JobOf(const Record& aRecord)
{
  return std::visit(JobFinder{}, aRecord);
}

TaskId
TaskIdOf(const JobId& aJob, TaskIndex aTask)
{
  return { aJob.value + kTaskSeparator + std::to_string(aTask) };
}

std::optional<TaskAddress>
ParseTaskId(const TaskId& aId)
{
  const auto separator = aId.value.rfind(kTaskSeparator);
  if (separator == std::string::npos) {
    return {};
  }
  TaskAddress address{ .job = { aId.value.substr(0, separator) } };
  const char* const end = aId.value.data() + aId.value.size();
  const char* const digits = aId.value.data() + separator + 1;
  const auto [stop, error] = std::from_chars(digits, end, address.task);
  if (error != std::errc{} || stop != end) {
    return {};
  }
  return address;
}

}
