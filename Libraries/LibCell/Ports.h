#pragma once

/// @file
/// Interfaces through which the cell uses the platform: its store, its workers and its policy
/// service. The platform adapter implements them; tests use fakes.

#include <LibBase/Time.h>
#include <LibBase/Verdict.h>
#include <LibCell/Policy.h>
#include <LibCell/Specification.h>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace zinc::cell {

/// Callback that receives the result of an asynchronous call.
template<typename T>
using Handler = std::function<void(Result<T>)>;

/// Identifies a row of the store.
struct RowKey
{
  std::string table;
  std::string partition;
  std::string key;

  friend bool operator==(const RowKey&, const RowKey&) = default;
  friend bool operator<(const RowKey& aLeft, const RowKey& aRight)
  {
    return std::tie(aLeft.table, aLeft.partition, aLeft.key) <
           std::tie(aRight.table, aRight.partition, aRight.key);
  }
};

/// A row with its value and version.
struct Row
{
  RowKey key;
  std::string value;
  /// Version of the store at the last write of this row; 0 if the row does not exist.
  std::uint64_t version = 0;
  bool isDeleted = false;
};

/// The rows of one response of the store.
struct RowBatch
{
  std::vector<Row> rows;
  /// Version of the store up to which @ref rows are complete.
  std::uint64_t version = 0;
  /// Rows of the response that could not be read and are left out.
  std::size_t unreadableRows = 0;
  /// Rows of the requested range are missing; they follow the last one of @ref rows.
  bool hasMore = false;
  /// Monotonic clock of the store when it responded; 0 if the store did not report it.
  Milliseconds storeTime{ 0 };
};

/// Requires a row to have a certain version for a transaction to take effect.
struct RowCondition
{
  RowKey key;
  /// 0 requires that the row does not exist.
  std::uint64_t version = 0;
};

/// Writes a row, whether or not it exists.
struct RowWrite
{
  RowKey key;
  std::string value;
};

/// Conditions and changes that are applied atomically.
struct Transaction
{
  std::vector<RowCondition> conditions;
  std::vector<RowWrite> writes;
  std::vector<RowKey> removals;
  /// True if the entries lie in several partitions.
  bool spansPartitions = false;
  /// Added to the usual timeout of a response.
  Milliseconds extraTimeout{ 0 };
};

/// Outcome of a transaction.
struct CommitResult
{
  /// False if a condition did not hold; nothing was written then.
  bool isCommitted = false;
  /// Version of the rows written.
  std::uint64_t version = 0;
  /// Current state of the rows named in the conditions, if a condition did not hold.
  std::vector<Row> currentRows;
};

/// A range of keys in one partition of a table.
struct RowRange
{
  std::string table;
  std::string partition;
  /// First key, inclusive; empty to begin with the first row.
  std::string from;
  /// End of the range, exclusive; empty for no end.
  std::string to;
};

