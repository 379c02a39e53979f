#include <LibLedger/ShardState.h>

#include <algorithm>

namespace zinc {

namespace {

constexpr std::size_t kMaxWriterMarks = 256;

bool
AnyOpen(const LedgerJob& aJob)
{
  return std::ranges::any_of(aJob.tasks, &LedgerTask::IsOpen);
}

/// @return whether a task may get another attempt.
RecordOutcome
CheckNextAttempt(const LedgerTask& aTask, std::uint32_t aAttempt)
{
  if (aTask.IsOpen()) {
    return RecordOutcome::AttemptOpen;
  }
  const bool succeeded = aTask.outcome && aTask.outcome->state == TaskState::Succeeded;
  if (succeeded || aAttempt != aTask.attempt + 1) {
    return RecordOutcome::WrongAttempt;
  }
  return RecordOutcome::Applied;
}

}

struct ShardState::Checker
{
  const ShardState& state;
  const EntryId& writer;

  RecordOutcome operator()(const AcceptedRecord& aRecord) const
  {
    if (aRecord.tasks == 0 || aRecord.tasks > kMaxTasksPerJob) {
      return RecordOutcome::Invalid;
    }
    if (const LedgerJob* const job = this->state.Find(aRecord.team, aRecord.request)) {
      return job->accepted.bodyHash == aRecord.bodyHash ? RecordOutcome::AlreadyAccepted
                                                        : RecordOutcome::RequestIdReused;
    }
    if (this->state.Find(aRecord.job) != nullptr) {
      return RecordOutcome::JobIdReused;
    }
    return RecordOutcome::Applied;
  }

  RecordOutcome operator()(const AttemptRecord& aRecord) const
  {
    const LedgerJob* const job = this->state.Find(aRecord.job);
    const RecordOutcome outcome = this->CheckDriven(job, aRecord.epoch);
    if (outcome != RecordOutcome::Applied) {
      return outcome;
    }
    if (job->isCancelled) {
      return RecordOutcome::JobIsCancelled;
    }
    if (aRecord.task >= job->tasks.size()) {
      return RecordOutcome::WrongAttempt;
    }
    return CheckNextAttempt(job->tasks[aRecord.task], aRecord.attempt);
  }

  RecordOutcome operator()(const OutcomeRecord& aRecord) const
  {
    const LedgerJob* const job = this->state.Find(aRecord.job);
    const RecordOutcome outcome = this->CheckDriven(job, aRecord.epoch);
    if (outcome != RecordOutcome::Applied) {
      return outcome;
    }
    if (!IsEnded(aRecord.state)) {
      return RecordOutcome::Invalid;
    }
    if (aRecord.task >= job->tasks.size()) {
      return RecordOutcome::WrongAttempt;
    }
    const LedgerTask& task = job->tasks[aRecord.task];
    const bool isCurrent = task.IsOpen() && task.attempt == aRecord.attempt;
    return isCurrent ? RecordOutcome::Applied : RecordOutcome::WrongAttempt;
  }

  RecordOutcome operator()(const JobEndedRecord& aRecord) const
  {
    const LedgerJob* const job = this->state.Find(aRecord.job);
    const RecordOutcome outcome = this->CheckDriven(job, aRecord.epoch);
    if (outcome != RecordOutcome::Applied) {
      return outcome;
    }
    return AnyOpen(*job) ? RecordOutcome::AttemptOpen : RecordOutcome::Applied;
  }

  RecordOutcome operator()(const CancelledRecord& aRecord) const
  {
    const LedgerJob* const job = this->state.Find(aRecord.job);
    if (job == nullptr) {
      return RecordOutcome::UnknownJob;
    }
    return job->ended ? RecordOutcome::JobHasEnded : RecordOutcome::Applied;
  }

  RecordOutcome operator()(const DriverRecord& aRecord) const
  {
    const bool follows = aRecord.epoch == this->state.Driver(aRecord.zone).epoch + 1;
    return follows ? RecordOutcome::Applied : RecordOutcome::StaleDriver;
  }

  RecordOutcome operator()(const RetiredRecord&) const
  {
    return this->state.IsAnyDriver(this->writer) ? RecordOutcome::Applied
                                                 : RecordOutcome::StaleDriver;
  }

