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

constexpr Milliseconds kTickInterval{ 20 };
constexpr Milliseconds kInstanceFetchInterval{ 1000 };
constexpr Milliseconds kLimitsInterval{ 100 };
constexpr Milliseconds kGaugesInterval{ 1000 };
constexpr Milliseconds kRetryDelay{ 1000 };
/// Time beyond a job's deadline for which a caller that waits for the result is kept waiting.
constexpr Milliseconds kInlineResponseMargin{ 5000 };
/// Deadline of a job that a caller waits for if neither the job nor its queue has one.
constexpr Milliseconds kDefaultInlineDeadline{ 30'000 };
constexpr Milliseconds kZoneConfirmationTimeout{ 3000 };
/// Gives the load balancer time to notice that the instance is not ready before the port closes.
constexpr Milliseconds kPortCloseDelay{ 1000 };
/// Time after the drain timeout for the last responses to be written.
constexpr Milliseconds kFinalResponsesTimeout{ 1000 };
/// Connections to each service of the platform.
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
WallClockMilliseconds()
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
LeaseTimingOf(const EntrySettings& aSettings)
{
  return { .timeToLive = aSettings.lease,
           .orphanTimeout = aSettings.orphanTimeout,
           .renewEvery = aSettings.lease / 4,
           .callTimeout = aSettings.lease / 3 };
}

}

/// Routes each kind of notice to the component that handles it.
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
Entry::LedgerObserverProxy::RecordApplied(ShardIndex aShard,
                                          const EntryId& aWriter,
                                          const Record& aRecord)
{
  this->target->RecordApplied(aShard, aWriter, aRecord);
}

void
Entry::LedgerObserverProxy::ShardReloaded(ShardIndex aShard)
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
  for (const Step step : { &Entry::CreatePlatformClients,
                           &Entry::CreateTeamLimits,
                           &Entry::CreateExecutor,
                           &Entry::CreateJobDriver,
                           &Entry::CreatePeerHub }) {
    const auto created = (entry.get()->*step)();
    if (IsError(created)) {
      return ErrorOf(created);
    }
  }
  return entry;
}

Result<Done>
Entry::CreatePlatformClients()
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
  auto newTable = HttpTable::Create(optionsFor(this->settings.platform.table));
  if (IsError(newTable)) {
    return ErrorOf(newTable);
  }
  auto newObjectStore = HttpObjectStore::Create(optionsFor(this->settings.platform.objectStore));
  if (IsError(newObjectStore)) {
    return ErrorOf(newObjectStore);
  }
  auto newInstanceList = HttpInstanceList::Create(optionsFor(this->settings.platform.instanceList));
  if (IsError(newInstanceList)) {
    return ErrorOf(newInstanceList);
  }
  this->table = ValueOf(newTable);
  this->objects = ValueOf(newObjectStore);
  this->instances = ValueOf(newInstanceList);
  this->documents = std::make_unique<DocumentRepository>(
    DocumentRepositoryOptions{ .self = this->settings.name, .seed = this->seed },
    DocumentRepositoryEnvironment{
      .clock = this->clock, .table = *this->table, .apply = [this](const Document& aDocument) {
        this->ApplyDocument(aDocument);
      } });
  return Done{};
}

Result<Done>
Entry::CreateTeamLimits()
{
  auto newScheduler = Scheduler::Create({ .seed = this->seed });
  if (IsError(newScheduler)) {
    return ErrorOf(newScheduler);
  }
  this->scheduler = std::move(ValueOf(newScheduler));
  auto created = TeamLimits::Create(
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
  if (IsError(created)) {
    return ErrorOf(created);
  }
  this->limits = std::move(ValueOf(created));
  return Done{};
}

Result<Done>
Entry::CreateExecutor()
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
  auto newFleet = WorkerFleet::Create(
    { .self = this->self, .zone = this->settings.zone, .timing = LeaseTimingOf(this->settings) },
    { .clock = this->clock,
      .observer = *this->executor,
      .connect = [this](const Instance& aInstance) { return this->ConnectWorker(aInstance); } });
  if (IsError(newFleet)) {
    return ErrorOf(newFleet);
  }
  this->fleet = std::move(ValueOf(newFleet));
  this->executor->Attach(*this->fleet);
  return Done{};
}