/// A transaction without a response is applied within this time, or never: the platform says
/// seconds, and the process that sends it may be suspended on the way.
inline constexpr Milliseconds kMaxWriteDelay{ 60'000 };

/// The platform's transactional store.
class StorePort
{
public:
  virtual ~StorePort() = default;

  /// Reads a consistent snapshot of a range, at most 500 rows per call.
  virtual void Read(const RowRange& aRange, Handler<RowBatch> aHandler) = 0;
  /// Waits for changes of a table (long poll).
  /// @param aAfterVersion reports the changes after this version
  /// @param aMaxWait how long the store may delay its response while nothing changes
  /// @param aHandler gets @ref ErrorCode::StaleVersion if the store no longer has the history since
  /// @p aAfterVersion
  virtual void Watch(const std::string& aTable,
                     std::uint64_t aAfterVersion,
                     Milliseconds aMaxWait,
                     Handler<RowBatch> aHandler) = 0;
  /// Applies a transaction.
  /// @param aHandler gets the outcome, or a verdict that says whether the transaction may still
  /// take effect
  virtual void Commit(Transaction aTransaction, Handler<CommitResult> aHandler) = 0;
};

/// A worker's own row in the store.
struct WorkerEntry
{
  WorkerId id;
  std::string pool;
  std::string address;
  std::uint16_t port = 0;
  ZoneId zone;
  RackId rack;
  std::vector<std::string> labels;
  Resources capacity;
  bool isDraining = false;
  /// The machine that the worker runs on.
  std::string machine;
  /// When the worker's process started, Unix milliseconds.
  std::int64_t incarnation = 0;
  /// How much longer the worker runs slowly after its start; 0 if that cannot be read.
  Milliseconds coldLeft{ 0 };
  bool hasUnreadableColdTime = false;

  /// @return the machine, or the worker's id if the row names none
  [[nodiscard]] const std::string& MachineOrId() const
  {
    return this->machine.empty() ? this->id.value : this->machine;
  }
};

/// How a run ended.
enum class RunOutcome : std::uint8_t
{
  Succeeded,
  Failed,
  Stopped,
  LeaseExpired,
  /// Another member of its gang ended.
  GangMemberEnded,
  /// The other members of its gang did not start in time.
  GangStartTimedOut,
};

/// A run that is present at a worker.
struct ActiveRun
{
  TaskName task;
  std::uint64_t run = 0;
  std::string checkpoint;
  int progressPercent = 0;
  /// Tail latency in ms of a service task, otherwise CPU use in thousandths of a core.
  std::int64_t load = 0;
};

/// A run that ended at a worker.
struct EndedRun
{
  /// Assigned by the worker in ascending order; see @ref LeaseRenewal::acknowledgedSequence.
  std::uint64_t sequence = 0;
  TaskName task;
  std::uint64_t run = 0;
  RunOutcome outcome = RunOutcome::Failed;
  std::string checkpoint;
};

/// A worker's active and ended runs.
struct WorkerReport
{
  /// The worker's own clock.
  std::int64_t clockMs = 0;
  /// When the worker's process started, Unix milliseconds; 0 if it did not report it.
  std::int64_t incarnation = 0;
  std::vector<ActiveRun> activeRuns;
  std::vector<EndedRun> endedRuns;
  /// The worker has further ends, which it lists once these are acknowledged.
  bool hasMoreEnds = false;
  /// The connection on which the worker responded; see @ref LeaseRenewal::connection.
  std::uint64_t connection = 0;
};

/// The worker that an order is sent to, and the sender's fencing token.
struct OrderTarget
{
  WorkerId worker;
  std::string address;
  std::uint16_t port = 0;
  std::uint64_t fencingToken = 0;
};

/// Requests a worker's report and renews the leases of all its runs.
struct LeaseRenewal
{
  OrderTarget target;
  /// When the leases expire, on the worker's clock in ms; empty leaves them unchanged.
  std::optional<std::int64_t> leaseDeadline;
  /// The worker deletes its records of ended runs up to this sequence number.
  std::uint64_t acknowledgedSequence = 0;
  /// How long the worker may delay its response while no run ends.
  Milliseconds maxWait{ 0 };
  /// If set, the order is sent on this connection only, so that it reaches the incarnation that has
  /// responded there, or none.
  std::optional<std::uint64_t> connection = {};
};

/// Starts a run.
struct StartOrder
{
  OrderTarget target;
  TaskName task;
  std::uint64_t run = 0;
  std::string payload;
  /// When the run's lease expires, on the worker's clock in ms.
  std::int64_t leaseDeadline = 0;
  /// Checkpoint to resume from; empty to start from the beginning.
  std::string checkpoint;
  /// Ticket of the policy service for this worker; empty if the queue needs none.
  std::string ticket;
};

/// Identifies the run that an order applies to.
struct RunOrder
{
  OrderTarget target;
  TaskName task;
  std::uint64_t run = 0;
};

/// A worker's response to an order.
enum class OrderResult : std::uint8_t
{
  Accepted,
  /// The worker has seen a higher fencing token.
  Fenced,
  /// A run of the task with this number or a higher one was stopped or ended there.
  StaleRun,
  /// The lease deadline of the order has passed.
  DeadlinePassed,
  InsufficientCapacity,
  InvalidTicket,
  /// Another incarnation of the worker responded.
  WrongIncarnation,
  /// Rejected for another reason; nothing was done.
  Rejected,
};

/// @return a short description of the result, for logs
[[nodiscard]] constexpr std::string_view
ToString(OrderResult aResult)
{
  switch (aResult) {
    case OrderResult::Accepted:
      return "accepted";
    case OrderResult::Fenced:
      return "fenced";
    case OrderResult::StaleRun:
      return "stale run";
    case OrderResult::DeadlinePassed:
      return "deadline passed";
    case OrderResult::InsufficientCapacity:
      return "insufficient capacity";
    case OrderResult::InvalidTicket:
      return "invalid ticket";
    case OrderResult::WrongIncarnation:
      return "other incarnation";
    case OrderResult::Rejected:
      return "rejected";
  }
  return "unknown";
}

/// The platform's workers. A verdict in place of a result says whether the order may still be
/// carried out.
class WorkerPort
{
public:
  virtual ~WorkerPort() = default;
  virtual void RenewLease(LeaseRenewal aOrder,
                          Handler<std::variant<WorkerReport, OrderResult>> aHandler) = 0;
  virtual void Start(StartOrder aOrder, Handler<OrderResult> aHandler) = 0;
  virtual void Stop(RunOrder aOrder, Handler<OrderResult> aHandler) = 0;
  /// Sets a run's duty cycle.
  /// @param aPercent 0 pauses the run, 100 is full speed
  virtual void Throttle(RunOrder aOrder, int aPercent, Handler<OrderResult> aHandler) = 0;
  /// Closes the connections to a worker that no longer exists.
  virtual void Disconnect(const WorkerId& aWorker) = 0;
};

/// Identifies a step of one occurrence of a job.
struct StepName
{
  JobId job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;

  friend bool operator==(const StepName&, const StepName&) = default;
};

/// Permits a step to run on a worker.
struct Ticket
{
  WorkerId worker;
  /// Sent to the worker with @ref StartOrder.
  std::string text;
};

/// Asks the policy service which workers are eligible for a step.
struct AdviceRequest
{
  StepName step;
  /// Workers whose eligibility is requested.
  std::vector<WorkerId> workers;
  /// Time that the service is expected to need for its response.
  Milliseconds expectedDuration{ 0 };
};

/// Tickets for those of the requested workers that are eligible.
struct AdviceResponse
{
  std::vector<Ticket> tickets;
  /// Tickets that could not be read and are left out.
  std::size_t unreadableTickets = 0;
};

/// The policy service.
class AdvicePort
{
public:
  virtual ~AdvicePort() = default;
  /// @param aInstance the instance that sends the request to the service
  virtual void RequestAdvice(const std::string& aInstance,
                             AdviceRequest aRequest,
                             Handler<AdviceResponse> aHandler) = 0;
};

}
