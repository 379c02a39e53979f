#pragma once

/// @file
/// What the cell asks of the platform: its store, its workers and its policy service. The adapter
/// implements these; tests use fakes.

#include <LibBase/Verdict.h>
#include <LibCell/Policy.h>
#include <LibCell/Specification.h>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <tuple>
#include <vector>

namespace zinc::cell {

template<typename T>
using Handler = std::function<void(Result<T>)>;

/// Names a row of the store.
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

/// A row as it stands.
struct Row
{
  RowKey key;
  std::string value;
  /// From one counter of the whole store; 0 if the row does not exist.
  std::uint64_t version = 0;
  bool isDeleted = false;
};

/// Some rows and the version of the store up to which they are complete.
struct RowBatch
{
  std::vector<Row> rows;
  std::uint64_t version = 0;
  bool hasMore = false;
  /// The store's steady clock when it answered; 0 if it does not tell.
  Milliseconds storeTime{ 0 };
};

/// A version that a row must have for a transaction to take effect.
struct RowCondition
{
  RowKey key;
  std::uint64_t version = 0;
};

/// A row to be written.
struct RowWrite
{
  RowKey key;
  std::string value;
};

/// Applied whole or not at all.
struct Transaction
{
  std::vector<RowCondition> conditions;
  std::vector<RowWrite> writes;
  std::vector<RowKey> removals;
  /// True if the entries lie in several partitions.
  bool spansPartitions = false;
  /// How much longer than for other calls its answer is waited for.
  Milliseconds extraTimeout{ 0 };
};

/// What became of a transaction.
struct CommitResult
{
  bool isCommitted = false;
  /// Version of the rows written.
  std::uint64_t version = 0;
  /// The rows of the conditions as they stand, if a condition did not hold.
  std::vector<Row> currentRows;
};

/// A range of keys of one partition of a table.
struct RowRange
{
  std::string table;
  std::string partition;
  /// First key; empty for the first of all.
  std::string from;
  /// First key beyond; empty for none.
  std::string to;
};

/// The platform's transactional store.
class StorePort
{
public:
  virtual ~StorePort() = default;

  /// Reads a range as of one moment, at most 500 rows.
  virtual void Read(const RowRange& aRange, Handler<RowBatch> aHandler) = 0;
  /// Waits for changes of a table after a version.
  /// @param aWait how long the store may hold its answer back
  /// @param aHandler gets @ref ErrorCode::StaleVersion if the history was dropped
  virtual void Watch(const std::string& aTable,
                     std::uint64_t aAfter,
                     Milliseconds aWait,
                     Handler<RowBatch> aHandler) = 0;
  /// Applies a transaction. A verdict says whether it may still take effect.
  virtual void Commit(Transaction aTransaction, Handler<CommitResult> aHandler) = 0;
};

/// What a worker says of itself in the store.
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
  /// The instance that it runs on.
  std::string machine;
  /// Start of its present life, Unix milliseconds.
  std::int64_t incarnation = 0;
};

/// How a run ended.
enum class EndKind : std::uint8_t
{
  Succeeded,
  Failed,
  Stopped,
  /// Its lease ran out.
  Lapsed,
  /// Another member of its gang ended.
  GangBroken,
  /// It waited in vain for the other members of its gang.
  GangIncomplete,
};

/// A run that is present at a worker.
struct RunningEntry
{
  TaskName task;
  std::uint64_t run = 0;
  std::string checkpoint;
  int percent = 0;
  /// Tail of the response times in ms of a serving task, else thousandths of a core in use.
  std::int64_t load = 0;
};

/// A run that ended at a worker.
struct EndedEntry
{
  std::uint64_t sequence = 0;
  TaskName task;
  std::uint64_t run = 0;
  EndKind kind = EndKind::Failed;
  std::string checkpoint;
};

/// A worker's lists.
struct WorkerReport
{
  /// The worker's own clock, ms.
  std::int64_t clock = 0;
  /// Start of the worker's present life; 0 if it did not say.
  std::int64_t incarnation = 0;
  std::vector<RunningEntry> running;
  std::vector<EndedEntry> ended;
};

/// Which worker an order is for and under which token.
struct OrderTarget
{
  WorkerId worker;
  std::string address;
  std::uint16_t port = 0;
  std::uint64_t fencingToken = 0;
};

/// Asks a worker for its lists and renews the lease of all that it runs.
struct LeaseRenewal
{
  OrderTarget target;
  /// On the worker's clock; absent leaves the lease as it is.
  std::optional<std::int64_t> deadline;
  /// Ends up to it are forgotten.
  std::uint64_t acknowledged = 0;
  /// How long the worker may wait for an end.
  Milliseconds wait{ 0 };
};

/// Starts a run.
struct StartOrder
{
  OrderTarget target;
  TaskName task;
  std::uint64_t run = 0;
  std::string payload;
  std::int64_t deadline = 0;
  std::string checkpoint;
  std::string ticket;
};

/// Names a run in an order.
struct RunOrder
{
  OrderTarget target;
  TaskName task;
  std::uint64_t run = 0;
};

/// What a worker said to an order.
enum class OrderResult : std::uint8_t
{
  Accepted,
  /// A higher fencing token is known there.
  Fenced,
  /// A run as high was stopped or ended there.
  Outdated,
  /// The deadline has passed.
  Late,
  NoRoom,
  BadTicket,
  /// Another life of the worker answered.
  WrongIncarnation,
  /// Nothing was done.
  Refused,
};

/// The platform's workers. A verdict in place of an answer says whether the order may be carried
/// out later.
class WorkerPort
{
public:
  virtual ~WorkerPort() = default;
  virtual void RenewLease(LeaseRenewal aOrder,
                          Handler<std::variant<WorkerReport, OrderResult>> aHandler) = 0;
  virtual void Start(StartOrder aOrder, Handler<OrderResult> aHandler) = 0;
  virtual void Stop(RunOrder aOrder, Handler<OrderResult> aHandler) = 0;
  virtual void Throttle(RunOrder aOrder, int aPercent, Handler<OrderResult> aHandler) = 0;
  /// Closes the connections to a worker that is gone.
  virtual void Disconnect(const WorkerId& aWorker) = 0;
};

/// Names a step of one occurrence of a job.
struct StepName
{
  JobId job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;

  friend bool operator==(const StepName&, const StepName&) = default;
};

/// A worker that may run a step and the ticket to present to it.
struct Ticket
{
  WorkerId worker;
  std::string text;
};

/// Asks which of the workers may run a step.
struct AdviceRequest
{
  StepName step;
  std::vector<WorkerId> workers;
  /// Time that the service needs for the answer.
  Milliseconds expected{ 0 };
};

/// The workers that may run the step, of those that were named.
struct AdviceResponse
{
  std::vector<Ticket> tickets;
};

/// The policy service, called by one of the instances.
class AdvicePort
{
public:
  virtual ~AdvicePort() = default;
  /// @param aInstance the instance that makes the call
  virtual void RequestAdvice(const std::string& aInstance,
                             AdviceRequest aQuestion,
                             Handler<AdviceResponse> aHandler) = 0;
};

}
