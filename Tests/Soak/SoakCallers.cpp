#include <Soak/SoakCallers.h>

#include <LibPlatform/Json.h>
#include <System/HttpCaller.h>
#include <algorithm>
#include <fmt/format.h>
#include <json/json.h>

namespace zinc::soak {

namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kGone = 410;
/// Time limit of a caller, from the site files.
constexpr Milliseconds kPatience{ 3000 };
constexpr Milliseconds kBeforeRetry{ 250 };
constexpr std::uint32_t kTries = 5;
/// A cancellation is repeated until it is answered.
constexpr std::uint32_t kCancelTries = 20;
constexpr std::uint32_t kPercent = 100;
constexpr std::uint32_t kCancelled = 15;
constexpr std::uint32_t kAsked = 40;
constexpr std::uint32_t kSentAgain = 10;
constexpr Milliseconds kBeforeAsking{ 300 };

/// Sizes from which steps are drawn.
constexpr std::uint32_t kMostSteps = 3;
constexpr std::uint32_t kMostTasks = 6;
constexpr std::uint32_t kMostGangTasks = 4;
constexpr std::uint32_t kGangs = 15;
constexpr std::uint32_t kHopeless = 3;
constexpr std::uint32_t kFlaky = 10;
/// Jobs whose tasks crash their workers, in a thousand. Drawn from a stream of their own, so that
/// the other jobs of a seed stay the same.
constexpr std::uint32_t kCrashingPermille = 6;
constexpr std::uint32_t kPermille = 1000;
constexpr std::uint64_t kCrashStream = 9001;
/// Callers that cancel a job whose submission got no answer, in place of sending it again. Drawn
/// from a stream of their own, too.
constexpr std::uint32_t kGivenUp = 30;
constexpr std::uint64_t kGiveUpStream = 9101;
constexpr std::uint32_t kFlakyPercent = 30;
constexpr std::uint32_t kSizeUnit = 250;
constexpr std::uint32_t kSizes = 5;
constexpr std::uint32_t kShortest = 50;
constexpr std::uint32_t kLongest = 600;
/// Jobs of the workspace that has a maximum, in percent; more would wait for long.
constexpr std::uint32_t kLimited = 8;

bool
Draws(pcg32& aRandom, std::uint32_t aPercent)
{
  return aRandom(kPercent) < aPercent;
}

/// What the stand-in workers need to know travels in the payload.
std::string
PayloadOf(const JobPlan& aPlan)
{
  Json::Value payload(Json::objectValue);
  payload["id"] = aPlan.id;
  for (const auto& step : aPlan.steps) {
    Json::Value value(Json::objectValue);
    value["ms"] = Json::Int64(step.duration.count());
    value["cpu"] = Json::Int64(step.milliCores);
    value["count"] = step.count;
    value["gang"] = step.isGang;
    value["crashes"] = step.crashesWorkers;
    value["fails"] = step.alwaysFails ? kPercent : step.failurePercent;
    payload["steps"].append(value);
  }
  return WriteJson(payload);
}

std::string
BodyOf(const JobPlan& aPlan)
{
  Json::Value body(Json::objectValue);
  body["Spec"] = PayloadOf(aPlan);
  for (Json::ArrayIndex number = 0; number < aPlan.steps.size(); ++number) {
    const auto& step = aPlan.steps[number];
    Json::Value value(Json::objectValue);
    value["Count"] = step.count;
    value["Cpu"] = Json::Int64(step.milliCores);
    value["MemMb"] = 64;
    value["EstimateMs"] = Json::Int64(step.duration.count());
    if (number > 0) {
      value["After"].append(number - 1);
    }
    if (step.isGang) {
      value["Gang"] = true;
    }
    body["Phases"].append(value);
  }
  return WriteJson(body);
}

}

SoakCallers::SoakCallers(Options aOptions)
  : options(std::move(aOptions))
{
  for (std::uint64_t number = 0; number < this->options.callers; ++number) {
    this->threads.emplace_back([this, number] { this->Serve(number); });
  }
}

SoakCallers::~SoakCallers()
{
  this->Stop();
}

void
SoakCallers::Stop()
{
  this->isOver = true;
  for (auto& thread : this->threads) {
    thread.join();
  }
  this->threads.clear();
}

JobPlan
SoakCallers::Draw(pcg32& aRandom, std::size_t aWorkspace) const
{
  const auto high = static_cast<std::uint64_t>(aRandom()) << 32U;
  JobPlan plan{ .id = fmt::format("{:016x}", high | aRandom()),
                .workspace = this->options.cell.Keys().workspaces[aWorkspace] };
  const auto steps = 1 + aRandom(kMostSteps);
  const bool isHopeless = Draws(aRandom, kHopeless);
  const bool isFlaky = Draws(aRandom, kFlaky);
  while (plan.steps.size() < steps) {
    const bool isGang = Draws(aRandom, kGangs);
    // A gang has to fit into the smallest maximum of a workspace.
    const auto tasks = isGang ? kMostGangTasks : kMostTasks;
    plan.steps.push_back({ .count = 1 + aRandom(tasks),
                           .milliCores = kSizeUnit * (1 + aRandom(kSizes)),
                           .duration = Milliseconds(kShortest + aRandom(kLongest)),
                           .isGang = isGang,
                           .alwaysFails = isHopeless && !isGang,
                           .failurePercent = isFlaky && !isGang ? kFlakyPercent : 0 });
  }
  return plan;
}

