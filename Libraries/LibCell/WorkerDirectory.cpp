#include <LibCell/WorkerDirectory.h>

namespace zinc::cell {

namespace {

/// Unreadable rows that are remembered as logged; bounds the memory that foreign rows take.
constexpr std::size_t kMaxLoggedRows = 64;

}

WorkerDirectory::WorkerDirectory(Decoder aDecode, const Logger& aLog, MetricRegistry& aMetrics)
  : decode(std::move(aDecode))
  , log(aLog)
  , unreadableRows(
      aMetrics.FindCounter({ .name = "zinc_cell_unreadable_worker_rows_total",
                             .help = "Rows read in the workers' table that name no worker." }))
{
}

WorkerDirectory::Changes
WorkerDirectory::Apply(const TableUpdate& aUpdate)
{
  Changes changes;
  std::set<WorkerId> seen;
  for (const auto& row : aUpdate.rows) {
    seen.insert({ row.key.key });
    this->ApplyRow(row, changes);
  }
  if (!aUpdate.isSnapshot) {
    return changes;
  }
  std::vector<WorkerId> missing;
  for (const auto& [id, entry] : this->entries) {
    if (!seen.contains(id)) {
      missing.push_back(id);
    }
  }
  for (const auto& id : missing) {
    this->Unlist(id, changes);
  }
  return changes;
}

void
WorkerDirectory::ApplyRow(const Row& aRow, Changes& aChanges)
{
  const WorkerId id{ aRow.key.key };
  if (aRow.isDeleted) {
    this->Unlist(id, aChanges);
    return;
  }
  auto decoded = this->decode(id.value, aRow.value);
  if (IsError(decoded)) {
    this->OnUnreadableRow(id, ErrorOf(decoded));
    this->Unlist(id, aChanges);
    return;
  }
  this->loggedRows.erase(id);
  this->NoteColdTime(ValueOf(decoded));
  aChanges.listed.push_back(ValueOf(decoded));
  this->entries.insert_or_assign(id, std::move(ValueOf(decoded)));
}

void
WorkerDirectory::OnUnreadableRow(const WorkerId& aId, const Verdict& aReason)
{
  this->unreadableRows.Add();
  const bool isNew =
    this->loggedRows.size() < kMaxLoggedRows && this->loggedRows.insert(aId).second;
  if (isNew) {
    this->log.Log(LogLevel::Warning,
                  "worker_row_unreadable",
                  { { "worker", aId.value }, { "reason", aReason.message } });
  }
}

void
WorkerDirectory::NoteColdTime(const WorkerEntry& aEntry)
{
  if (!aEntry.hasUnreadableColdTime) {
    this->loggedColdTimes.erase(aEntry.id);
    return;
  }
  const bool isNew =
    this->loggedColdTimes.size() < kMaxLoggedRows && this->loggedColdTimes.insert(aEntry.id).second;
  if (isNew) {
    this->log.Log(
      LogLevel::Warning, "worker_cold_time_unreadable", { { "worker", aEntry.id.value } });
  }
}

void
WorkerDirectory::Unlist(const WorkerId& aWorker, Changes& aChanges)
{
  if (this->entries.erase(aWorker) > 0) {
    aChanges.unlisted.push_back(aWorker);
  }
}

std::vector<WorkerEntry>
WorkerDirectory::Entries() const
{
  std::vector<WorkerEntry> all;
  for (const auto& [id, entry] : this->entries) {
    all.push_back(entry);
  }
  return all;
}

}
