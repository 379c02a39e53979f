#include "Entry.h"

#include <LibDocument/KeyVerifier.h>
#include <LibDriver/TaskFactory.h>
#include <LibLedger/LedgerKeys.h>
#include <LibPlatform/HttpInstanceList.h>
#include <LibPlatform/HttpObjectStore.h>
#include <LibPlatform/HttpTable.h>
#include <LibPlatform/HttpWorker.h>
#include <algorithm>
#include <boost/asio/post.hpp>
#include <fmt/format.h>
#include <random>
#include <set>

namespace zinc {

namespace {

constexpr Milliseconds kTickEvery{ 20 };
constexpr Milliseconds kInstancesEvery{ 1000 };
constexpr Milliseconds kLimitsEvery{ 100 };
constexpr Milliseconds kGaugesEvery{ 1000 };
constexpr Milliseconds kAskAgain{ 1000 };
constexpr Milliseconds kInlineAllowance{ 5000 };
constexpr Milliseconds kInlineDefault{ 30'000 };
constexpr Milliseconds kZonesWait{ 3000 };
/// Time for the balancer to see that the instance is not ready before its port closes.
constexpr Milliseconds kReadinessNotice{ 1000 };
/// Time for the last answers to be written after the drain timeout.
constexpr Milliseconds kLastAnswers{ 1000 };
constexpr std::size_t kPlatformConnections = 8;
constexpr std::size_t kWorkerConnections = 64;
constexpr std::size_t kProbeConnections = 1;

std::uint64_t
RandomSeed()
{
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

std::uint64_t
WallMilliseconds()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(std::chrono::duration_cast<Milliseconds>(now).count());
}

WallTime
WallNow()
{
  return std::chrono::time_point_cast<Milliseconds>(std::chrono::system_clock::now());
}

LeaseTiming
TimingOf(const EntrySettings& aSettings)
{
  return { .timeToLive = aSettings.lease,
           .orphanTimeout = aSettings.orphanTimeout,
           .renewEvery = aSettings.lease / 4,
           .callTimeout = aSettings.lease / 3 };
}

}

/// Hands each kind of notice to the part that handles it.
struct NoticeRouter
{
  Entry& entry;
  const EntryId& from;