void
SoakCallers::Serve(std::uint64_t aNumber)
{
  pcg32 random(this->options.seed, aNumber);
  pcg32 crashes(this->options.seed, kCrashStream + aNumber);
  pcg32 patience(this->options.seed, kGiveUpStream + aNumber);
  while (!this->isOver) {
    const std::size_t workspace = Draws(random, kLimited) ? 1 : 2 * random(2);
    auto plan = this->Draw(random, workspace);
    plan.steps.front().crashesWorkers = crashes(kPermille) < kCrashingPermille;
    this->options.recorder.Plan(plan);
    const auto outcome = this->Submit(plan, workspace, random, patience);
    if (outcome == SubmitOutcome::GivenUp) {
      this->Cancel({ plan.id, workspace }, patience);
    }
    if (outcome == SubmitOutcome::Accepted) {
      const Accepted job{ plan.id, workspace };
      {
        const std::lock_guard lock(this->mutex);
        this->accepted.push_back(job);
      }
      if (Draws(random, kAsked)) {
        std::this_thread::sleep_for(kBeforeAsking);
        this->Ask(job, random(this->options.cell.Instances()));
      }
      if (Draws(random, kCancelled)) {
        this->Cancel(job, random);
      }
      if (Draws(random, kSentAgain)) {
        // A copy of an earlier submission that was long under way.
        static_cast<void>(this->Submit(plan, workspace, random, patience));
      }
    }
    std::this_thread::sleep_for(this->options.pause);
  }
}

SoakCallers::SubmitOutcome
SoakCallers::Submit(const JobPlan& aPlan, std::size_t aWorkspace, pcg32& aRandom, pcg32& aPatience)
{
  auto& recorder = this->options.recorder;
  for (std::uint32_t attempt = 0; attempt < kTries; ++attempt) {
    const auto instance = aRandom(this->options.cell.Instances());
    const auto key = this->options.cell.Keys().KeyOf(aWorkspace);
    const auto place = this->options.cell.NameOf(instance);
    recorder.Record({ .kind = EventKind::Sent, .job = aPlan.id, .place = place, .text = key });
    const auto outcome = PerformHttp({ .to = this->options.cell.Callers(instance),
                                       .method = "POST",
                                       .target = "/work/" + aPlan.id,
                                       .bearer = key,
                                       .body = BodyOf(aPlan),
                                       .patience = kPatience });
    const auto* answer = std::get_if<HttpAnswer>(&outcome);
    const auto status = answer != nullptr ? answer->status : 0;
    const bool isRefused = status / 100 == 4 || status == 503;
    const auto kind = status == kOk ? EventKind::Accepted
                      : isRefused   ? EventKind::Refused
                                    : EventKind::Unanswered;
    recorder.Record({ .kind = kind, .job = aPlan.id, .place = place, .amount = status });
    if (kind == EventKind::Accepted) {
      return SubmitOutcome::Accepted;
    }
    if (kind == EventKind::Refused) {
      return SubmitOutcome::Refused;
    }
    if (Draws(aPatience, kGivenUp)) {
      return SubmitOutcome::GivenUp;
    }
    std::this_thread::sleep_for(kBeforeRetry);
  }
  return SubmitOutcome::Unanswered;
}

void
SoakCallers::Cancel(const Accepted& aJob, pcg32& aRandom)
{
  auto& recorder = this->options.recorder;
  for (std::uint32_t attempt = 0; attempt < kCancelTries; ++attempt) {
    const auto instance = aRandom(this->options.cell.Instances());
    const auto place = this->options.cell.NameOf(instance);
    recorder.Record({ .kind = EventKind::CancelSent, .job = aJob.id, .place = place });
    const auto outcome = PerformHttp({ .to = this->options.cell.Callers(instance),
                                       .method = "DELETE",
                                       .target = "/work/" + aJob.id,
                                       .bearer = this->options.cell.Keys().KeyOf(aJob.workspace),
                                       .patience = kPatience });
    const auto* answer = std::get_if<HttpAnswer>(&outcome);
    if (answer != nullptr && (answer->status == kOk || answer->status == kGone)) {
      recorder.Record({ .kind = EventKind::CancelAnswered, .job = aJob.id, .place = place });
      return;
    }
    std::this_thread::sleep_for(kBeforeRetry);
  }
}

std::string
SoakCallers::Ask(const Accepted& aJob, std::size_t aInstance)
{
  const auto outcome = PerformHttp({ .to = this->options.cell.Callers(aInstance),
                                     .target = "/work/" + aJob.id,
                                     .bearer = this->options.cell.Keys().KeyOf(aJob.workspace),
                                     .patience = kPatience });
  const auto* answer = std::get_if<HttpAnswer>(&outcome);
  const auto place = this->options.cell.NameOf(aInstance);
  if (answer == nullptr) {
    return {};
  }
  if (answer->status == kGone) {
    this->options.recorder.Record({ .kind = EventKind::Denied, .job = aJob.id, .place = place });
    return {};
  }
  const auto body = ParseJson(answer->body);
  if (answer->status != kOk || IsError(body)) {
    return {};
  }
  auto state = ValueOf(body)["State"].asString();
  this->options.recorder.Record(
    { .kind = EventKind::Shown, .job = aJob.id, .place = place, .text = state });
  return state;
}

void
SoakCallers::AwaitEnds(Milliseconds aBound)
{
  const auto until = this->options.recorder.Now() + aBound;
  auto open = this->accepted;
  std::size_t instance = 0;
  while (!open.empty() && this->options.recorder.Now() < until) {
    std::erase_if(open, [&](const Accepted& aJob) {
      const auto state = this->Ask(aJob, instance++ % this->options.cell.Instances());
      return state == "done" || state == "failed" || state == "cancelled";
    });
    std::this_thread::sleep_for(kBeforeRetry);
  }
}

}
