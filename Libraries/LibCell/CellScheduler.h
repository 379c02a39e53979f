#pragma once

/// @file
/// The scheduler of the leader: the one instance of the cell that places tasks on workers.

#include <LibBase/Time.h>
#include <LibCell/AdviceClaims.h>
#include <LibCell/AdviceDispatcher.h>
#include <LibCell/Candidate.h>
#include <LibCell/CellSchedulerDependencies.h>
#include <LibCell/CellSchedulerOptions.h>
#include <LibCell/CompletionForecast.h>
#include <LibCell/EndedJobArchive.h>
#include <LibCell/EndedJobCompactor.h>
#include <LibCell/EvacuatedZones.h>
#include <LibCell/EvacuationReport.h>
#include <LibCell/GangEarmarks.h>
#include <LibCell/Job.h>
#include <LibCell/LeaderReport.h>
#include <LibCell/LeaseSuspensions.h>
#include <LibCell/LoadReport.h>
#include <LibCell/LostWorkers.h>
#include <LibCell/Placement.h>
#include <LibCell/Policy.h>
#include <LibCell/Pool.h>
#include <LibCell/Ports.h>
#include <LibCell/RankingSelector.h>
#include <LibCell/Records.h>
#include <LibCell/RenewalQueue.h>
#include <LibCell/StartRecords.h>
#include <LibCell/TermSnapshot.h>
#include <LibCell/UnreadWorkers.h>
#include <LibCell/WaitReason.h>
#include <LibCell/Worker.h>
#include <LibCell/WorkerTable.h>
#include <LibLog/Logger.h>
#include <LibMetrics/MetricRegistry.h>
#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace zinc::cell {

/// Holds the state of all jobs and workers during one term and places tasks. Runs on one thread;
/// its ports call back on the same thread.
class CellScheduler
{
public:
  using Dependencies = CellSchedulerDependencies;

  CellScheduler(Dependencies aDependencies, CellSchedulerOptions aOptions);
  ~CellScheduler();
  CellScheduler(const CellScheduler&) = delete;
  CellScheduler& operator=(const CellScheduler&) = delete;

  /// Begins the term: adopts the jobs of the store. Tasks that the predecessor may have started are
  /// held back until the workers have reported its runs and their ends.
  void BeginTerm(TermSnapshot aSnapshot);
  /// Sets the time until which this instance is certainly the leader. It starts no run and renews
  /// no lease beyond it.
  void SetTermEnd(TimePoint aEnd) { this->termEnd = aEnd; }
  /// Sets the time at which all leases that a predecessor granted to unread workers have expired.
  void SetPriorLeasesExpiry(TimePoint aExpiry) { this->unreadWorkers.SetLeasesExpiry(aExpiry); }
  void SetPolicy(std::shared_ptr<const CellPolicy> aPolicy);
  /// Sets the instances that can call the policy service.
  void SetInstances(const std::vector<std::string>& aInstances);
  /// Sets the evacuated zones, in which no task starts. Nothing is placed before the first call.
  void SetEvacuatedZones(EvacuatedZones aZones);
  /// Applies new and changed rows of the job table.
  void OnJobRows(const std::vector<Row>& aRows);
  /// Applies a new or changed row of a worker.
  void OnWorkerEntry(const WorkerEntry& aEntry);
  /// Called while changes of workers' rows cannot be read. A row that is missing meanwhile does not
  /// prove that its worker is gone.
  void OnWorkerRowsUnavailable();
  /// Handles the removal of a worker's row.
  void OnWorkerUnlisted(const WorkerId& aWorker);
  /// Does all work that is due: lease renewals, stops, placement and writes.
  void Tick();