  void operator()(PlaceTask& aNotice) const
  {
    this->entry.executor->Place(this->from, std::move(aNotice));
  }
  void operator()(const TaskRefused& aNotice) const
  {
    if (this->entry.checks->Knows(aNotice.attempt.task)) {
      this->entry.checks->OnRefused(aNotice);
      return;
    }
    this->entry.driver->OnRefused(this->from, aNotice);
  }
  void operator()(const ClaimTask& aNotice) const
  {
    this->entry.driver->OnClaim(this->from, aNotice);
  }
  void operator()(const ClaimDecided& aNotice) const
  {
    this->entry.executor->OnClaimDecided(aNotice);
  }
  void operator()(const TaskStarted& aNotice) const
  {
    this->entry.driver->OnStarted(this->from, aNotice);
  }
  void operator()(const TaskEnded& aNotice) const
  {
    if (this->entry.checks->Knows(aNotice.attempt.task)) {
      this->entry.checks->OnEnded(aNotice);
      return;
    }
    this->entry.driver->OnEnded(this->from, aNotice);
  }
  void operator()(const TaskLost& aNotice) const
  {
    if (this->entry.checks->Knows(aNotice.attempt.task)) {
      this->entry.checks->OnLost(aNotice);
      return;
    }
    this->entry.driver->OnLost(this->from, aNotice);
  }
  void operator()(const StopTask& aNotice) const { this->entry.executor->Stop(aNotice); }
  void operator()(const Ask& aNotice) const { this->entry.HandleAsk(this->from, aNotice); }
  void operator()(const Reply& aNotice) const { this->entry.forwarder->OnReply(aNotice); }
  void operator()(const AllowanceHinted& aNotice) const
  {
    this->entry.limits->OnAllowanceHint(aNotice);
  }
  void operator()(const WorkerAdopted& aNotice) const
  {
    this->entry.limits->OnWorkerAdopted(aNotice);
  }
};

void
Entry::LedgerRelay::RecordApplied(ShardIndex aShard, const EntryId& aWriter, const Record& aRecord)
{
  this->target->RecordApplied(aShard, aWriter, aRecord);
}

void
Entry::LedgerRelay::ShardReloaded(ShardIndex aShard)
{
  this->target->ShardReloaded(aShard);
}

Entry::Entry(EntrySettings aSettings, EntryContexts aContexts)
  : settings(std::move(aSettings))
  , contexts(aContexts)
  , logger({ .format = this->settings.logFormat, .level = this->settings.logLevel })
  , seed(RandomSeed())
  , budget({ .rowsPerSecond = static_cast<double>(this->settings.tableWritesPerSecond) })
  , timer(this->contexts.control)
{
  this->self = MakeEntryId(this->settings.zone, this->settings.name, this->seed);
}

Entry::~Entry() = default;

Result<std::unique_ptr<Entry>>
Entry::Create(EntrySettings aSettings, EntryContexts aContexts)
{
  std::unique_ptr<Entry> entry(new Entry(std::move(aSettings), aContexts));
  using Step = Result<Done> (Entry::*)();
  for (const Step step : { &Entry::ConnectPlatform,
                           &Entry::MakeLimits,
                           &Entry::MakeOwner,
                           &Entry::MakeDriver,
                           &Entry::MakePeers }) {
    const auto made = (entry.get()->*step)();
    if (IsError(made)) {
      return ErrorOf(made);
    }
  }
  return entry;
}

Result<Done>
Entry::ConnectPlatform()
{
  const auto optionsFor = [this](const Endpoint& aEndpoint) {
    return HttpOptions{ .endpoints = { aEndpoint },
                        .connections = kPlatformConnections,
                        .userAgent = fmt::format("zincshore zone/{} entry/{}",
                                                 this->settings.zone.value,
                                                 this->settings.name),
                        .traffic = this->contexts.traffic,
                        .control = this->contexts.control.get_executor() };
  };
  auto madeTable = HttpTable::Create(optionsFor(this->settings.platform.table));
  if (IsError(madeTable)) {
    return ErrorOf(madeTable);
  }
  auto madeObjects = HttpObjectStore::Create(optionsFor(this->settings.platform.objectStore));
  if (IsError(madeObjects)) {
    return ErrorOf(madeObjects);
  }
  auto madeInstances = HttpInstanceList::Create(optionsFor(this->settings.platform.instanceList));
  if (IsError(madeInstances)) {
    return ErrorOf(madeInstances);
  }
  this->table = ValueOf(madeTable);
  this->objects = ValueOf(madeObjects);
  this->instances = ValueOf(madeInstances);
  this->documents = std::make_unique<DocumentRepository>(
    DocumentRepositoryOptions{ .self = this->settings.name, .seed = this->seed },
    DocumentRepositoryEnvironment{
      .clock = this->clock, .table = *this->table, .apply = [this](const Document& aDocument) {
        this->ApplyDocument(aDocument);
      } });
  return Done{};
}

Result<Done>
Entry::MakeLimits()
{
  auto madeScheduler = Scheduler::Create({ .seed = this->seed });
  if (IsError(madeScheduler)) {
    return ErrorOf(madeScheduler);
  }
  this->scheduler = std::move(ValueOf(madeScheduler));
  auto made = TeamLimits::Create(
    { .self = this->self,
      .zone = this->settings.zone,
      .seed = this->seed,
      .lease = this->settings.lease,
      .orphanTimeout = this->settings.orphanTimeout },
    { .clock = this->clock,
      .table = *this->table,
      .budget = this->budget,
      .scheduler = *this->scheduler,
      .wake = [this] { this->executor->Wake(); },
      .send = [this](const EntryId& aTo, Notice aNotice) { this->Send(aTo, std::move(aNotice)); },
      .peers = [this] { return this->hub->HeardPeers(); },
      .isDead = [this](const EntryId& aEntry) { return this->hub->IsDead(aEntry); } });
  if (IsError(made)) {
    return ErrorOf(made);
  }
  this->limits = std::move(ValueOf(made));
  return Done{};
}

Result<Done>
Entry::MakeOwner()
{
  this->executor = std::make_unique<Executor>(ExecutorEnvironment{
    .clock = this->clock,
    .scheduler = *this->scheduler,
    .send = [this](const EntryId& aTo, Notice aNotice) { this->Send(aTo, std::move(aNotice)); },
    .driverOf = [this](const JobId& aJob,
                       const EntryId& aOrigin) { return this->DriverOfJob(aJob, aOrigin); },
    .defer =
      [this](std::function<void()> aFunction) {
        boost::asio::post(this->contexts.control, std::move(aFunction));
      },
    .record = [this](const TaskTiming& aTiming) { this->metrics.RecordTask(aTiming); },
    .handOvers = *this->limits });
  auto madeFleet = WorkerFleet::Create(
    { .self = this->self, .zone = this->settings.zone, .timing = TimingOf(this->settings) },
    { .clock = this->clock,
      .observer = *this->executor,
      .connect = [this](const Instance& aInstance) { return this->ConnectWorker(aInstance); } });
  if (IsError(madeFleet)) {
    return ErrorOf(madeFleet);
  }
  this->fleet = std::move(ValueOf(madeFleet));
  this->executor->Attach(*this->fleet);
  return Done{};
}

Result<Done>
Entry::MakeDriver()
{
  auto madeLedger = Ledger::Create({ .self = this->self,
                                     .zone = this->settings.zone,
                                     .shardCount = this->settings.ledgerShards,
                                     .seed = this->seed,
                                     .flushInterval = this->settings.ledgerFlush },
                                   { .table = *this->table,
                                     .objects = *this->objects,
                                     .clock = this->clock,
                                     .budget = this->budget,
                                     .observer = this->ledgerRelay });
  if (IsError(madeLedger)) {
    return ErrorOf(madeLedger);
  }
  this->ledger = std::move(ValueOf(madeLedger));
  const auto send = [this](const EntryId& aTo, Notice aNotice) {
    this->Send(aTo, std::move(aNotice));
  };
  this->router = std::make_unique<TaskRouter>(
    TaskRouterEnvironment{ .self = this->self,
                           .zone = this->settings.zone,
                           .localLoad = [this] { return this->scheduler->Load(); },
                           .peers = [this] { return this->hub->HeardPeers(); } },
    this->seed);
  this->checks = std::make_unique<CheckRunner>(CheckRunnerEnvironment{
    .clock = this->clock, .router = *this->router, .send = send, .seed = this->seed });
  this->driver = std::make_unique<JobDriver>(
    JobDriverOptions{ .self = this->self,
                      .zone = this->settings.zone,
                      .unlistedTimeout = this->settings.orphanTimeout * 2 },
    JobDriverEnvironment{
      .clock = this->clock,
      .ledger = *this->ledger,
      .router = *this->router,
      .send = send,
      .wallClock = WallNow,
      .findQueue =
        [this](const QueueId& aQueue) { return this->documents->Current().FindQueue(aQueue); },
      .probe = [this](const WorkerId& aWorker) { return this->Probe(aWorker); } });
  this->ledgerRelay.Attach(*this->driver);
  this->forwarder = std::make_unique<AskForwarder>(AskForwarderEnvironment{
    .clock = this->clock,
    .driverOf =
      [this](const Submission& aSubmission) {
        return this->DriverOf(this->ledger->ShardOf(aSubmission.team, aSubmission.request),
                              this->settings.zone);
      },
    .send = send });
  return Done{};
}

Result<Done>
Entry::MakePeers()
{
  const Heartbeat heartbeat{ .id = this->self,
                             .name = this->settings.name,
                             .zone = this->settings.zone,
                             .endpoint = this->settings.peer,
                             .incarnation = WallMilliseconds() };
  auto madeHub = PeerHub::Create(
    { .self = heartbeat,
      .seeds = this->settings.peers,
      .beatEvery = this->settings.heartbeat,
      .peerTimeout = this->settings.peerTimeout },
    { .clock = this->clock,
      .observer = *this,
      .connect =
        [this](const Endpoint& aEndpoint) {
          return PeerClient::Create({ .peer = aEndpoint,
                                      .traffic = this->contexts.traffic,
                                      .control = this->contexts.control.get_executor(),
                                      .callTimeout = this->settings.peerTimeout / 2 });
        },
      .defer =
        [this](std::function<void()> aFunction) {
          boost::asio::post(this->contexts.control, std::move(aFunction));
        },
      .describe = [this] { return this->Describe(); } });
  if (IsError(madeHub)) {
    return ErrorOf(madeHub);
  }
  this->hub = std::move(ValueOf(madeHub));
  auto madeServer = PeerServer::Create({ .listen = this->settings.peer,
                                         .traffic = this->contexts.traffic,
                                         .control = this->contexts.control.get_executor() },
                                       *this);
  if (IsError(madeServer)) {
    return ErrorOf(madeServer);
  }
  this->peerServer = ValueOf(madeServer);
  return Done{};
}

Result<std::shared_ptr<Worker>>
Entry::ConnectWorker(const Instance& aInstance) const
{
  auto made = HttpWorker::Create({ .endpoints = { aInstance.endpoint },
                                   .connections = kWorkerConnections,
                                   .userAgent = this->settings.name,
                                   .traffic = this->contexts.traffic,
                                   .control = this->contexts.control.get_executor() });
  if (IsError(made)) {
    return ErrorOf(made);
  }
  return std::shared_ptr<Worker>(std::move(ValueOf(made)));
}

std::shared_ptr<Worker>
Entry::Probe(const WorkerId& aWorker)
{
  const auto* instance = this->fleet->FindListed(aWorker);
  if (!instance) {
    this->probes.erase(aWorker);
    return nullptr;
  }
  const auto found = this->probes.find(aWorker);
  if (found != this->probes.end()) {
    return found->second;
  }
  auto made = HttpWorker::Create({ .endpoints = { instance->endpoint },
                                   .connections = kProbeConnections,
                                   .userAgent = this->settings.name,
                                   .traffic = this->contexts.traffic,
                                   .control = this->contexts.control.get_executor() });
  if (IsError(made)) {
    return nullptr;
  }
  return this->probes.emplace(aWorker, std::move(ValueOf(made))).first->second;
}

void
Entry::Start()
{
  this->logger.Log(LogLevel::Info,
                   "started",
                   { { "entry", this->self.value }, { "zone", this->settings.zone.value } });
  this->UpdateEntries();
  this->Tick();
}

void
Entry::Stop()
{
  this->ChangeStage(LifeEvent::StopRequested);
  this->drainStarted = this->clock.Now();
  this->hub->Leave();
  this->UpdateEntries();
}

void
Entry::AttachServer(std::function<std::size_t()> aOpenRequests, std::function<void()> aClose)
{
  this->openRequests = std::move(aOpenRequests);
  this->closeServer = std::move(aClose);
}

Result<const Queue*>
Entry::Admit(const QueueId& aQueue, std::string_view aPresentedKey, TeamId& aTeam) const
{
  const auto& document = this->documents->Current();
  const auto* queue = document.FindQueue(aQueue);
  if (!queue) {
    return NotRun(ErrorCode::NotFound, fmt::format("There is no queue {}.", aQueue.value));
  }
  const auto team = this->Identify(aPresentedKey, aQueue);
  if (IsError(team)) {
    return ErrorOf(team);
  }
  aTeam = ValueOf(team);
  const bool admitted = queue->access == QueueAccess::Open || queue->teams.empty() ||
                        std::ranges::find(queue->teams, aTeam) != queue->teams.end();
  if (!admitted) {
    return NotRun(ErrorCode::Forbidden,
                  fmt::format("Queue {} does not admit team {}.", aQueue.value, aTeam.value));
  }
  return queue;
}

Result<TeamId>
Entry::Identify(std::string_view aPresentedKey, const std::optional<QueueId>& aQueue) const
{
  const auto& document = this->documents->Current();
  const auto* queue = aQueue ? document.FindQueue(*aQueue) : nullptr;
  if (queue && queue->access == QueueAccess::Open) {
    return queue->teams.empty() ? TeamId{} : queue->teams.front();
  }
  const auto key = VerifyKey(document, aPresentedKey);
  if (IsError(key)) {
    return ErrorOf(key);
  }
  const auto age = this->ConfirmationAge();
  if (!age || *age > this->settings.keyConfirmation) {
    return NotRun(ErrorCode::Unavailable,
                  "It cannot be confirmed here that the key has not been withdrawn.",
                  kAskAgain);
  }
  return ValueOf(key)->team;
}

void
Entry::Submit(Submission aSubmission, const Queue& aQueue, JobHandler aHandler)
{
  const auto possible = this->CheckPossible(aSubmission, aQueue);
  if (IsError(possible)) {
    aHandler(ErrorOf(possible));
    return;
  }
  if (!IsDurable(aQueue)) {
    this->checks->Run(aSubmission, aQueue, std::move(aHandler));
    return;
  }
  const auto deadline = EffectiveDeadline(aSubmission, aQueue).value_or(kInlineDefault);
  const auto wait = IsAnsweredInline(aQueue) ? deadline + kInlineAllowance : Milliseconds{ 0 };
  this->forwarder->Forward(
    { .kind = AskKind::Submit, .submission = std::move(aSubmission), .wait = wait },
    std::move(aHandler));
}

void
Entry::Query(Submission aSubject, Milliseconds aWait, JobHandler aHandler)
{
  this->forwarder->Forward(
    { .kind = AskKind::Query, .submission = std::move(aSubject), .wait = aWait },
    std::move(aHandler));
}

void
Entry::Cancel(Submission aSubject, JobHandler aHandler)
{
  this->forwarder->Forward({ .kind = AskKind::Cancel, .submission = std::move(aSubject) },
                           std::move(aHandler));
}

Result<Done>
Entry::CheckPossible(const Submission& aSubmission, const Queue& aQueue) const
{
  const auto zone = aQueue.reach == QueueReach::Zone ? this->settings.zone : ZoneId{};
  const bool severalTasks =
    aQueue.workClass == WorkClass::Check || aQueue.workClass == WorkClass::Batch;
  if (severalTasks && aSubmission.tasks > 1) {
    return NotRun(ErrorCode::BadRequest, "Only all-at-once jobs and services have several tasks.");
  }
  switch (this->fleet->OutlookFor(aSubmission.resources, zone)) {
    case FitOutlook::Possible:
      return Done{};
    case FitOutlook::NoWorkers:
      return NotRun(ErrorCode::Unavailable, "No worker in reach is known yet.", kAskAgain);
    case FitOutlook::Impossible:
      break;
  }
  return NotRun(ErrorCode::Impossible, "No known worker could ever hold a task of this size.");
}

PeerBeat
Entry::Describe() const
{
  const auto age = this->documents->ReadAge();
  return { .documentVersion = this->documents->Current().version,
           .confirmationAge = age.value_or(std::chrono::hours(24)),
           .documentSettled = this->documents->IsSettled(),
           .heldWorkers = static_cast<std::uint32_t>(this->fleet->HeldCount()),
           .openAdoptions = static_cast<std::uint32_t>(this->limits->PendingAdoptions()),
           .load = this->scheduler->Load() };
}

void
Entry::AwaitZones(std::uint64_t aVersion, ZonesHandler aHandler)
{
  this->hub->BeatNow();
  this->zoneWaiters.push_back({ .version = aVersion,
                                .until = this->clock.Now() + kZonesWait,
                                .handler = std::move(aHandler) });
}

PeerBeat
Entry::OnBeat(const PeerBeat& aBeat)
{
  return this->hub->OnBeat(aBeat);
}

Result<Done>
Entry::OnNotices(NoticeBatch aBatch)
{
  return this->hub->OnNotices(std::move(aBatch));
}

DocumentCopy
Entry::OnDocumentAsked()
{
  return { .version = this->documents->Current().version, .yaml = this->documents->Yaml() };
}

void
Entry::PeerChanged(const PeerChange& aChange)
{
  this->logger.Log(LogLevel::Info,
                   "peer_changed",
                   { { "peer", aChange.name },
                     { "before", ToString(aChange.before) },
                     { "after", ToString(aChange.after) } });
  this->UpdateEntries();
  if (aChange.after == PeerState::Dead && !aChange.id.IsEmpty()) {
    this->executor->ForgetOrigin(aChange.id);
    this->checks->OnOwnerDead(aChange.id);
    this->driver->OnOwnerDead(aChange.id);
    this->forwarder->OnPeerDead(aChange.id);
  }
}

void
Entry::BeatHeard(const PeerView& aPeer)
{
  if (aPeer.beat.documentVersion > this->documents->Current().version) {
    this->FetchDocumentFrom(aPeer);
  }
}

void
Entry::NoticeReceived(const EntryId& aFrom, Notice aNotice)
{
  std::visit(NoticeRouter{ .entry = *this, .from = aFrom }, aNotice);
}

void
Entry::ScheduleTick()
{
  this->timer.expires_after(kTickEvery);
  this->timer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      this->Tick();
    }
  });
}