  /// Checks what holds for every record that only the driver writes about a job.
  RecordOutcome CheckDriven(const LedgerJob* aJob, DriverEpoch aEpoch) const
  {
    if (aJob == nullptr) {
      return RecordOutcome::UnknownJob;
    }
    if (!this->state.IsDriver(aJob->accepted.zone, this->writer, aEpoch)) {
      return RecordOutcome::StaleDriver;
    }
    return aJob->ended ? RecordOutcome::JobHasEnded : RecordOutcome::Applied;
  }
};

struct ShardState::Applier
{
  ShardState& state;

  void operator()(const AcceptedRecord& aRecord) const
  {
    this->state.Insert({ .accepted = aRecord, .tasks = std::vector<LedgerTask>(aRecord.tasks) });
  }

  void operator()(const AttemptRecord& aRecord) const
  {
    LedgerTask& task = this->state.TaskAt(aRecord.job, aRecord.task);
    task.attempt = aRecord.attempt;
    task.worker = aRecord.worker;
    task.term = aRecord.term;
    task.epoch = aRecord.epoch;
    task.outcome.reset();
  }

  void operator()(const OutcomeRecord& aRecord) const
  {
    LedgerTask& task = this->state.TaskAt(aRecord.job, aRecord.task);
    task.outcome = { .state = aRecord.state, .run = aRecord.run, .result = aRecord.result };
    task.lostWorkers += aRecord.isWorkerLost ? 1 : 0;
    if (!aRecord.progress.empty()) {
      task.progress = aRecord.progress;
    }
  }

  void operator()(const JobEndedRecord& aRecord) const
  {
    this->state.jobs.at(aRecord.job).ended = aRecord;
    this->state.unfinished.erase(aRecord.job);
  }

  void operator()(const CancelledRecord& aRecord) const
  {
    this->state.jobs.at(aRecord.job).isCancelled = true;
  }

  void operator()(const DriverRecord& aRecord) const
  {
    this->state.drivers[aRecord.zone] = aRecord;
  }

  void operator()(const RetiredRecord& aRecord) const
  {
    std::erase_if(this->state.jobs, [&](const auto& aEntry) {
      const LedgerJob& job = aEntry.second;
      const bool isRetired = job.ended && job.ended->endedAt <= aRecord.endedUpTo;
      if (isRetired) {
        this->state.requests.erase({ job.accepted.team, job.accepted.request });
      }
      return isRetired;
    });
  }
};

struct ShardState::Reflector
{
  const ShardState& state;

  bool operator()(const AcceptedRecord& aRecord) const
  {
    const LedgerJob* const job = this->state.Find(aRecord.job);
    return job != nullptr && job->accepted == aRecord;
  }

  bool operator()(const AttemptRecord& aRecord) const
  {
    const LedgerTask* const task = this->FindTask(aRecord.job, aRecord.task);
    return task != nullptr && task->attempt == aRecord.attempt && task->epoch == aRecord.epoch &&
           task->worker == aRecord.worker && task->term == aRecord.term;
  }

  bool operator()(const OutcomeRecord& aRecord) const
  {
    const LedgerTask* const task = this->FindTask(aRecord.job, aRecord.task);
    return task != nullptr && task->attempt == aRecord.attempt && task->outcome &&
           task->outcome->state == aRecord.state && task->outcome->result == aRecord.result;
  }

  bool operator()(const JobEndedRecord& aRecord) const
  {
    const LedgerJob* const job = this->state.Find(aRecord.job);
    return job != nullptr && job->ended == aRecord;
  }

  bool operator()(const CancelledRecord& aRecord) const
  {
    const LedgerJob* const job = this->state.Find(aRecord.job);
    return job != nullptr && job->isCancelled;
  }

  bool operator()(const DriverRecord& aRecord) const
  {
    return this->state.Driver(aRecord.zone) == aRecord;
  }

  bool operator()(const RetiredRecord& aRecord) const
  {
    return !this->state.HasEndedUpTo(aRecord.endedUpTo);
  }