  [[nodiscard]] JobStatus StatusOf(const JobId& aJob) const;
  /// @return for each queue the number of accepted jobs without start times that have not started.
  [[nodiscard]] std::map<std::string, std::uint64_t> PendingJobsByQueue() const;
  /// @return the expected waits of jobs that arrive now, for the leader record; updates the
  /// forecast
  [[nodiscard]] std::vector<ExpectedWait> ExpectedWaits();
  /// @return the draining workers and the jobs that may have runs there, for the leader record. The
  /// next leader need not wait for them to place tasks of other jobs.
  [[nodiscard]] DrainingJobs DrainingJobsToPublish() const;
  /// @return the workers that this leader is not in contact with, and the time that is left of
  /// their leases, for the leader record
  [[nodiscard]] SuspendedLeases SuspendedLeasesToPublish() const;
  /// @return the other workers at which a run may exist or may start, for the leader record.
  /// Workers that are left out get no tasks until they have been published again.
  [[nodiscard]] std::vector<std::string> WorkersToPublish();
  /// @return what the next leader record says. From now on the leases that it calls suspended are
  /// not renewed.
  [[nodiscard]] LeaderReport MakeLeaderReport();
  /// Called when the leader record says this. Only the workers that it names may get tasks, since
  /// the next leader asks each of them for its runs.
  /// @param aVersion version of the record, lower than the fencing token of any later term
  void OnReportStored(const LeaderReport& aReport, std::uint64_t aVersion);
  /// @return true while a predecessor's runs may exist at unread workers.
  [[nodiscard]] bool IsRecovering() const { return !this->unreadWorkers.IsEmpty(); }
  /// @return how long such runs may still exist.
  [[nodiscard]] Milliseconds RemainingRecoveryTime() const;

private:
  // Jobs.
  /// Adds a job that is new, or applies the end of a known one.
  void ApplySpecificationRow(const Row& aRow);
  /// Ends a known job if the row holds an @ref EndedJobRecord.
  void ApplyEndedRow(Job& aJob, const Row& aRow);
  /// Applies an outcome that a previous leader stored.
  void ApplyRecordedOutcome(Job& aJob, JobOutcome aOutcome);
  void OnOutcomeDurable(Job& aJob);
  /// Applies a progress row that is newer than the last one.
  void ApplyProgressRow(Job& aJob, const Row& aRow);
  void ApplyProgressRecord(Job& aJob, const ProgressRecord& aRecord);
  /// Cancels a job; remembers the cancellation if the job is not known yet.
  void ApplyCancellation(const JobId& aJob);
  /// Creates the occurrences of a job whose due time has come, unless too many others are open.
  void StartDueOccurrences(Job& aJob);
  /// @return the occurrence; creates it and those before it that do not exist yet
  OccurrenceRun& FindOrCreateOccurrence(Job& aJob, std::uint32_t aNumber);
  /// Creates an occurrence with all its tasks waiting.
  void CreateOccurrence(Job& aJob, std::uint32_t aNumber);
  /// Marks the steps whose dependencies have succeeded.
  void MarkReadySteps(Job& aJob, std::uint32_t aOccurrence);
  /// Marks a task as succeeded; of a gang, the whole step.
  void MarkTaskSucceeded(Job& aJob, const TaskKey& aKey);
  /// Marks a step and its tasks as succeeded; ends the job after its last step.
  void MarkStepSucceeded(Job& aJob, std::uint32_t aOccurrence, std::uint32_t aStep);
  /// Counts a failed run, and fails the job after too many.
  void RecordFailedRun(Job& aJob, const TaskKey& aKey, std::uint64_t aRun);
  /// Fails the job if its task has failed too often.
  void GiveUpFailingTask(Job& aJob, const TaskKey& aKey);
  /// Sets the outcome of an active job and stops its runs.
  void EndJob(Job& aJob, JobOutcome aOutcome, std::string_view aReason);
  void StopAllRuns(Job& aJob);
  /// Records the first start of one of the job's tasks.
  void MarkJobStarted(Job& aJob);
  /// Schedules a write of the job's progress row.
  void MarkJobChanged(Job& aJob);
  /// @return the task, or null if its job is unknown or it does not exist
  [[nodiscard]] const Task* FindTask(const TaskName& aTask);
  /// Does the same for a task that is to be changed.
  [[nodiscard]] Task* FindOrCreateTask(const TaskName& aTask);
  /// @return the task of which a worker reports a run. Creates its occurrence, which has started
  /// even if it is not due yet by this leader's clock.
  [[nodiscard]] const Task* FindReportedTask(const TaskName& aTask);
  /// @return the job, or null if it is unknown or in @ref endedJobArchive.
  [[nodiscard]] Job* FindJob(const JobId& aJob);
  /// @return true if the workspace submits more jobs than its weight allows
  [[nodiscard]] bool IsBeyondWeight(const WorkspaceId& aWorkspace);
  /// @return the account of a workspace, which is created if it does not exist yet
  [[nodiscard]] WorkspaceUsage& UsageOf(const WorkspaceId& aWorkspace);
  /// @return the policy in the current document, or the job's own copy if the queue was removed.
  [[nodiscard]] const QueuePolicy& CurrentQueuePolicy(const Job& aJob) const;
  /// Removes ended jobs whose status retention has passed.
  void RemoveExpiredJobs();

