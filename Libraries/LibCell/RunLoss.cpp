#include <LibCell/RunLoss.h>

namespace zinc::cell {

bool
IsRunLost(const Allocation& aAllocation, WorkerLossReason aReason)
{
  switch (aReason) {
    case WorkerLossReason::RowOfNextIncarnation:
    case WorkerLossReason::ReportOfNextIncarnation:
      return aAllocation.isReported;
    case WorkerLossReason::LeaseExpired:
    case WorkerLossReason::Superseded:
    case WorkerLossReason::AddressReused:
      return true;
  }
  return true;
}

}