  const LedgerTask* FindTask(const JobId& aJob, TaskIndex aTask) const
  {
    const LedgerJob* const job = this->state.Find(aJob);
    return job != nullptr && aTask < job->tasks.size() ? &job->tasks[aTask] : nullptr;
  }
};

ShardState::ShardState(LedgerSafeguards aSafeguards)
  : safeguards(aSafeguards)
{
}

ShardState::ShardState(ShardImage aImage, LedgerSafeguards aSafeguards)
  : safeguards(aSafeguards)
  , writers(std::move(aImage.writers))
{
  for (DriverRecord& driver : aImage.drivers) {
    const ZoneId zone = driver.zone;
    this->drivers.emplace(zone, std::move(driver));
  }
  for (LedgerJob& job : aImage.jobs) {
    this->Insert(std::move(job));
  }
}

RecordOutcome
ShardState::Check(const EntryId& aWriter, const Record& aRecord) const
{
  return std::visit(Checker{ .state = *this, .writer = aWriter }, aRecord);
}

RecordOutcome
ShardState::Apply(const EntryId& aWriter, const Record& aRecord)
{
  const RecordOutcome outcome = this->Check(aWriter, aRecord);
  if (outcome == RecordOutcome::Applied) {
    std::visit(Applier{ .state = *this }, aRecord);
  }
  return outcome;
}

bool
ShardState::Reflects(const Record& aRecord) const
{
  return std::visit(Reflector{ .state = *this }, aRecord);
}

void
ShardState::MarkBatch(const EntryId& aWriter, const std::string& aBatch)
{
  std::erase_if(this->writers, [&](const WriterMark& aMark) { return aMark.writer == aWriter; });
  if (this->writers.size() >= kMaxWriterMarks) {
    this->writers.erase(this->writers.begin());
  }
  this->writers.push_back({ .writer = aWriter, .batch = aBatch });
}

BatchPresence
ShardState::FindBatch(const EntryId& aWriter, const std::string& aBatch) const
{
  const auto mark = std::ranges::find(this->writers, aWriter, &WriterMark::writer);
  if (mark != this->writers.end()) {
    return mark->batch == aBatch ? BatchPresence::Present : BatchPresence::Absent;
  }
  return this->writers.size() < kMaxWriterMarks ? BatchPresence::Absent : BatchPresence::Unknown;
}

const LedgerJob*
ShardState::Find(const JobId& aJob) const
{
  const auto found = this->jobs.find(aJob);
  return found == this->jobs.end() ? nullptr : &found->second;
}

const LedgerJob*
ShardState::Find(const TeamId& aTeam, const RequestId& aRequest) const
{
  const auto found = this->requests.find({ aTeam, aRequest });
  return found == this->requests.end() ? nullptr : this->Find(found->second);
}

void
ShardState::ForEachUnfinished(const std::function<void(const LedgerJob&)>& aVisitor) const
{
  for (const JobId& id : this->unfinished) {
    aVisitor(this->jobs.at(id));
  }
}

bool
ShardState::HasEndedUpTo(WallTime aTime) const
{
  return std::ranges::any_of(this->jobs, [&](const auto& aEntry) {
    const auto& ended = aEntry.second.ended;
    return ended && ended->endedAt <= aTime;
  });
}

ShardImage
ShardState::Image() const
{
  ShardImage image{ .writers = this->writers };
  for (const auto& [zone, driver] : this->drivers) {
    image.drivers.push_back(driver);
  }
  image.jobs.reserve(this->jobs.size());
  for (const auto& [id, job] : this->jobs) {
    image.jobs.push_back(job);
  }
  return image;
}

bool
ShardState::IsDriver(const ZoneId& aZone, const EntryId& aWriter, DriverEpoch aEpoch) const
{
  if (this->safeguards == LedgerSafeguards::WithoutEpochCheck) {
    return true;
  }
  const DriverRecord driver = this->Driver(aZone);
  return driver.epoch == aEpoch && driver.entry == aWriter;
}

bool
ShardState::IsAnyDriver(const EntryId& aWriter) const
{
  return std::ranges::any_of(
    this->drivers, [&aWriter](const auto& aEntry) { return aEntry.second.entry == aWriter; });
}

DriverRecord
ShardState::Driver(const ZoneId& aZone) const
{
  const auto found = this->drivers.find(aZone);
  return found == this->drivers.end() ? DriverRecord{ .zone = aZone } : found->second;
}

LedgerTask&
ShardState::TaskAt(const JobId& aJob, TaskIndex aTask)
{
  return this->jobs.at(aJob).tasks.at(aTask);
}

void
ShardState::Insert(LedgerJob aJob)
{
  const JobId id = aJob.accepted.job;
  this->requests[{ aJob.accepted.team, aJob.accepted.request }] = id;
  if (!aJob.ended) {
    this->unfinished.insert(id);
  }
  this->jobs.insert_or_assign(id, std::move(aJob));
}

}