Result<Done>
Entry::CreateJobDriver()
{
  auto newLedger = Ledger::Create({ .self = this->self,
                                    .zone = this->settings.zone,
                                    .shardCount = this->settings.ledgerShards,
                                    .seed = this->seed,
                                    .flushInterval = this->settings.ledgerFlush },
                                  { .table = *this->table,
                                    .objects = *this->objects,
                                    .clock = this->clock,
                                    .budget = this->budget,
                                    .observer = this->ledgerObserver });
  if (IsError(newLedger)) {
    return ErrorOf(newLedger);
  }
  this->ledger = std::move(ValueOf(newLedger));
  const auto send = [this](const EntryId& aTo, Notice aNotice) {
    this->Send(aTo, std::move(aNotice));
  };
  this->router = std::make_unique<TaskRouter>(
    TaskRouterEnvironment{ .self = this->self,
                           .zone = this->settings.zone,
                           .localLoad = [this] { return this->scheduler->CurrentLoad(); },
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
      .probe = [this](const WorkerId& aWorker) { return this->FindProbeClient(aWorker); } });
  this->ledgerObserver.Attach(*this->driver);
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
Entry::CreatePeerHub()
{
  const Heartbeat heartbeat{ .id = this->self,
                             .name = this->settings.name,
                             .zone = this->settings.zone,
                             .endpoint = this->settings.peer,
                             .incarnation = WallClockMilliseconds() };
  auto newHub = PeerHub::Create(
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
      .describe = [this] { return this->DescribeSelf(); } });
  if (IsError(newHub)) {
    return ErrorOf(newHub);
  }
  this->hub = std::move(ValueOf(newHub));
  auto newServer = PeerServer::Create({ .listen = this->settings.peer,
                                        .traffic = this->contexts.traffic,
                                        .control = this->contexts.control.get_executor() },
                                      *this);
  if (IsError(newServer)) {
    return ErrorOf(newServer);
  }
  this->peerServer = ValueOf(newServer);
  return Done{};
}

Result<std::shared_ptr<Worker>>
Entry::ConnectWorker(const Instance& aInstance) const
{
  auto created = HttpWorker::Create({ .endpoints = { aInstance.endpoint },
                                      .connections = kWorkerConnections,
                                      .userAgent = this->settings.name,
                                      .traffic = this->contexts.traffic,
                                      .control = this->contexts.control.get_executor() });
  if (IsError(created)) {
    return ErrorOf(created);
  }
  return std::shared_ptr<Worker>(std::move(ValueOf(created)));
}

std::shared_ptr<Worker>
Entry::FindProbeClient(const WorkerId& aWorker)
{
  const auto* instance = this->fleet->FindListed(aWorker);
  if (!instance) {
    this->probeClients.erase(aWorker);
    return nullptr;
  }
  const auto found = this->probeClients.find(aWorker);
  if (found != this->probeClients.end()) {
    return found->second;
  }
  auto created = HttpWorker::Create({ .endpoints = { instance->endpoint },
                                      .connections = kProbeConnections,
                                      .userAgent = this->settings.name,
                                      .traffic = this->contexts.traffic,
                                      .control = this->contexts.control.get_executor() });
  if (IsError(created)) {
    return nullptr;
  }
  return this->probeClients.emplace(aWorker, std::move(ValueOf(created))).first->second;
}

void
Entry::Start()
{
  this->logger.Log(LogLevel::Info,
                   "started",
                   { { "entry", this->self.value }, { "zone", this->settings.zone.value } });
  this->UpdateOwnership();
  this->Tick();
}

void
Entry::Stop()
{
  this->ProcessLifeCycleEvent(LifeCycleEvent::StopRequested);
  this->drainStartedAt = this->clock.Now();
  this->hub->Leave();
  this->UpdateOwnership();
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
    return NotRun(ErrorCode::NotFound,
                  fmt::format("There is no queue named \"{}\".", aQueue.value));
  }
  const auto team = this->Authenticate(aPresentedKey, aQueue);
  if (IsError(team)) {
    return ErrorOf(team);
  }
  aTeam = ValueOf(team);
  const bool isAdmitted = queue->access == QueueAccess::Open || queue->teams.empty() ||
                          std::ranges::find(queue->teams, aTeam) != queue->teams.end();
  if (!isAdmitted) {
    return NotRun(
      ErrorCode::Forbidden,
      fmt::format("Queue \"{}\" does not accept jobs of team \"{}\".", aQueue.value, aTeam.value));
  }
  return queue;
}

Result<TeamId>
Entry::Authenticate(std::string_view aPresentedKey, const std::optional<QueueId>& aQueue) const
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
                  "This instance cannot confirm now that the key has not been withdrawn.",
                  kRetryDelay);
  }
  return ValueOf(key)->team;
}