  // Records.
  /// Writes the changed progress rows: in one transaction, or in one for each partition while the
  /// store is slow, so that no partition waits for another.
  void FlushProgress();
  /// Writes changed progress rows in one transaction.
  /// @param aPartitions indices of the progress partitions to write to
  void FlushPartitions(std::span<const std::uint32_t> aPartitions);
  /// @param aJobs the jobs written and the change count of each
  void OnFlushed(const std::vector<std::pair<JobId, std::uint64_t>>& aJobs,
                 const Transaction& aSent,
                 const Result<CommitResult>& aResult);
  /// Adopts the rows that another leader has changed.
  void OnFlushConflict(const std::vector<std::pair<JobId, std::uint64_t>>& aJobs,
                       const Transaction& aSent,
                       const CommitResult& aResult);
  /// Compacts the rows of ended jobs that have no runs any more.
  void CompactEndedJobs();
  /// The job's progress up to a change count is in the store.
  void OnProgressDurable(Job& aJob, std::uint64_t aChangeCount, std::uint64_t aVersion);
  /// Acknowledges the reported ends whose effects are in the store.
  void AdvanceAcknowledgements();
  /// Does the same for one worker.
  void AdvanceAcknowledgementsOf(Worker& aWorker);

  // Workers.
  [[nodiscard]] OrderTarget MakeOrderTarget(const Worker& aWorker) const;
  /// Sends the lease renewals that are due.
  void RenewDueLeases();
  /// @return how long a worker may wait for a run to end before it responds to a renewal
  [[nodiscard]] Milliseconds RenewalWait() const;
  /// Asks a worker for its report, and renews its lease unless it failed to respond last time.
  void SendLeaseRenewal(Worker& aWorker);
  void OnLeaseRenewalResponse(const WorkerId& aWorker,
                              std::int64_t aIncarnation,
                              std::uint64_t aFencingToken,
                              TimePoint aSent,
                              const Result<std::variant<WorkerReport, OrderResult>>& aResponse);
  /// Processes the report of a worker.
  /// @param aSent when the request was sent; runs that changed phase later are not reconciled
  void OnReport(Worker& aWorker, TimePoint aSent, const WorkerReport& aReport);
  /// Releases the allocation of an ended run and applies the end to its task.
  void OnRunEnded(Worker& aWorker, const EndedRun& aEnd);
  /// Updates the allocation of a reported run, or adopts the run.
  void OnActiveRun(Worker& aWorker, const ActiveRun& aActiveRun);
  /// Requeues running tasks that the report does not list, and stops starts that got no response.
  void ReconcileAllocations(Worker& aWorker, TimePoint aSent, const WorkerReport& aReport);
  /// Adds the allocation of a run that this leader did not start; stops the run if its task does
  /// not need it.
  void AdoptRun(Worker& aWorker, const ActiveRun& aActiveRun);
  /// Schedules a retry, and marks the worker unreachable after too long a silence.
  void OnLeaseRenewalFailed(Worker& aWorker);
  /// Discards all state of the worker's previous incarnation.
  void OnWorkerRestarted(Worker& aWorker, WorkerLossReason aReason);
  /// Releases the allocations of a worker whose runs have ended without a report. The first report
  /// of the next incarnation tells which of the others it runs.
  void RequeueLostRuns(Worker& aWorker, WorkerLossReason aReason);
  /// Sends the stop of a run again, to the next incarnation of a worker. It has the same id and may
  /// carry out a start order that was sent to the previous one.
  void PreventLateStart(Worker& aWorker, Allocation& aAllocation);
  /// Adds a worker, or updates a known one; ends the incarnations that it supersedes.
  void ApplyWorkerEntry(const WorkerEntry& aEntry);
  /// Requeues the runs of unreachable workers whose lease has expired, and removes the unlisted
  /// ones.
  void RemoveLostWorkers();
  /// Stops waiting for workers of the predecessor that have had no row during this term, once their
  /// runs must have ended.
  void StopAwaitingUnlistedWorkers();
  /// Marks a worker whose runs are known or have ended as read.
  void MarkWorkerRead(const WorkerId& aWorker);
  /// @return true if a run may exist at the worker or may start there before the next leader record
  [[nodiscard]] bool MayHaveRuns(const Worker& aWorker) const;
  /// Lets the tasks of jobs start again that can have neither runs nor ends at an unread worker.
  void ReleaseHeldJobs();
  /// Extends the lease on the leader's side.
  /// @return the lease's deadline on the worker's clock, ms
  [[nodiscard]] std::int64_t ExtendLease(Worker& aWorker);
  /// Removes an allocation and returns its resources.
  void ReleaseAllocation(Worker& aWorker, const TaskName& aTask, std::uint64_t aRun);
  /// Makes the task wait again after its run has ended, unless a newer run exists.
  void RequeueRun(const TaskName& aTask, std::uint64_t aRun);
  /// Copies the last reported checkpoint of a lost run to its task; of a gang, to its first task.
  void SaveCheckpoint(const Allocation& aAllocation);
  /// Applies the end of a run to its task, which exists.
  void ApplyRunEnd(Worker& aWorker, Job& aJob, const EndedRun& aEnd);
  /// Stops the remaining members of a gang after the run of one of them has ended; no effect on
  /// other steps, and on a task that this leader does not know.
  void StopGang(const TaskName& aTask, std::uint64_t aRun);
  void StopRun(Worker& aWorker, Allocation& aAllocation, std::string_view aReason);
  void SendStop(Worker& aWorker, Allocation& aAllocation);
  void OnStopResponse(const RunOrder& aOrder, const Result<OrderResult>& aResult);
  /// Sends stop orders again that were not accepted.
  void SendDueStops();
  /// @return true if the worker has stops that it has not accepted yet
  bool SendDueStopsTo(Worker& aWorker, TimePoint aNow);
  /// Stops runs that have made no progress for too long, and avoids their worker.
  void StopStalledRuns(Worker& aWorker);
  /// @return true if the run belongs to a gang of which another member is not known to run
  [[nodiscard]] bool AwaitsGangMembers(const Allocation& aAllocation);
  /// Updates the worker's failure streak, and avoids the worker after too many failures.
  void RecordRunOutcome(Worker& aWorker, const TaskName& aTask, bool aHasFailed);
  /// Ends all activity after another leader has taken over.
  void StepDown(std::string_view aReason);