void
Entry::Tick()
{
  this->FetchInstances();
  this->documents->Tick();
  this->hub->Tick();
  this->fleet->Tick();
  this->TickSlowly();
  this->executor->Tick();
  this->checks->Tick();
  this->driver->Tick();
  this->forwarder->Tick();
  this->ledger->Tick(WallNow());
  this->TickZoneWaiters();
  const bool known = this->documents->Current().version > 0 || this->documents->ReadAge();
  if (known) {
    this->ChangeStage(LifeEvent::DocumentKnown);
  }
  if (this->life.Stage() == LifeStage::Draining) {
    this->TickDrain();
  }
  if (this->life.Stage() != LifeStage::Stopped) {
    this->ScheduleTick();
  }
}

void
Entry::TickSlowly()
{
  const auto now = this->clock.Now();
  if (now >= this->nextLimits) {
    this->nextLimits = now + kLimitsEvery;
    this->UpdateLimits();
  }
  if (now >= this->nextGauges) {
    this->nextGauges = now + kGaugesEvery;
    this->UpdateGauges();
  }
}

void
Entry::FetchInstances()
{
  if (this->fetchingInstances || this->clock.Now() < this->nextInstances) {
    return;
  }
  this->fetchingInstances = true;
  this->nextInstances = this->clock.Now() + kInstancesEvery;
  this->instances->Fetch([this](const Result<std::vector<Instance>>& aReply) {
    this->fetchingInstances = false;
    if (!IsError(aReply)) {
      this->TakeInstances(ValueOf(aReply));
    }
  });
}

