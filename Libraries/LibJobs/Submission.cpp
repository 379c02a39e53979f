#include <LibJobs/Submission.h>

#include <LibPlatform/Codec.h>
#include <LibPlatform/Json.h>
#include <algorithm>
#include <fmt/format.h>
#include <json/json.h>
#include <xxhash.h>

namespace zinc {

namespace {

constexpr std::int64_t kMilliCoresLimit = 10'000'000;
constexpr std::int64_t kMemoryMiBLimit = 100'000'000;
constexpr std::int64_t kCountLimit = 100'000;

bool
IsRequestIdCharacter(char aCharacter)
{
  const bool letter =
    (aCharacter >= 'a' && aCharacter <= 'z') || (aCharacter >= 'A' && aCharacter <= 'Z');
  const bool digit = aCharacter >= '0' && aCharacter <= '9';
  return letter || digit || std::string_view("._:-").find(aCharacter) != std::string_view::npos;
}

Resources
ReadResources(JsonFields& aFields)
{
  if (!aFields.Has("resources")) {
    return { .slots = 1 };
  }
  JsonFields fields(aFields.Member("resources"), "resources");
  const Resources resources{
    .milliCores = fields.OptionalInteger("milli_cores", 0, kMilliCoresLimit).value_or(0),
    .memoryMiB = fields.OptionalInteger("memory_mib", 0, kMemoryMiBLimit).value_or(0),
    .accelerators = fields.OptionalInteger("accelerators", 0, kCountLimit).value_or(0),
    .slots = fields.OptionalInteger("slots", 1, kCountLimit).value_or(1),
  };
  if (fields.Fault()) {
    aFields.AddFault(*fields.Fault());
  }
  return resources;
}

}

bool
IsRequestId(std::string_view aText)
{
  return !aText.empty() && aText.size() <= kRequestIdBytesLimit &&
         std::ranges::all_of(aText, IsRequestIdCharacter);
}

Result<Submission>
ParseSubmission(std::string_view aBody)
{
  const auto parsed = ParseJson(aBody);
  if (IsError(parsed)) {
    return ErrorOf(parsed);
  }
  JsonFields fields(ValueOf(parsed), "submission");
  Submission submission;
  submission.request.value = fields.Text("request_id", kRequestIdBytesLimit);
  submission.queue.value = fields.Text("queue", kIdentifierBytesLimit);
  submission.tasks =
    static_cast<std::uint32_t>(fields.OptionalInteger("tasks", 1, kTasksLimit).value_or(1));
  submission.resources = ReadResources(fields);
  submission.expectedRun =
    Milliseconds(fields.OptionalInteger("expected_run_ms", 0, kDurationLimit.count()).value_or(0));
  const auto deadline = fields.OptionalInteger("deadline_ms", 1, kDurationLimit.count());
  if (deadline) {
    submission.deadline = Milliseconds(*deadline);
  }
  submission.payload = fields.OptionalText("payload", kPayloadBytesLimit);
  submission.firstAsk = fields.Boolean("first_ask");
  if (fields.Fault()) {
    return *fields.Fault();
  }
  if (!IsRequestId(submission.request.value)) {
    return NotRun(ErrorCode::BadRequest,
                  "request_id takes 1 to 128 characters of A-Z a-z 0-9 . _ : -");
  }
  return submission;
}

Verdict
VerdictForRequest(Verdict aVerdict, const Submission& aSubmission)
{
  const bool lookedUp = aVerdict.code == ErrorCode::Conflict;
  if (aVerdict.run == RunState::NotRun && !aSubmission.firstAsk && !lookedUp) {
    aVerdict.run = RunState::MayHaveRun;
  }
  return aVerdict;
}

std::string
BodyHash(const Submission& aSubmission)
{
  const auto& resources = aSubmission.resources;
  const auto text = fmt::format("{}\n{}\n{} {} {} {}\n{}\n{}",
                                aSubmission.queue.value,
                                aSubmission.tasks,
                                resources.milliCores,
                                resources.memoryMiB,
                                resources.accelerators,
                                resources.slots,
                                aSubmission.expectedRun.count(),
                                aSubmission.payload);
  const auto digest = XXH3_128bits(text.data(), text.size());
  return fmt::format("{:016x}{:016x}", digest.high64, digest.low64);
}

}