  // Crashes of workers.
  /// Remembers what a worker ran when contact with it was lost. Does nothing for a draining worker,
  /// which is expected to leave.
  void RecordWorkerLoss(const Worker& aWorker);
  /// Counts the crash of a machine on which a later incarnation has started.
  /// @param aLaterIncarnation start of the later process, Unix ms
  void ConfirmCrash(const std::string& aMachine, std::int64_t aLaterIncarnation);
  /// Counts a crash against the tasks that ran at the worker, unless its whole rack was lost.
  void OnWorkerCrashed(const WorkerLoss& aLoss);
  /// @return nothing if another worker of the rack kept responding; otherwise the jobs that had
  /// runs at every worker of the rack, and so may have crashed them all
  [[nodiscard]] std::optional<std::set<JobId>> FindJobsAtLostRack(const WorkerLoss& aLoss) const;
  /// Counts a run during which its worker crashed; fails the job after too many.
  void RecordCrashedRun(const LostRun& aRun, const WorkerId& aWorker);
  /// Counts a run that was lost with its whole rack; fails the job after too many lost runs.
  void RecordRackLoss(const LostRun& aRun);
  /// @return the task of a run if it is not over yet
  [[nodiscard]] Task* FindOpenTask(const LostRun& aRun);
  /// Fails the job if its task has crashed too many workers.
  void GiveUpCrashingTask(const LostRun& aRun);
  /// Treats a start that a previous leader recorded as a lost run until its worker responds.
  void AdoptRecordedStart(const TaskName& aTask, const RecordedStart& aStart);
  /// Records that a suspect's task starts at a worker.
  void RecordStart(Job& aJob, Task& aTask, const Worker& aWorker, std::uint64_t aRun);
  /// Records the start of a suspect's gang, unless the same record is not stored yet.
  void RecordGangStart(const Candidate& aCandidate,
                       std::span<Worker* const> aAssigned,
                       std::uint64_t aRun);
  /// @return true if the start of each member at its assigned worker is recorded and stored
  [[nodiscard]] static bool IsGangRecorded(const Candidate& aCandidate,
                                           std::span<Worker* const> aAssigned);
  /// Starts a suspect's task where its start is recorded, if it still fits there. Otherwise records
  /// the start at the chosen worker.
  /// @return true if the task was started
  bool StartRecordedTask(const Candidate& aCandidate,
                         std::uint32_t aIndex,
                         Worker& aChosen,
                         const std::vector<Worker*>& aEligible,
                         const TaskCountFunction& aCount);
  /// @return the workers at which the start of a suspect's gang is recorded, or nothing if there is
  /// no stored record or the gang no longer fits there
  [[nodiscard]] std::optional<std::vector<Worker*>> FindRecordedGang(
    const Candidate& aCandidate,
    const std::vector<Worker*>& aEligible) const;
  /// @return true if a run of another job that may have crashed a worker is at this one
  [[nodiscard]] bool HostsOtherCrashSuspect(const Worker& aWorker, const Job& aJob);
  /// Removes the workers at which a run of another suspect is, if the job is a suspect itself: a
  /// crash then tells which of them is the cause.
  /// @return the workers to choose from first
  [[nodiscard]] std::vector<Worker*> KeepSuspectsApart(const Job& aJob,
                                                       std::vector<Worker*> aWorkers);

