#include <LibCell/WorkerDirectory.h>

#include <set>

namespace zinc::cell {

WorkerDirectory::WorkerDirectory(Decoder aDecode, const Logger& aLog)
  : decode(std::move(aDecode))
  , log(aLog)
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
    this->log.Log(LogLevel::Warning,
                  "worker_row_unreadable",
                  { { "worker", id.value }, { "reason", ErrorOf(decoded).message } });
    this->Unlist(id, aChanges);
    return;
  }
  aChanges.listed.push_back(ValueOf(decoded));
  this->entries.insert_or_assign(id, std::move(ValueOf(decoded)));
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