void
Entry::TakeInstances(const std::vector<Instance>& aInstances)
{
  this->hub->Listed(aInstances);
  this->fleet->Listed(aInstances);
  if (this->instanceCount != aInstances.size()) {
    this->instanceCount = aInstances.size();
    this->logger.Log(LogLevel::Info, "instances_listed", { { "count", aInstances.size() } });
  }
}

void
Entry::ApplyDocument(const Document& aDocument)
{
  this->logger.Log(LogLevel::Info, "document_in_force", { { "version", aDocument.version } });
  this->executor->ApplyDocument(aDocument);
  this->limits->ApplyDocument(aDocument);
  this->hub->BeatNow();
}

void
Entry::UpdateEntries()
{
  std::map<ZoneId, std::vector<OwnerCandidate>> entries;
  entries[this->settings.zone] = {};
  const auto add = [&](const EntryId& aId, const ZoneId& aZone) {
    entries[aZone].push_back({ .id = aId, .zone = aZone });
  };
  if (this->life.Stage() != LifeStage::Draining) {
    add(this->self, this->settings.zone);
  }
  for (const auto& view : this->hub->HeardPeers()) {
    const bool isLive = view.peer.state == PeerState::Live || view.peer.state == PeerState::Silent;
    if (isLive) {
      add(view.beat.self.id, view.beat.self.zone);
    }
  }
  this->fleet->SetEntries(entries[this->settings.zone]);
  for (const auto& [zone, candidates] : entries) {
    auto map = OwnershipMap::Create({});
    ValueOf(map).SetEntries(candidates);
    this->shardMaps.insert_or_assign(zone, std::move(ValueOf(map)));
  }
  std::vector<ShardIndex> driven;
  for (ShardIndex shard = 0; shard < this->ledger->ShardCount(); ++shard) {
    if (this->DriverOf(shard, this->settings.zone) == this->self) {
      driven.push_back(shard);
    }
  }
  this->driver->Drive(std::move(driven));
  this->executor->AnnounceRunning();
}