  // Sharing of workers between service tasks and best-effort tasks.
  void ThrottleBestEffortTasks(Worker& aWorker);

  // Placement.
  void RunPlacementRound();
  [[nodiscard]] std::vector<Candidate> CollectCandidates(HeldSteps aHeldSteps);
  /// Records that tasks of the step may have started, so that the next leader awaits them.
  void RecordStepStart(Job& aJob, StepRun& aRun);
  /// Records it, too.
  /// @return true if the record is stored, or the store has been away for so long that the next
  /// leader does not rely on it: they may start
  [[nodiscard]] bool MayStartTasksOf(const Candidate& aCandidate);
  [[nodiscard]] bool AreAllStartsStored() const;
  /// Records which steps stand still since workers have not reported yet.
  void RecordHeldSteps();
  /// Sorts by priority.
  void OrderCandidates(std::vector<Candidate>& aCandidates) const;
  /// @return false for a step that awaits its first advice, and for a gang without new advice
  /// outside a gang round.
  [[nodiscard]] bool NeedsPlacementAttempt(const Candidate& aCandidate) const;
  WaitReason PlaceStep(const Candidate& aCandidate);
  WaitReason PlaceTasks(const Candidate& aCandidate, Pool& aPool);
  WaitReason PlaceGang(const Candidate& aCandidate, Pool& aPool);
  /// Logs the load of the cell if a line about it is due.
  void LogLoad();
  /// @param aNeedsTicket leaves out workers for which the step has no valid ticket
  [[nodiscard]] std::vector<Worker*> FindEligibleWorkers(const Candidate& aCandidate,
                                                         const Pool& aPool,
                                                         bool aNeedsTicket) const;
  /// @return true if the worker may get tasks now.
  [[nodiscard]] bool IsUsable(const Worker& aWorker, TimePoint aNow) const;
  /// @return true if the workspace's limit allows a task of the step, or its whole gang
  [[nodiscard]] bool FitsIntoLimit(const Candidate& aCandidate) const;
  /// Places what is pending, the most urgent steps first, until the time for a round is used up.
  void PlaceCandidates(std::span<const Candidate> aCandidates);
  /// Reserves a part of the workspace's limit for a gang that is on time, against the workspace's
  /// other batch tasks. Does nothing for a gang that exceeds the limit by itself.
  void ReserveLimitForGang(const Candidate& aCandidate);
  /// @return true if the step has to leave room to urgent tasks and to pending gangs.
  [[nodiscard]] bool IsNonUrgent(const Candidate& aCandidate) const;
  /// @return true once calls to all listed unread workers have failed, or after a time limit.
  [[nodiscard]] bool HasReadEnoughWorkers() const;
  /// Computes an upper bound of what a predecessor's runs use at unread workers.
  void EstimateUnreadUsage();
  /// @return true if the pool keeps its headroom for urgent tasks after the demand is allocated, or
  /// if the step has stood still for the headroom for too long and there is room for it twice.
  [[nodiscard]] bool LeavesHeadroom(const Candidate& aCandidate,
                                    const Resources& aDemand,
                                    const Pool& aPool) const;
  /// @return true if workers that are kept for a gang have room for a task of the step, or for its
  /// gang, and the step may not use them
  [[nodiscard]] bool HasEarmarkedRoom(const Candidate& aCandidate) const;
  /// Asks the policy service which of the workers may run the step.
  /// @param aClaimedMilliCores what the step is expected to take of each worker; see
  /// @ref AdviceClaims
  void RequestAdvice(const Candidate& aCandidate,
                     std::span<const WorkerNumber> aWorkers,
                     std::int64_t aClaimedMilliCores = 0);
  void OnAdviceResponse(const StepName& aStep,
                        std::span<const WorkerNumber> aRequested,
                        const Result<AdviceResponse>& aResponse);
  /// Discards the tickets for a worker, which are valid at one incarnation only.
  void ExpireTicketsFor(const Worker& aWorker);
  void NotifyPlacementDue();
  /// Chooses a worker for a task, if possible another one than where its last run failed.
  [[nodiscard]] Worker* ChooseWorkerFor(const Candidate& aCandidate,
                                        const Task& aTask,
                                        const std::vector<Worker*>& aEligible,
                                        const TaskCountFunction& aCount);
  /// Chooses workers for a gang among eligible ones, if possible apart from other suspects of a
  /// crash.
  [[nodiscard]] std::optional<std::vector<Worker*>> AssignGangTo(
    const Candidate& aCandidate,
    const std::vector<Worker*>& aEligible);
  /// Requests new tickets for eligible workers with room.
  void RenewTickets(const Candidate& aCandidate, Pool& aPool);
  /// @return workers that no request has named yet, preferred ones first. Together with the
  /// eligible workers they are expected to have room for several times the step's tasks.
  [[nodiscard]] std::vector<WorkerNumber> ChooseWorkersForRequest(const Candidate& aCandidate,
                                                                  Pool& aPool,
                                                                  std::size_t aMax);
  /// Requests advice on workers that no request has named yet, unless a response is pending.
  void RequestMoreAdvice(const Candidate& aCandidate, Pool& aPool);
  /// Starts all members of a gang. The start of a suspect is recorded first.
  /// @return true if the gang was started
  bool StartGang(const Candidate& aCandidate, std::span<Worker* const> aAssigned);
  /// Reserves room at the assigned workers and requests tickets for them.
  /// @param aStartDelay time until the workers have the room
  void ReserveForGang(const Candidate& aCandidate,
                      std::span<Worker* const> aAssigned,
                      Milliseconds aStartDelay);
  /// Stops runs that can wait, and reserves their room for the gang.
  /// @return true if room is reserved
  bool PreemptForGang(const Candidate& aCandidate, const Pool& aPool);
  [[nodiscard]] bool IsPreemptibleFor(const Candidate& aGang, const Allocation& aAllocation);
  /// Starts a gang at its reserved workers once there is a valid ticket for each. Releases a
  /// reservation for which it would wait in vain.
  /// @return true if the gang was started
  bool StartReservedGang(const Candidate& aCandidate);
  /// Earmarks the workers with the most free room: batch tasks stay off them until the gang fits.
  void EarmarkWorkersForGang(const Candidate& aCandidate, const Pool& aPool);
  void ReleaseReservation(StepRun& aRun, const StepSpecification& aStep, ReservationEnd aEnd);
  [[nodiscard]] bool IsTicketValid(const CachedTicket* aTicket) const;
  void StartTask(const Candidate& aCandidate,
                 std::uint32_t aIndex,
                 Worker& aWorker,
                 std::uint64_t aRunNumber,
                 const std::string& aCheckpoint);
  void OnStartResult(const WorkerId& aWorker,
                     const TaskName& aTask,
                     std::uint64_t aRun,
                     std::uint64_t aFencingToken,
                     const Result<OrderResult>& aResult);
  /// @param aReason why the order was not sent or not accepted, for the log
  void OnStartRejected(Worker& aWorker,
                       const TaskName& aTask,
                       std::uint64_t aRun,
                       OrderResult aResult,
                       std::string_view aReason);
  /// Avoids the worker for the first rejection of a task, and delays the task after further ones.
  void BackOffRejectedTask(Worker& aWorker, const TaskName& aTask);
  [[nodiscard]] Pool* FindPool(const std::string& aName);
  void BuildPools();
  [[nodiscard]] std::uint64_t NextRunNumber();

