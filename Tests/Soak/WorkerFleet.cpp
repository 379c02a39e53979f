#include <Soak/WorkerFleet.h>

#include <LibPlatform/Json.h>
#include <algorithm>
#include <charconv>
#include <fmt/format.h>
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

/// Parts of a task's name.
struct TaskParts
{
  std::string job;
  std::string group;
  std::size_t step = 0;
};

std::optional<TaskParts>
PartsOf(const std::string& aTask)
{
  const auto last = aTask.rfind('.');
  const auto before = last == std::string::npos || last == 0 ? last : aTask.rfind('.', last - 1);
  const auto first = aTask.find('.');
  if (before == std::string::npos || first == before) {
    return {};
  }
  TaskParts parts{ .job = aTask.substr(0, first), .group = aTask.substr(0, last) };
  const auto* digits = aTask.data() + before + 1;
  const auto read = std::from_chars(digits, aTask.data() + last, parts.step);
  return read.ec == std::errc() ? std::optional(parts) : std::nullopt;
}

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
WorkerFleet::Remove(const std::string& aWorker)
{
  auto* life = this->Find(aWorker);
  if (life == nullptr) {
    return;
  }
  std::set<std::string> gangs;
  for (const auto& [name, run] : life->running) {
    gangs.insert(run.gang);
  }
  this->recorder.Record(
    { .kind = EventKind::WorkerLost, .place = fmt::format("{}@{}", life->id, life->born) });
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
    if (route.path == aPath && life != nullptr) {
      this->EndDue(*life);
      return (this->*route.operation)(*life, aOrder);
    }
  }
  return { .status = kNotFound };
}

std::string
WorkerFleet::RefusalOf(WorkerLife& aLife, const Json::Value& aOrder) const
{
  const auto token = aOrder["FencingToken"].asUInt64();
  if (token < aLife.fencingToken) {
    return "fence";
  }
  aLife.fencingToken = token;
  return {};
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
  auto reason = this->RefusalOf(aLife, aOrder);
  const auto name = NameOf(aOrder);
  if (reason.empty()) {
    this->Extend(aLife, aOrder);
    const auto ended = aLife.ended.find(name.task);
    const bool isOld = ended != aLife.ended.end() && name.run <= ended->second;
    const bool isLate = aLife.deadline <= aLife.Clock(this->recorder.Now());
    reason = isOld ? "old" : isLate ? "late" : "";
  }
  if (!reason.empty()) {
    auto reply = this->Reply(aLife, kConflict);
    reply.body["Reason"] = reason;
    return reply;
  }
  const auto spec = ParseJson(aOrder["Spec"].asString());
  if (IsError(spec)) {
    return this->Reply(aLife, kBadRequest);
  }
  if (!aLife.running.contains(name)) {
    this->Begin(aLife, name, ValueOf(spec));
  }
  return this->Reply(aLife);
}

void
WorkerFleet::Begin(WorkerLife& aLife, const RunName& aName, const Json::Value& aSpec)
{
  const auto parts = PartsOf(aName.task);
  const auto& step = parts ? aSpec["steps"][Json::ArrayIndex(parts->step)] : Json::Value();
  const Milliseconds duration(step["ms"].asInt64());
  const auto now = this->recorder.Now();
  const bool isGang = step["gang"].asBool();
  WorkerLife::Run run{ .startedAt = now, .milliCores = step["cpu"].asInt64() };
  run.end = Fails(aName, step["fails"].asUInt64()) ? "failed" : "done";
  if (isGang) {
    run.gang = fmt::format("{}#{}", parts->group, aName.run);
  } else {
    run.endsAt = now + duration;
  }
  std::int64_t used = run.milliCores;
  for (const auto& [name, other] : aLife.running) {
    used += other.milliCores;
  }
  aLife.running[aName] = run;
  this->recorder.Record({ .kind = EventKind::Started,
                          .job = parts ? parts->job : "",
                          .task = aName.task,
                          .run = aName.run,
                          .place = fmt::format("{}@{}", aLife.id, aLife.born),
                          .text = aSpec["id"].asString(),
                          .amount = used,
                          .orderedAt = this->orderedAt });
  if (isGang) {
    this->JoinGang(run.gang, step["count"].asUInt(), duration);
  }
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
  const auto reason = this->RefusalOf(aLife, aOrder);
  if (!reason.empty()) {
    auto reply = this->Reply(aLife, kConflict);
    reply.body["Reason"] = reason;
    return reply;
  }
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
  const auto reason = this->RefusalOf(aLife, aOrder);
  if (!reason.empty()) {
    auto reply = this->Reply(aLife, kConflict);
    reply.body["Reason"] = reason;
    return reply;
  }
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
  const auto parts = PartsOf(aName.task);
  this->recorder.Record({ .kind = EventKind::Ended,
                          .job = parts ? parts->job : "",
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
