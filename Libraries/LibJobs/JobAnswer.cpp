#include <LibJobs/JobAnswer.h>

#include <LibJobs/Submission.h>
#include <LibPlatform/Codec.h>
#include <LibPlatform/Json.h>
#include <array>
#include <json/json.h>

namespace zinc {

namespace {

constexpr std::array<std::string_view, 6> kJobStateNames = { "accepted",  "queued", "running",
                                                             "succeeded", "failed", "cancelled" };

}

bool
IsFinal(JobState aState)
{
  return aState == JobState::Succeeded || aState == JobState::Failed ||
         aState == JobState::Cancelled;
}

std::string_view
ToString(JobState aState)
{
  return kJobStateNames.at(static_cast<std::size_t>(aState));
}

Json::Value
ToJson(const JobAnswer& aAnswer)
{
  Json::Value value(Json::objectValue);
  value["request_id"] = aAnswer.request.value;
  value["job"] = aAnswer.job.value;
  value["state"] = std::string(ToString(aAnswer.state));
  value["run"] = std::string(ToString(aAnswer.run));
  value["result"] = aAnswer.result;
  return value;
}

Result<JobAnswer>
JobAnswerFromJson(const Json::Value& aValue)
{
  JsonFields fields(aValue, "job answer");
  JobAnswer answer;
  answer.request.value = fields.Text("request_id", kRequestIdBytesLimit);
  answer.job.value = fields.Text("job", kIdentifierBytesLimit);
  const auto stateName = fields.Text("state", kIdentifierBytesLimit);
  const auto run = RunStateFromString(fields.Text("run", kIdentifierBytesLimit));
  answer.result = fields.OptionalText("result", kPayloadBytesLimit);
  const auto state = std::ranges::find(kJobStateNames, stateName);
  if (state == kJobStateNames.end()) {
    fields.AddFault("state", "a job state");
  }
  if (!run) {
    fields.AddFault("run", "a run state");
  }
  if (fields.Fault()) {
    return *fields.Fault();
  }
  answer.state = static_cast<JobState>(state - kJobStateNames.begin());
  answer.run = *run;
  return answer;
}

}
