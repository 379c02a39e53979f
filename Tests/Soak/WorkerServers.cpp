#include <Soak/WorkerServers.h>

#include <LibPlatform/Json.h>
#include <Soak/RunLater.h>
#include <System/HttpCaller.h>
#include <fmt/format.h>
#include <json/json.h>

namespace zinc::soak {

namespace {

constexpr unsigned kOtherLife = 421;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kOk = 200;
/// Bounds of the site files.
constexpr Milliseconds kHeartbeat{ 1500 };
constexpr Milliseconds kEntryLifetime{ 4500 };
constexpr Milliseconds kDrainTime{ 3000 };
/// How often ends are looked for.
constexpr Milliseconds kTick{ 10 };
constexpr std::int64_t kMemoryMiB = 65'536;
constexpr std::size_t kPerRack = 2;
constexpr Milliseconds kDownAfterDrain{ 800 };
/// Time until a worker that a task has crashed starts again.
constexpr Milliseconds kDownAfterCrash{ 1500 };
/// Clocks of workers begin anywhere below this and run up to 2% slow.
constexpr std::uint32_t kClockOffsets = 1'000'000;
constexpr std::uint32_t kSlowestPermille = 20;
constexpr double kPermille = 1000.0;

std::int64_t
UnixMilliseconds()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<Milliseconds>(now).count();
}

}

WorkerServers::WorkerServers(Options aOptions)
  : options(std::move(aOptions))
  , random(this->options.seed)
  , fleet(this->options.recorder)
{
  for (const auto& zone : this->options.size.zones) {
    for (std::size_t number = 0; number < this->options.size.perZone; ++number) {
      this->slots.push_back({ .name = fmt::format("{}-w{}", zone, number),
                              .zone = zone,
                              .rack = fmt::format("{}-r{}", zone, number / kPerRack),
                              .listen = { this->options.host, FreePort() } });
    }
  }
}

Result<Done>
WorkerServers::Start()
{
  for (std::size_t worker = 0; worker < this->slots.size(); ++worker) {
    const auto begun = this->Begin(worker, false);
    if (IsError(begun)) {
      return begun;
    }
  }
  this->Tick();
  this->Heartbeat();
  return Done{};
}

void
WorkerServers::After(Milliseconds aDelay, std::function<void()> aFunction)
{
  RunLater(this->options.context, aDelay, this->alive, std::move(aFunction));
}

Result<Done>
WorkerServers::Begin(std::size_t aWorker, bool aKeepsId)
{
  auto& slot = this->slots[aWorker];
  auto server = HttpServer::Create({ .context = this->options.context,
                                     .listen = slot.listen,
                                     .handler = [this, aWorker](HttpCallPointer aCall) {
                                       this->Handle(aWorker, std::move(aCall));
                                     } });
  if (IsError(server)) {
    return ErrorOf(server);
  }
  slot.server = std::move(ValueOf(server));
  slot.listen.port = slot.server->Port();
  slot.lives += aKeepsId ? 0 : 1;
  slot.id = fmt::format("{}-{}", slot.name, slot.lives);
  slot.fault = {};
  slot.isFrozen = false;
  slot.heartbeats = 0;
  slot.shownMilliCores = 0;
  this->fleet.Add({ .id = slot.id,
                    .zone = slot.zone,
                    .rack = slot.rack,
                    .milliCores = this->options.size.milliCores,
                    .born = UnixMilliseconds(),
                    .clockOffset = this->random(kClockOffsets),
                    .clockRate = 1.0 - this->random(kSlowestPermille) / kPermille });
  this->Publish(slot);
  return Done{};
}

void
WorkerServers::End(std::size_t aWorker, Milliseconds aDown, LossCause aCause)
{
  auto& slot = this->slots[aWorker];
  if (slot.id.empty()) {
    return;
  }
  this->fleet.Remove(slot.id, aCause);
  slot.id.clear();
  slot.server.reset();
  const bool keepsId = this->random(2) == 0;
  this->After(aDown, [this, aWorker, keepsId] {
    if (IsError(this->Begin(aWorker, keepsId))) {
      // The port was taken meanwhile; the next life listens elsewhere.
      this->slots[aWorker].listen.port = FreePort();
      static_cast<void>(this->Begin(aWorker, false));
    }
  });
}

void
WorkerServers::Crash(std::size_t aWorker, Milliseconds aDown)
{
  this->End(aWorker, aDown, LossCause::Crash);
}

void
WorkerServers::CrashWorkersOfCrashingRuns()
{
  for (const auto& id : this->fleet.TakeCrashing()) {
    for (std::size_t worker = 0; worker < this->slots.size(); ++worker) {
      if (this->slots[worker].id == id) {
        this->Crash(worker, kDownAfterCrash);
      }
    }
  }
}

void
WorkerServers::Resize(std::size_t aWorker, std::int64_t aMilliCores)
{
  auto& slot = this->slots[aWorker];
  if (auto* life = this->fleet.Find(slot.id)) {
    life->milliCores = aMilliCores;
    this->Publish(slot);
  }
}

void
WorkerServers::Drain(std::size_t aWorker)
{
  auto& slot = this->slots[aWorker];
  auto* life = this->fleet.Find(slot.id);
  if (life == nullptr || life->isDraining) {
    return;
  }
  life->isDraining = true;
  this->Publish(slot);
  this->After(kDrainTime, [this, aWorker, id = slot.id] {
    if (this->slots[aWorker].id == id) {
      this->options.store.Remove("servers", id);
      this->End(aWorker, kDownAfterDrain, LossCause::Drain);
    }
  });
}