void
Entry::UpdateLimits()
{
  std::size_t others = 0;
  bool settled = true;
  for (const auto& view : this->hub->HeardPeers()) {
    if (view.beat.self.zone == this->settings.zone) {
      others += view.beat.heldWorkers;
      settled = settled && view.beat.openAdoptions == 0;
    }
  }
  this->limits->Tick({ .listed = this->fleet->ListedCount(),
                       .leasedHere = this->fleet->HeldCount(),
                       .leasedByPeers = others,
                       .arePeersSettled = settled });
}

void
Entry::FetchDocumentFrom(const PeerView& aPeer)
{
  const auto client = this->hub->ClientOf(aPeer.peer.endpoint);
  if (this->fetchingDocument || !client) {
    return;
  }
  this->fetchingDocument = true;
  client->FetchDocument([this](const Result<DocumentCopy>& aReply) {
    this->fetchingDocument = false;
    if (IsError(aReply)) {
      return;
    }
    const auto taken = this->documents->ApplyIfNewer(ValueOf(aReply).version, ValueOf(aReply).yaml);
    if (IsError(taken)) {
      this->logger.Log(
        LogLevel::Warning, "document_copy_refused", { { "reason", ErrorOf(taken).message } });
    }
  });
}

void
Entry::Send(const EntryId& aTo, Notice aNotice)
{
  if (aTo != this->self) {
    this->hub->Send(aTo, std::move(aNotice));
    return;
  }
  boost::asio::post(this->contexts.control, [this, notice = std::move(aNotice)]() mutable {
    this->NoticeReceived(this->self, std::move(notice));
  });
}