  Dependencies dependencies;
  CellSchedulerOptions options;
  std::shared_ptr<const CellPolicy> policy;
  std::unique_ptr<AdviceDispatcher> adviceDispatcher;
  AdviceClaims adviceClaims;
  /// Lets callbacks notice that the scheduler is gone.
  std::shared_ptr<bool> livenessToken = std::make_shared<bool>(true);
  bool hasLostLeadership = false;
  /// True while the jobs of a predecessor are being adopted.
  bool isAdoptingJobs = false;
  /// The token of the term.
  std::uint64_t fencingToken = 0;
  /// The version of the latest leader record, for workers that start again during the term.
  std::uint64_t latestFencingToken = 0;
  std::uint64_t runCounter = 0;
  TimePoint termBegin{};
  TimePoint termEnd{};
  UnreadWorkers unreadWorkers{ { .rowRestoreTimeout = this->options.rowRestoreTimeout,
                                 .maxOrderDelay = this->options.maxOrderDelay } };
  LeaseSuspensions leaseSuspensions;
  StartRecords startRecords;

  /// Jobs with all their steps: those that are active, or were during this term.
  std::unordered_map<JobId, Job> jobs;
  /// Active jobs in order of their ids, so that a replay visits them in the same order.
  std::map<JobId, Job*> activeJobs;
  /// Cancellations that arrived before their jobs.
  std::set<JobId> earlyCancellations;
  /// Jobs with unwritten progress.
  std::set<JobId> dirtyJobs;
  /// Partitions of the progress table to which a transaction is in flight.
  std::array<bool, kProgressPartitionCount> partitionsInFlight{};
  TimePoint nextFlush{};
  /// The latest write of progress failed.
  bool hasFlushFailed = false;
  /// Jobs with occurrences that are not due yet.
  std::set<JobId> timedJobs;
  /// Those of @ref jobs that have ended, oldest first.
  std::deque<JobId> endedJobs;
  EndedJobArchive endedJobArchive;
  EndedJobCompactor compactor{ this->dependencies.store, this->dependencies.clock };
  bool isStoreSlow = false;