void
WorkerServers::SetMode(std::size_t aWorker, ServerMode aMode)
{
  auto& slot = this->slots[aWorker];
  slot.isFrozen = aMode == ServerMode::Holding;
  if (slot.server) {
    slot.server->SetMode(aMode);
  }
}

void
WorkerServers::SilenceOpenConnections(std::size_t aWorker)
{
  if (const auto& server = this->slots[aWorker].server) {
    server->SilenceOpenConnections();
  }
}

void
WorkerServers::Apply(std::size_t aWorker, const WorkerFault& aFault)
{
  this->slots[aWorker].fault = aFault;
}

void
WorkerServers::Handle(std::size_t aWorker, HttpCallPointer aCall)
{
  const auto& fault = this->slots[aWorker].fault;
  const bool isHold = aCall->target.path == "/v1/hold";
  const bool isStruck = this->random(2) == 0;
  if (!isHold && isStruck && fault.lateness.count() > 0) {
    const auto late = fault.lateness;
    this->After(late, [this, aWorker, call = aCall] { this->Perform(aWorker, call, false); });
    aCall->Drop();
    return;
  }
  const bool answers = isHold || !isStruck || !fault.losesAnswers;
  this->After(fault.delay, [this, aWorker, answers, call = std::move(aCall)] {
    this->Perform(aWorker, call, answers);
  });
}

void
WorkerServers::Perform(std::size_t aWorker, const HttpCallPointer& aCall, bool aAnswers)
{
  const auto order = ParseJson(aCall->body);
  if (IsError(order)) {
    aCall->Reply(kBadRequest, "{}");
    return;
  }
  const auto wait = Milliseconds(ValueOf(order)["WaitMs"].asInt64());
  this->CarryOut(aWorker,
                 { .call = aCall,
                   .order = ValueOf(order),
                   .answers = aAnswers,
                   .until = this->options.recorder.Now() + wait });
}

void
WorkerServers::CarryOut(std::size_t aWorker, const PendingOrder& aPending)
{
  const auto& slot = this->slots[aWorker];
  const auto& call = *aPending.call;
  const auto expected = call.headers.find("X-Expect-Instance");
  const bool isOther = expected != call.headers.end() && expected->second != slot.id;
  if (slot.id.empty() || isOther) {
    aPending.call->Reply(kOtherLife, "{}");
    return;
  }
  const auto reply = this->fleet.Perform(
    slot.id, call.target.path, aPending.order, this->options.recorder.At(call.receivedAt));
  const bool mayWait = this->options.recorder.Now() < aPending.until;
  if (mayWait && reply.status == kOk && reply.body["Ended"].empty()) {
    this->After(kTick, [this, aWorker, aPending] { this->CarryOut(aWorker, aPending); });
    return;
  }
  if (aPending.answers) {
    aPending.call->Reply(reply.status, WriteJson(reply.body));
  } else {
    aPending.call->Drop();
  }
}

void
WorkerServers::Publish(Slot& aSlot)
{
  const auto* life = this->fleet.Find(aSlot.id);
  if (life == nullptr || !this->isStoreReachable) {
    return;
  }
  Json::Value entry(Json::objectValue);
  entry["Service"] = "pool";
  entry["Address"] = fmt::format("{}:{}", aSlot.listen.address, aSlot.listen.port);
  entry["Zone"] = aSlot.zone;
  entry["Version"] = "1";
  entry["Slots"] = 8;
  entry["State"] = life->isDraining ? "draining" : "ready";
  if (life->isDraining) {
    entry["RemainingMs"] = Json::Int64(kDrainTime.count());
  }
  entry["Seq"] = Json::UInt64(++aSlot.heartbeats);
  entry["Machine"] = aSlot.name;
  entry["born"] = Json::Int64(life->born);
  entry["Capacity"]["Cpu"] = Json::Int64(life->milliCores);
  entry["Capacity"]["MemMb"] = Json::Int64(kMemoryMiB);
  entry["Labels"].append("plain");
  entry["Labels"].append(aSlot.rack);
  aSlot.lastHeartbeat = this->options.recorder.Now();
  if (aSlot.shownMilliCores != life->milliCores) {
    aSlot.shownMilliCores = life->milliCores;
    this->options.recorder.Record({ .kind = EventKind::CapacityShown,
                                    .place = fmt::format("{}@{}", life->id, life->born),
                                    .amount = life->milliCores });
  }
  this->options.store.Put("servers", aSlot.id, WriteJson(entry));
}

void
WorkerServers::Heartbeat()
{
  for (auto& slot : this->slots) {
    if (!slot.isFrozen) {
      this->Publish(slot);
    }
    const auto age = this->options.recorder.Now() - slot.lastHeartbeat;
    const auto gone = slot.id.empty() ? fmt::format("{}-{}", slot.name, slot.lives) : slot.id;
    if (age > kEntryLifetime) {
      this->options.store.Remove("servers", gone);
    }
  }
  this->After(kHeartbeat, [this] { this->Heartbeat(); });
}

void
WorkerServers::Tick()
{
  this->fleet.Advance();
  this->CrashWorkersOfCrashingRuns();
  this->After(kTick, [this] { this->Tick(); });
}

}
