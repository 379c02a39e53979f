#include <Soak/WorkerFleet.h>

#include <LibPlatform/Json.h>
#include <algorithm>
#include <fmt/format.h>
#include <platform/Decoders.h>
#include <utility>
#include <xxhash.h>

namespace zinc::soak {

namespace {

constexpr unsigned kBadRequest = 400;
constexpr unsigned kNotFound = 404;
constexpr unsigned kConflict = 409;
/// Bounds of the site files.
constexpr std::int64_t kLongestLease = 6000;
constexpr Milliseconds kStopTime{ 200 };
constexpr Milliseconds kGangTimeout{ 4000 };
/// Ends that one list holds, from the platform's pages.
constexpr std::size_t kListedEnds = 500;
constexpr std::uint64_t kPercent = 100;

bool
Fails(const RunName& aName, std::uint64_t aPercent)
{
  const auto text = fmt::format("{}#{}", aName.task, aName.run);
  return XXH3_64bits(text.data(), text.size()) % kPercent < aPercent;
}

RunName
NameOf(const Json::Value& aOrder)
{
  return { aOrder["Task"].asString(), aOrder["Run"].asUInt64() };
}

}

std::int64_t
WorkerLife::Clock(Milliseconds aNow) const
{
  return this->clockOffset +
         static_cast<std::int64_t>(static_cast<double>(aNow.count()) * this->clockRate);
}

const WorkerFleet::Route WorkerFleet::kRoutes[] = {
  { "/v1/run-start", &WorkerFleet::Start },
  { "/v1/run-stop", &WorkerFleet::Stop },
  { "/v1/hold", &WorkerFleet::Hold },
};

WorkerLife&
WorkerFleet::Add(WorkerLife aLife)
{
  auto id = aLife.id;
  return this->lives.insert_or_assign(std::move(id), std::move(aLife)).first->second;
}

void
WorkerFleet::Remove(const std::string& aWorker, LossCause aCause)
{
  auto* life = this->Find(aWorker);
  if (life == nullptr) {
    return;
  }
  std::set<std::string> gangs;
  for (const auto& [name, run] : life->running) {
    gangs.insert(run.gang);
  }
  this->recorder.Record({ .kind = EventKind::WorkerLost,
                          .place = fmt::format("{}@{}", life->id, life->born),
                          .text = aCause == LossCause::Crash ? "crash" : "drain" });
  this->lives.erase(aWorker);
  for (const auto& gang : gangs) {
    this->BreakGang(gang);
  }
}

WorkerLife*
WorkerFleet::Find(const std::string& aWorker)
{
  const auto found = this->lives.find(aWorker);
  return found == this->lives.end() ? nullptr : &found->second;
}

OrderReply
WorkerFleet::Reply(const WorkerLife& aLife, unsigned aStatus) const
{
  OrderReply reply{ .status = aStatus };
  reply.body["ClockMs"] = Json::Int64(aLife.Clock(this->recorder.Now()));
  reply.body["born"] = Json::Int64(aLife.born);
  return reply;
}

OrderReply
WorkerFleet::Perform(const std::string& aWorker,
                     std::string_view aPath,
                     const Json::Value& aOrder,
                     Milliseconds aOrderedAt)
{
  this->orderedAt = aOrderedAt;
  auto* life = this->Find(aWorker);
  for (const auto& route : kRoutes) {
    if (route.path != aPath || life == nullptr) {
      continue;
    }
    this->EndDue(*life);
    const auto token = aOrder["FencingToken"].asUInt64();
    if (token < life->fencingToken) {
      return this->Refuse(*life, "fence");
    }
    life->fencingToken = token;
    return (this->*route.operation)(*life, aOrder);
  }
  return { .status = kNotFound };
}

OrderReply
WorkerFleet::Refuse(const WorkerLife& aLife, const std::string& aReason) const
{
  auto reply = this->Reply(aLife, kConflict);
  reply.body["Reason"] = aReason;
  return reply;
}

void
WorkerFleet::Extend(WorkerLife& aLife, const Json::Value& aOrder) const
{
  if (!aOrder.isMember("DeadlineMs")) {
    return;
  }
  const auto latest = aLife.Clock(this->recorder.Now()) + kLongestLease;
  const auto asked = std::min(latest, aOrder["DeadlineMs"].asInt64());
  aLife.deadline = std::max(aLife.deadline, asked);
}

OrderReply
WorkerFleet::Start(WorkerLife& aLife, const Json::Value& aOrder)
{
  const auto name = NameOf(aOrder);
  this->Extend(aLife, aOrder);
  const auto ended = aLife.ended.find(name.task);
  if (ended != aLife.ended.end() && name.run <= ended->second) {
    return this->Refuse(aLife, "old");
  }
  if (aLife.deadline <= aLife.Clock(this->recorder.Now())) {
    return this->Refuse(aLife, "late");
  }
  const auto task = platform::DecodeTaskName(name.task);
  const auto spec = ParseJson(aOrder["Spec"].asString());
  if (!task || IsError(spec)) {
    return this->Reply(aLife, kBadRequest);
  }
  if (!aLife.running.contains(name)) {
    this->Begin(aLife, name, *task, ValueOf(spec));
  }
  return this->Reply(aLife);
}

void
WorkerFleet::Begin(WorkerLife& aLife,
                   const RunName& aName,
                   const cell::TaskName& aTask,
                   const Json::Value& aSpec)
{
  const auto& step = aSpec["steps"][Json::ArrayIndex(aTask.key.step)];
  const Milliseconds duration(step["ms"].asInt64());
  const auto now = this->recorder.Now();
  const bool isGang = step["gang"].asBool();
  WorkerLife::Run run{ .startedAt = now, .milliCores = step["cpu"].asInt64() };
  run.end = Fails(aName, step["fails"].asUInt64()) ? "failed" : "done";
  if (isGang) {
    run.gang =
      fmt::format("{}.{}.{}#{}", aTask.job.value, aTask.key.occurrence, aTask.key.step, aName.run);
  } else {
    run.endsAt = now + duration;
  }
  std::int64_t used = run.milliCores;
  for (const auto& [name, other] : aLife.running) {
    used += other.milliCores;
  }
  aLife.running[aName] = run;
  this->recorder.Record({ .kind = EventKind::Started,
                          .job = aTask.job.value,
                          .task = aName.task,
                          .run = aName.run,
                          .place = fmt::format("{}@{}", aLife.id, aLife.born),
                          .text = aSpec["id"].asString(),
                          .amount = used,
                          .orderedAt = this->orderedAt });
  if (step["crashes"].asBool()) {
    this->crashing.push_back(aLife.id);
  }
  if (isGang) {
    this->JoinGang(run.gang, step["count"].asUInt(), duration);
  }
}

std::vector<std::string>
WorkerFleet::TakeCrashing()
{
  return std::exchange(this->crashing, {});
}

void
WorkerFleet::JoinGang(const std::string& aGang, std::size_t aSize, Milliseconds aDuration)
{
  std::vector<WorkerLife::Run*> members;
  for (auto& [id, life] : this->lives) {
    for (auto& [name, run] : life.running) {
      if (run.gang == aGang) {
        members.push_back(&run);
      }
    }
  }
  if (members.size() < aSize) {
    return;
  }
  for (auto* member : members) {
    member->endsAt = this->recorder.Now() + aDuration;
    member->end = "done";
  }
}

OrderReply
WorkerFleet::Stop(WorkerLife& aLife, const Json::Value& aOrder)
{
  const auto name = NameOf(aOrder);
  auto& highest = aLife.ended[name.task];
  highest = std::max(highest, name.run);
  if (const auto found = aLife.running.find(name); found != aLife.running.end()) {
    const auto by = this->recorder.Now() + kStopTime;
    if (!found->second.endsAt || *found->second.endsAt > by) {
      found->second.endsAt = by;
      found->second.end = "stopped";
    }
  }
  return this->Reply(aLife);
}

OrderReply
WorkerFleet::Hold(WorkerLife& aLife, const Json::Value& aOrder)
{
  this->Extend(aLife, aOrder);
  const auto seen = aOrder["LastSeen"].asUInt64();
  auto reply = this->Reply(aLife);
  auto& running = reply.body["Running"] = Json::Value(Json::arrayValue);
  auto& ended = reply.body["Ended"] = Json::Value(Json::arrayValue);
  for (auto& end : aLife.ends) {
    if (end.number > seen || end.isNoted) {
      continue;
    }
    end.isNoted = true;
    if (!end.isLapsed) {
      this->recorder.Record({ .kind = EventKind::Noted,
                              .task = end.name.task,
                              .run = end.name.run,
                              .place = aLife.id,
                              .text = end.kind });
    }
  }
  std::erase_if(aLife.ends, [](const WorkerLife::End& aEnd) { return aEnd.isNoted; });
  for (const auto& [name, run] : aLife.running) {
    Json::Value row(Json::arrayValue);
    row.append(name.task);
    row.append(Json::UInt64(name.run));
    row.append("");
    row.append(run.endsAt ? 100 : 0);
    row.append(Json::Int64(run.milliCores));
    running.append(std::move(row));
  }
  for (const auto& end : aLife.ends) {
    if (ended.size() == kListedEnds) {
      break;
    }
    Json::Value row(Json::arrayValue);
    row.append(Json::UInt64(end.number));
    row.append(end.name.task);
    row.append(Json::UInt64(end.name.run));
    row.append(end.kind);
    row.append("");
    ended.append(std::move(row));
  }
  return reply;
}

void
WorkerFleet::End(WorkerLife& aLife, const RunName& aName, const std::string& aKind)
{
  const auto found = aLife.running.find(aName);
  if (found == aLife.running.end()) {
    return;
  }
  const auto gang = found->second.gang;
  const bool isSound = aKind == "done";
  aLife.running.erase(found);
  auto& highest = aLife.ended[aName.task];
  highest = std::max(highest, aName.run);
  aLife.ends.push_back({ .number = ++aLife.lastEnd, .name = aName, .kind = aKind });
  this->recorder.Record({ .kind = EventKind::Ended,
                          .job = aName.task.substr(0, aName.task.find('.')),
                          .task = aName.task,
                          .run = aName.run,
                          .place = fmt::format("{}@{}", aLife.id, aLife.born),
                          .text = aKind });
  if (!isSound) {
    this->BreakGang(gang);
  }
}

void
WorkerFleet::BreakGang(const std::string& aGang)
{
  if (aGang.empty()) {
    return;
  }
  std::vector<std::pair<std::string, RunName>> members;
  for (const auto& [id, life] : this->lives) {
    for (const auto& [name, run] : life.running) {
      // Members that wait for the others end only when their time to wait is over.
      if (run.gang == aGang && run.endsAt) {
        members.emplace_back(id, name);
      }
    }
  }
  for (const auto& [id, name] : members) {
    if (auto* life = this->Find(id)) {
      this->End(*life, name, "broken");
    }
  }
}

void
WorkerFleet::EndDue(WorkerLife& aLife)
{
  const auto now = this->recorder.Now();
  const bool isLapsed = aLife.deadline <= aLife.Clock(now);
  std::vector<std::pair<RunName, std::string>> due;
  for (const auto& [name, run] : aLife.running) {
    if (run.endsAt && *run.endsAt <= now) {
      due.emplace_back(name, run.end);
    } else if (isLapsed) {
      due.emplace_back(name, "lapsed");
    } else if (!run.endsAt && run.startedAt + kGangTimeout <= now) {
      due.emplace_back(name, "alone");
    }
  }
  for (const auto& [name, kind] : due) {
    this->End(aLife, name, kind);
  }
  for (auto& end : aLife.ends) {
    end.isLapsed = end.isLapsed || isLapsed;
  }
}

void
WorkerFleet::Advance()
{
  for (auto& [id, life] : this->lives) {
    this->EndDue(life);
  }
}

}