  WorkerTable workers;
  /// Losses of contact that may turn out to be crashes.
  LostWorkers lostWorkers;
  RenewalQueue renewals;
  /// Workers that may have stop orders to repeat.
  std::set<WorkerNumber> workersWithStops;
  /// Workers that are not reachable, or have not reported yet.
  std::set<WorkerNumber> unresponsiveWorkers;
  /// Workers with ends that are not acknowledged yet.
  std::set<WorkerNumber> workersWithEnds;
  std::unordered_map<std::string, Pool> pools;
  RankingSelector rankings;
  /// Empty until the zones have been read.
  std::optional<EvacuatedZones> evacuatedZones;
  EvacuationReport evacuationReport;
  CompletionForecast forecast{ this->options.limitHeadroom };
  /// What each workspace uses; references to its elements stay valid.
  std::unordered_map<WorkspaceId, WorkspaceUsage> workspaces;
  /// Workers that the leader record names.
  std::set<WorkerId> publishedWorkers;
  /// Moving average of the fraction of requested workers that turned out eligible, by queue.
  std::map<QueueId, double> eligibleFractions;
  GangEarmarks gangEarmarks;
  std::uint64_t placementRound = 0;
  /// The latest round that ended before it had attempted all steps.
  std::uint64_t lastTruncatedRound = 0;
  /// Start of the current placement round. Its decisions use one time, since reading the clock
  /// costs more than most of them.
  TimePoint roundBegin{};
  bool isPlacementDue = true;
  LoadReport load;
  TimePoint nextGangPlacement{};
  /// True if the current placement round attempts all pending gangs.
  bool isGangRound = true;
  TimePoint lastPlacement{};
  TimePoint nextPlacement{};
};

}
