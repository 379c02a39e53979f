#include <LibCell/Records.h>
#include <LibCell/StoredJob.h>

namespace zinc::cell {

namespace {

/// Reads a job's specification row and its cancellation row.
void
ReadSpecificationRow(StorePort& aStore,
                     const JobId& aJob,
                     std::shared_ptr<const CellPolicy> aPolicy,
                     Handler<StoredJob> aHandler)
{
  aStore.Read(
    JobRowRange(aJob),
    [aJob, policy = std::move(aPolicy), handler = std::move(aHandler)](Result<RowBatch> aBatch) {
      if (IsError(aBatch)) {
        handler(ErrorOf(aBatch));
        return;
      }
      StoredJob stored;
      for (const auto& row : ValueOf(aBatch).rows) {
        const auto name = ParseJobRowKey(row.key.key);
        if (name && name->kind == JobRowKind::Cancellation) {
          stored.outcome = JobOutcome::Cancelled;
        }
        if (!name || name->kind != JobRowKind::Specification) {
          continue;
        }
        stored.version = row.version;
        if (auto tombstone = DecodeTombstone(row.value)) {
          handler(StoredJob{ .tombstone = std::move(tombstone), .version = row.version });
          return;
        }
        stored.isKnown = true;
        if (const auto ended = DecodeEndedJob(row.value, policy.get())) {
          handler(StoredJob{ .isKnown = true,
                             .workspace = ended->workspace,
                             .queue = ended->queue,
                             .outcome = ended->outcome,
                             .hasStarted = true,
                             .version = row.version });
          return;
        }
        const auto spec = DecodeSpecification(aJob, row.value);
        if (IsError(spec)) {
          handler(ErrorOf(spec));
          return;
        }
        stored.workspace = ValueOf(spec).workspace;
        stored.queue = ValueOf(spec).queue.name;
      }
      handler(std::move(stored));
    });
}

/// Reads a job's progress row and adds it to @p aStored.
void
ReadProgressRow(StorePort& aStore,
                const JobId& aJob,
                StoredJob aStored,
                Handler<StoredJob> aHandler)
{
  aStore.Read(
    ProgressRowRange(aJob),
    [stored = std::move(aStored), handler = std::move(aHandler)](Result<RowBatch> aBatch) mutable {
      if (IsError(aBatch)) {
        handler(ErrorOf(aBatch));
        return;
      }
      for (const auto& row : ValueOf(aBatch).rows) {
        const auto progress = DecodeProgress(row.value);
        if (IsError(progress)) {
          handler(ErrorOf(progress));
          return;
        }
        stored.outcome = ValueOf(progress).outcome;
        stored.hasStarted = ValueOf(progress).hasStarted;
      }
      handler(std::move(stored));
    });
}

}

void
ReadStoredJob(StorePort& aStore,
              const JobId& aJob,
              std::shared_ptr<const CellPolicy> aPolicy,
              Handler<StoredJob> aHandler)
{
  ReadSpecificationRow(aStore,
                       aJob,
                       std::move(aPolicy),
                       [&aStore, aJob, handler = std::move(aHandler)](Result<StoredJob> aStored) {
                         const bool isFinal = IsError(aStored) || !ValueOf(aStored).isKnown ||
                                              ValueOf(aStored).outcome != JobOutcome::Active;
                         if (isFinal) {
                           handler(std::move(aStored));
                           return;
                         }
                         ReadProgressRow(aStore, aJob, ValueOf(aStored), handler);
                       });
}

}