void
Entry::HandleAsk(const EntryId& aFrom, const Ask& aAsk)
{
  const auto reply = [this, aFrom, ticket = aAsk.ticket](Result<JobAnswer> aAnswer) {
    this->Send(aFrom, Reply{ .ticket = ticket, .answer = std::move(aAnswer) });
  };
  const auto& submission = aAsk.submission;
  switch (aAsk.kind) {
    case AskKind::Submit: {
      const auto* queue = this->documents->Current().FindQueue(submission.queue);
      if (!queue) {
        reply(NotRun(ErrorCode::NotFound, "The queue is not known at the job's driver."));
        return;
      }
      this->driver->Submit(submission, *queue, aAsk.wait, reply);
      return;
    }
    case AskKind::Query:
      this->driver->Query(submission.team, submission.request, aAsk.wait, reply);
      return;
    case AskKind::Cancel:
      this->driver->Cancel(submission.team, submission.request, reply);
      return;
  }
}

void
Entry::TickZoneWaiters()
{
  const auto now = this->clock.Now();
  std::vector<ZoneWaiter> waiting;
  for (auto& waiter : this->zoneWaiters) {
    auto zones = this->ZonesWith(waiter.version);
    const bool everywhere = std::ranges::all_of(zones, &ZoneConfirmation::confirmed);
    if (everywhere || now >= waiter.until) {
      waiter.handler(std::move(zones));
    } else {
      waiting.push_back(std::move(waiter));
    }
  }
  this->zoneWaiters = std::move(waiting);
}