void
Entry::Submit(Submission aSubmission, const Queue& aQueue, JobHandler aHandler)
{
  const auto feasibility = this->CheckFeasibility(aSubmission, aQueue);
  if (IsError(feasibility)) {
    aHandler(ErrorOf(feasibility));
    return;
  }
  if (!IsDurable(aQueue)) {
    this->checks->Run(aSubmission, aQueue, std::move(aHandler));
    return;
  }
  const auto deadline = EffectiveDeadline(aSubmission, aQueue).value_or(kDefaultInlineDeadline);
  const auto wait = IsAnsweredInline(aQueue) ? deadline + kInlineResponseMargin : Milliseconds{ 0 };
  this->forwarder->Forward(
    { .kind = AskKind::Submit, .submission = std::move(aSubmission), .wait = wait },
    std::move(aHandler));
}

void
Entry::Query(Submission aJob, Milliseconds aWait, JobHandler aHandler)
{
  this->forwarder->Forward({ .kind = AskKind::Query, .submission = std::move(aJob), .wait = aWait },
                           std::move(aHandler));
}

void
Entry::Cancel(Submission aJob, JobHandler aHandler)
{
  this->forwarder->Forward({ .kind = AskKind::Cancel, .submission = std::move(aJob) },
                           std::move(aHandler));
}

Result<Done>
Entry::CheckFeasibility(const Submission& aSubmission, const Queue& aQueue) const
{
  const auto zone = aQueue.reach == QueueReach::Zone ? this->settings.zone : ZoneId{};
  const bool isSingleTaskClass =
    aQueue.workClass == WorkClass::Check || aQueue.workClass == WorkClass::Batch;
  if (isSingleTaskClass && aSubmission.tasks > 1) {
    return NotRun(ErrorCode::BadRequest,
                  "Only jobs of the classes all_at_once and service may have several tasks.");
  }
  switch (this->fleet->OutlookFor(aSubmission.resources, zone)) {
    case FitOutlook::Possible:
      return Done{};
    case FitOutlook::NoWorkers:
      return NotRun(
        ErrorCode::Unavailable, "No worker that the queue may use is known yet.", kRetryDelay);
    case FitOutlook::Impossible:
      break;
  }
  return NotRun(ErrorCode::Impossible, "No known worker is large enough for a task of this size.");
}

PeerBeat
Entry::DescribeSelf() const
{
  // Before the first read, 24 h stands for an age that confirms nothing.
  const auto age = this->documents->ReadAge();
  return { .documentVersion = this->documents->Current().version,
           .confirmationAge = age.value_or(std::chrono::hours(24)),
           .documentSettled = this->documents->IsSettled(),
           .heldWorkers = static_cast<std::uint32_t>(this->fleet->HeldCount()),
           .openAdoptions = static_cast<std::uint32_t>(this->limits->PendingAdoptions()),
           .load = this->scheduler->CurrentLoad() };
}

