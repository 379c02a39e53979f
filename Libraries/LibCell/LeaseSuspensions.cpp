#include <LibCell/LeaseSuspensions.h>

namespace zinc::cell {

std::uint64_t
LeaseSuspensions::OnRecordMade(const SuspendedLeases& aLeases)
{
  ++this->recordCount;
  for (const auto& [worker, left] : aLeases) {
    this->lastRecords[worker] = this->recordCount;
  }
  return this->recordCount;
}

std::vector<WorkerId>
LeaseSuspensions::OnRecordStored(std::uint64_t aNumber)
{
  std::vector<WorkerId> resumed;
  for (const auto& [worker, lastRecord] : this->lastRecords) {
    if (lastRecord < aNumber) {
      resumed.push_back(worker);
    }
  }
  for (const auto& worker : resumed) {
    this->lastRecords.erase(worker);
  }
  return resumed;
}

}