void
Entry::TickDrain()
{
  const auto elapsed = this->clock.Now() - this->drainStarted;
  if (elapsed < kReadinessNotice) {
    return;
  }
  if (!this->serverClosed && this->closeServer) {
    this->closeServer();
  }
  this->serverClosed = true;
  const auto leases = this->fleet->ReleaseAll();
  const bool idle = leases == 0 && this->executor->OpenChecks() == 0 &&
                    this->checks->OpenChecks() == 0 && this->driver->OpenWaiters() == 0 &&
                    this->forwarder->OpenAsks() == 0 &&
                    (!this->openRequests || this->openRequests() == 0);
  if (!idle && elapsed < this->settings.drainTimeout) {
    return;
  }
  if (!this->answeredRest) {
    // Callers are answered rather than cut off; the answers need a moment to be written.
    this->answeredRest = true;
    this->forwarder->AnswerAll();
    this->checks->AnswerAll();
  }
  const bool written = !this->openRequests || this->openRequests() == 0;
  if (!written && elapsed < this->settings.drainTimeout + kLastAnswers) {
    return;
  }
  this->ChangeStage(LifeEvent::Drained);
  this->peerServer->Stop();
  if (this->stopped) {
    this->stopped();
  }
}

void
Entry::UpdateGauges()
{
  const auto load = this->scheduler->Load();
  const auto& statistics = this->ledger->Statistics();
  this->metrics.Set({ .name = "zinc_running_tasks", .help = "Tasks running on owned workers." },
                    load.running);
  this->metrics.Set({ .name = "zinc_owned_slots", .help = "Slots of owned workers." },
                    static_cast<double>(load.capacity.slots));
  this->metrics.Set({ .name = "zinc_used_slots", .help = "Slots in use on owned workers." },
                    static_cast<double>(load.used.slots));
  this->metrics.Set({ .name = "zinc_driven_jobs", .help = "Unfinished jobs driven here." },
                    static_cast<double>(this->driver->OpenJobs()));
  this->metrics.Set({ .name = "zinc_document_version", .help = "Version in force." },
                    static_cast<double>(this->documents->Current().version));
  this->metrics.Set({ .name = "zinc_ledger_commits", .help = "Ledger transactions sent." },
                    static_cast<double>(statistics.commits));
  this->metrics.Set({ .name = "zinc_ledger_records", .help = "Ledger records appended." },
                    static_cast<double>(statistics.recordsAppended));
  this->metrics.Set({ .name = "zinc_ledger_conflicts", .help = "Ledger appends that lost a race." },
                    static_cast<double>(statistics.conflicts));
}