void
Entry::AwaitZoneConfirmations(std::uint64_t aVersion, ZoneConfirmationsHandler aHandler)
{
  this->hub->BeatNow();
  this->zoneConfirmationWaiters.push_back(
    { .version = aVersion,
      .deadline = this->clock.Now() + kZoneConfirmationTimeout,
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
  this->UpdateOwnership();
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
  this->timer.expires_after(kTickInterval);
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
  this->RunPeriodicUpdates();
  this->executor->Tick();
  this->checks->Tick();
  this->driver->Tick();
  this->forwarder->Tick();
  this->ledger->Tick(WallNow());
  this->AnswerZoneConfirmationWaiters();
  const bool isDocumentKnown = this->documents->Current().version > 0 || this->documents->ReadAge();
  if (isDocumentKnown) {
    this->ProcessLifeCycleEvent(LifeCycleEvent::DocumentKnown);
  }
  if (this->lifeCycle.Stage() == LifeCycleStage::Draining) {
    this->TickDrain();
  }
  if (this->lifeCycle.Stage() != LifeCycleStage::Stopped) {
    this->ScheduleTick();
  }
}

void
Entry::RunPeriodicUpdates()
{
  const auto now = this->clock.Now();
  if (now >= this->nextLimitsUpdate) {
    this->nextLimitsUpdate = now + kLimitsInterval;
    this->UpdateLimits();
  }
  if (now >= this->nextGaugesUpdate) {
    this->nextGaugesUpdate = now + kGaugesInterval;
    this->UpdateGauges();
  }
}

void
Entry::FetchInstances()
{
  if (this->isFetchingInstances || this->clock.Now() < this->nextInstanceFetch) {
    return;
  }
  this->isFetchingInstances = true;
  this->nextInstanceFetch = this->clock.Now() + kInstanceFetchInterval;
  this->instances->Fetch([this](const Result<std::vector<Instance>>& aReply) {
    this->isFetchingInstances = false;
    if (!IsError(aReply)) {
      this->ApplyInstances(ValueOf(aReply));
    }
  });
}

void
Entry::ApplyInstances(const std::vector<Instance>& aInstances)
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
Entry::UpdateOwnership()
{
  std::map<ZoneId, std::vector<OwnerCandidate>> entries;
  entries[this->settings.zone] = {};
  const auto add = [&](const EntryId& aId, const ZoneId& aZone) {
    entries[aZone].push_back({ .id = aId, .zone = aZone });
  };
  if (this->lifeCycle.Stage() != LifeCycleStage::Draining) {
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
  std::vector<ShardIndex> drivenShards;
  for (ShardIndex shard = 0; shard < this->ledger->ShardCount(); ++shard) {
    if (this->DriverOf(shard, this->settings.zone) == this->self) {
      drivenShards.push_back(shard);
    }
  }
  this->driver->Drive(std::move(drivenShards));
  this->executor->AnnounceRunning();
}

void
Entry::UpdateLimits()
{
  std::size_t leasedByPeers = 0;
  bool arePeersSettled = true;
  for (const auto& view : this->hub->HeardPeers()) {
    if (view.beat.self.zone == this->settings.zone) {
      leasedByPeers += view.beat.heldWorkers;
      arePeersSettled = arePeersSettled && view.beat.openAdoptions == 0;
    }
  }
  this->limits->Tick({ .listed = this->fleet->ListedCount(),
                       .leasedHere = this->fleet->HeldCount(),
                       .leasedByPeers = leasedByPeers,
                       .arePeersSettled = arePeersSettled });
}

void
Entry::FetchDocumentFrom(const PeerView& aPeer)
{
  const auto client = this->hub->ClientOf(aPeer.peer.endpoint);
  if (this->isFetchingDocument || !client) {
    return;
  }
  this->isFetchingDocument = true;
  client->FetchDocument([this](const Result<DocumentCopy>& aReply) {
    this->isFetchingDocument = false;
    if (IsError(aReply)) {
      return;
    }
    const auto applied =
      this->documents->ApplyIfNewer(ValueOf(aReply).version, ValueOf(aReply).yaml);
    if (IsError(applied)) {
      this->logger.Log(
        LogLevel::Warning, "document_copy_refused", { { "reason", ErrorOf(applied).message } });
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
        reply(
          NotRun(ErrorCode::NotFound, "The instance that drives the job does not know the queue."));
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
Entry::AnswerZoneConfirmationWaiters()
{
  const auto now = this->clock.Now();
  std::vector<ZoneConfirmationWaiter> remaining;
  for (auto& waiter : this->zoneConfirmationWaiters) {
    auto zones = this->ZoneConfirmationsOf(waiter.version);
    const bool isConfirmedEverywhere = std::ranges::all_of(zones, &ZoneConfirmation::isConfirmed);
    if (isConfirmedEverywhere || now >= waiter.deadline) {
      waiter.handler(std::move(zones));
    } else {
      remaining.push_back(std::move(waiter));
    }
  }
  this->zoneConfirmationWaiters = std::move(remaining);
}

void
Entry::TickDrain()
{
  const auto elapsed = this->clock.Now() - this->drainStartedAt;
  if (elapsed < kPortCloseDelay) {
    return;
  }
  if (!this->isServerClosed && this->closeServer) {
    this->closeServer();
  }
  this->isServerClosed = true;
  const auto remainingLeases = this->fleet->ReleaseAll();
  const bool isIdle = remainingLeases == 0 && this->executor->OpenChecks() == 0 &&
                      this->checks->OpenChecks() == 0 && this->driver->OpenWaiters() == 0 &&
                      this->forwarder->OpenAsks() == 0 &&
                      (!this->openRequests || this->openRequests() == 0);
  if (!isIdle && elapsed < this->settings.drainTimeout) {
    return;
  }
  if (!this->hasAnsweredPending) {
    // Answer pending callers instead of closing their connections; writing the responses takes a
    // moment.
    this->hasAnsweredPending = true;
    this->forwarder->AnswerAll();
    this->checks->AnswerAll();
  }
  const bool areResponsesWritten = !this->openRequests || this->openRequests() == 0;
  if (!areResponsesWritten && elapsed < this->settings.drainTimeout + kFinalResponsesTimeout) {
    return;
  }
  this->ProcessLifeCycleEvent(LifeCycleEvent::Drained);
  this->peerServer->Stop();
  if (this->stoppedHandler) {
    this->stoppedHandler();
  }
}

void
Entry::UpdateGauges()
{
  const auto load = this->scheduler->CurrentLoad();
  const auto& statistics = this->ledger->Statistics();
  this->metrics.SetGauge(
    { .name = "zinc_running_tasks", .help = "Tasks running on owned workers." }, load.running);
  this->metrics.SetGauge({ .name = "zinc_owned_slots", .help = "Slots of owned workers." },
                         static_cast<double>(load.capacity.slots));
  this->metrics.SetGauge({ .name = "zinc_used_slots", .help = "Slots in use on owned workers." },
                         static_cast<double>(load.used.slots));
  this->metrics.SetGauge({ .name = "zinc_driven_jobs", .help = "Unfinished jobs driven here." },
                         static_cast<double>(this->driver->OpenJobs()));
  this->metrics.SetGauge({ .name = "zinc_document_version", .help = "Version in force." },
                         static_cast<double>(this->documents->Current().version));
  this->metrics.SetGauge({ .name = "zinc_ledger_commits", .help = "Ledger transactions sent." },
                         static_cast<double>(statistics.commits));
  this->metrics.SetGauge({ .name = "zinc_ledger_records", .help = "Ledger records appended." },
                         static_cast<double>(statistics.recordsAppended));
  this->metrics.SetGauge(
    { .name = "zinc_ledger_conflicts", .help = "Ledger appends that lost a race." },
    static_cast<double>(statistics.conflicts));
}

void
Entry::ProcessLifeCycleEvent(LifeCycleEvent aEvent)
{
  if (this->lifeCycle.Process(aEvent)) {
    this->logger.Log(
      LogLevel::Info, "stage_changed", { { "stage", ToString(this->lifeCycle.Stage()) } });
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
  auto minAge = this->documents->ReadAge();
  const auto includeAge = [&minAge](std::optional<Milliseconds> aAge) {
    if (aAge && (!minAge || *aAge < *minAge)) {
      minAge = aAge;
    }
  };
  const auto now = this->clock.Now();
  for (const auto& view : this->hub->HeardPeers()) {
    if (view.beat.documentVersion <= this->documents->Current().version) {
      includeAge(view.beat.confirmationAge +
                 std::chrono::duration_cast<Milliseconds>(now - view.heardAt));
    }
  }
  includeAge(this->PeerAgreementAge());
  return minAge;
}

std::optional<Milliseconds>
Entry::PeerAgreementAge() const
{
  // If no entry instance can reach the table, no document can be accepted. Hearing from each of
  // them that it has accepted none is therefore as good as reading the table.
  if (!this->documents->IsSettled() || !this->fleet->IsKnown()) {
    return {};
  }
  std::set<std::string> agreeing;
  Milliseconds oldest{ 0 };
  for (const auto& view : this->hub->HeardPeers()) {
    const bool isAgreeing =
      view.beat.documentSettled && view.beat.documentVersion <= this->documents->Current().version;
    if (isAgreeing) {
      const auto age = this->clock.Now() - view.heardAt;
      oldest = std::max(oldest, std::chrono::duration_cast<Milliseconds>(age));
      agreeing.insert(view.beat.self.name);
    }
  }
  const auto knownPeers = this->hub->KnownPeers();
  const bool areAllAgreeing = std::ranges::all_of(knownPeers, [&](const Peer& aPeer) {
    return aPeer.name == this->settings.name || agreeing.contains(aPeer.name);
  });
  if (!areAllAgreeing) {
    return {};
  }
  return oldest;
}

std::vector<ZoneConfirmation>
Entry::ZoneConfirmationsOf(std::uint64_t aVersion) const
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
    const bool isConfirmed = found != versions.end() && found->second >= aVersion;
    const auto [zone, inserted] = zones.emplace(peer.zone, isConfirmed);
    zone->second = zone->second && isConfirmed;
  }
  std::vector<ZoneConfirmation> confirmations;
  for (const auto& [zone, isConfirmed] : zones) {
    confirmations.push_back({ .zone = zone, .isConfirmed = isConfirmed });
  }
  return confirmations;
}

}
