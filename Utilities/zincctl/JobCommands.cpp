#include <zincctl/CommandTable.h>

#include <LibClient/Json.h>
#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <json/value.h>
#include <random>

namespace zinc {

namespace {

/// Longest time for which one call asks the server to wait.
constexpr Milliseconds kWaitPerCall{ 10000 };
/// Shortest time between two calls, for servers that answer at once.
constexpr Milliseconds kPollPause{ 500 };
constexpr int kIdWords = 4;

constexpr std::array kJobMembers{
  Column{ "request id", "request_id" }, Column{ "job", "job" },
  Column{ "state", "state" },           Column{ "run", "run" },
  Column{ "result", "result" },         Column{ "reason", "reason" },
};

std::string
GenerateRequestId()
{
  std::random_device device;
  std::string id = "r-";
  for (int word = 0; word < kIdWords; ++word) {
    id += fmt::format("{:08x}", device());
  }
  return id;
}

bool
HasEnded(std::string_view aState)
{
  return aState == "succeeded" || aState == "failed" || aState == "cancelled";
}

ExitCode
ExitCodeOfState(std::string_view aState)
{
  return aState == "failed" || aState == "cancelled" ? ExitCode::TaskFailed : ExitCode::Success;
}

ExitCode
ExitCodeOfCancelled(std::string_view aState)
{
  return aState == "cancelled" ? ExitCode::Success : ExitCode::Refused;
}

std::string
JobTarget(std::string_view aRequestId, const std::string& aQueue, Milliseconds aWait)
{
  std::string target = fmt::format("/v1/jobs/{}", PercentEncode(aRequestId));
  char separator = '?';
  if (!aQueue.empty()) {
    target += fmt::format("{}queue={}", separator, PercentEncode(aQueue));
    separator = '&';
  }
  if (aWait.count() > 0) {
    target += fmt::format("{}wait_ms={}", separator, aWait.count());
  }
  return target;
}

ApiRequest
JobRequest(HttpMethod aMethod, std::string aTarget, Milliseconds aWait = Milliseconds(0))
{
  return { .method = aMethod,
           .target = std::move(aTarget),
           .credential = Credential::Team,
           .repeat = Repeat::Safe,
           .serverWait = aWait };
}

void
SetIfGiven(const Arguments& aArguments,
           std::string_view aOption,
           Json::Value& aBody,
           const char* aMember)
{
  if (aArguments.Has(aOption)) {
    aBody[aMember] = static_cast<Json::Int64>(aArguments.Number(aOption));
  }
}

Json::Value
ResourcesOf(const Arguments& aArguments)
{
  Json::Value resources;
  resources["milli_cores"] = static_cast<Json::Int64>(aArguments.Number("milli-cores"));
  resources["memory_mib"] = static_cast<Json::Int64>(aArguments.Number("memory-mib"));
  resources["accelerators"] = static_cast<Json::Int64>(aArguments.Number("accelerators"));
  resources["slots"] = static_cast<Json::Int64>(aArguments.Number("slots"));
  return resources;
}

/// @return the payload; empty after an error was printed.
std::optional<std::string>
PayloadOf(CommandContext& aContext)
{
  if (aContext.arguments.Has("payload-file")) {
    return ReadInput(aContext, aContext.arguments.Text("payload-file"));
  }
  return aContext.arguments.Text("payload");
}

Json::Value
JobBody(const Arguments& aArguments, const std::string& aRequestId, const std::string& aPayload)
{
  Json::Value body;
  body["request_id"] = aRequestId;
  body["queue"] = aArguments.Text("queue");
  body["tasks"] = static_cast<Json::Int64>(aArguments.Number("tasks"));
  body["resources"] = ResourcesOf(aArguments);
  body["first_ask"] = !aArguments.Has("request-id");
  SetIfGiven(aArguments, "expected-run-ms", body, "expected_run_ms");
  SetIfGiven(aArguments, "deadline-ms", body, "deadline_ms");
  body["payload"] = aPayload;
  return body;
}

/// How a command exits for the state in which a job was left.
using StateExitCode = ExitCode (*)(std::string_view aState);

/// Asks for a job until it ends or the time is over.
ExitCode
WaitForEnd(CommandContext& aContext,
           const std::string& aRequestId,
           const std::string& aQueue,
           StateExitCode aExitCodeOf)
{
  const Clock& clock = aContext.surroundings.clock;
  const TimePoint end = clock.Now() + Milliseconds(aContext.arguments.Number("for-ms"));
  while (true) {
    const TimePoint asked = clock.Now();
    const Milliseconds wait = std::clamp(end - asked, Milliseconds(0), kWaitPerCall);
    const auto answer =
      CallForJson(aContext, JobRequest(HttpMethod::Get, JobTarget(aRequestId, aQueue, wait), wait));
    if (std::holds_alternative<ExitCode>(answer)) {
      return std::get<ExitCode>(answer);
    }
    const auto& job = *std::get<std::shared_ptr<const Json::Value>>(answer);
    const std::string state = TextOf(Member(job, "state"));
    const TimePoint answered = clock.Now();
    if (HasEnded(state) || answered >= end) {
      aContext.printer.PrintObject(job, kJobMembers);
      return HasEnded(state) ? aExitCodeOf(state) : ExitCode::InProgress;
    }
    const Milliseconds pause = std::min(end, asked + kPollPause) - answered;
    if (pause.count() > 0) {
      aContext.surroundings.sleep(pause);
    }
  }
}

}

ExitCode
RunSubmit(CommandContext& aContext)
{
  const Arguments& arguments = aContext.arguments;
  if (arguments.Text("queue").empty()) {
    return UsageError(aContext, "submit needs --queue.");
  }
  const auto payload = PayloadOf(aContext);
  if (!payload) {
    return ExitCode::Usage;
  }
  const std::string requestId =
    arguments.Has("request-id") ? arguments.Text("request-id") : GenerateRequestId();
  aContext.printer.PrintRemark(fmt::format("request id: {}", requestId));

  ApiRequest request = JobRequest(HttpMethod::Post, "/v1/jobs");
  request.body = JsonText(JobBody(arguments, requestId, *payload));
  if (arguments.Has("deadline-ms")) {
    request.serverWait = Milliseconds(arguments.Number("deadline-ms"));
  }
  const auto answer = CallForJson(aContext, request);
  if (std::holds_alternative<ExitCode>(answer)) {
    return std::get<ExitCode>(answer);
  }
  const auto& job = *std::get<std::shared_ptr<const Json::Value>>(answer);
  const std::string state = TextOf(Member(job, "state"));
  if (arguments.Has("wait") && !HasEnded(state)) {
    return WaitForEnd(aContext, requestId, arguments.Text("queue"), ExitCodeOfState);
  }
  aContext.printer.PrintObject(job, kJobMembers);
  return ExitCodeOfState(state);
}

ExitCode
RunStatus(CommandContext& aContext)
{
  const Arguments& arguments = aContext.arguments;
  const auto answer = CallForJson(
    aContext,
    JobRequest(HttpMethod::Get,
               JobTarget(arguments.Positional(), arguments.Text("queue"), Milliseconds(0))));
  if (std::holds_alternative<ExitCode>(answer)) {
    return std::get<ExitCode>(answer);
  }
  const auto& job = *std::get<std::shared_ptr<const Json::Value>>(answer);
  aContext.printer.PrintObject(job, kJobMembers);
  return ExitCodeOfState(TextOf(Member(job, "state")));
}

ExitCode
RunWait(CommandContext& aContext)
{
  const Arguments& arguments = aContext.arguments;
  return WaitForEnd(aContext, arguments.Positional(), arguments.Text("queue"), ExitCodeOfState);
}

ExitCode
RunCancel(CommandContext& aContext)
{
  const Arguments& arguments = aContext.arguments;
  const auto answer = CallForJson(
    aContext,
    JobRequest(HttpMethod::Delete,
               JobTarget(arguments.Positional(), arguments.Text("queue"), Milliseconds(0))));
  if (std::holds_alternative<ExitCode>(answer)) {
    return std::get<ExitCode>(answer);
  }
  const auto& job = *std::get<std::shared_ptr<const Json::Value>>(answer);
  const std::string state = TextOf(Member(job, "state"));
  if (!HasEnded(state)) {
    return WaitForEnd(
      aContext, arguments.Positional(), arguments.Text("queue"), ExitCodeOfCancelled);
  }
  aContext.printer.PrintObject(job, kJobMembers);
  return ExitCodeOfCancelled(state);
}

}