void
Entry::ChangeStage(LifeEvent aEvent)
{
  if (this->life.Process(aEvent)) {
    this->logger.Log(
      LogLevel::Info, "stage_changed", { { "stage", ToString(this->life.Stage()) } });
  }
}

EntryId
Entry::DriverOf(ShardIndex aShard, const ZoneId& aZone) const
{
  const auto found = this->shardMaps.find(aZone);
  return found == this->shardMaps.end() ? EntryId{} : found->second.DesiredDriver(aShard);
}

EntryId
Entry::DriverOfJob(const JobId& aJob, const EntryId& aOrigin) const
{
  const auto shard = ShardOfJob(aJob);
  if (!shard) {
    return {};
  }
  return this->DriverOf(*shard, aOrigin.IsEmpty() ? this->settings.zone : ZoneOfEntry(aOrigin));
}

std::optional<Milliseconds>
Entry::ConfirmationAge() const
{
  auto best = this->documents->ReadAge();
  const auto consider = [&best](std::optional<Milliseconds> aAge) {
    if (aAge && (!best || *aAge < *best)) {
      best = aAge;
    }
  };
  const auto now = this->clock.Now();
  for (const auto& view : this->hub->HeardPeers()) {
    if (view.beat.documentVersion <= this->documents->Current().version) {
      consider(view.beat.confirmationAge +
               std::chrono::duration_cast<Milliseconds>(now - view.heardAt));
    }
  }
  consider(this->AgreementAge());
  return best;
}

std::optional<Milliseconds>
Entry::AgreementAge() const
{
  // With the table unreachable for all, no document can be accepted; hearing from every entry
  // instance that it accepted none is as good as reading the table.
  if (!this->documents->IsSettled() || !this->fleet->IsKnown()) {
    return {};
  }
  std::set<std::string> agreeing;
  Milliseconds oldest{ 0 };
  for (const auto& view : this->hub->HeardPeers()) {
    const bool agrees =
      view.beat.documentSettled && view.beat.documentVersion <= this->documents->Current().version;
    if (agrees) {
      const auto age = this->clock.Now() - view.heardAt;
      oldest = std::max(oldest, std::chrono::duration_cast<Milliseconds>(age));
      agreeing.insert(view.beat.self.name);
    }
  }
  const auto known = this->hub->KnownPeers();
  const bool all = std::ranges::all_of(known, [&](const Peer& aPeer) {
    return aPeer.name == this->settings.name || agreeing.contains(aPeer.name);
  });
  if (!all) {
    return {};
  }
  return oldest;
}

std::vector<ZoneConfirmation>
Entry::ZonesWith(std::uint64_t aVersion) const
{
  std::map<ZoneId, bool> zones;
  zones[this->settings.zone] = this->documents->Current().version >= aVersion;
  std::map<std::string, std::uint64_t> versions;
  for (const auto& view : this->hub->HeardPeers()) {
    versions[view.beat.self.name] = view.beat.documentVersion;
  }
  for (const auto& peer : this->hub->KnownPeers()) {
    if (peer.zone.IsEmpty()) {
      continue;
    }
    const auto found = versions.find(peer.name);
    const bool confirmed = found != versions.end() && found->second >= aVersion;
    const auto [zone, inserted] = zones.emplace(peer.zone, confirmed);
    zone->second = zone->second && confirmed;
  }
  std::vector<ZoneConfirmation> confirmations;
  for (const auto& [zone, confirmed] : zones) {
    confirmations.push_back({ .zone = zone, .confirmed = confirmed });
  }
  return confirmations;
}

}
