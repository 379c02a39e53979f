#include <LibCell/RunLoss.h>

namespace zinc::cell {

bool
IsRunLost(const Worker& aWorker,
          const Allocation& aAllocation,
          WorkerLossReason aReason,
          TimePoint aNow,
          Milliseconds aMaxOrderDelay)
{
  switch (aReason) {
    case WorkerLossReason::LeaseExpired:
      return aAllocation.isReported || !aWorker.isListed ||
             aNow > aWorker.leaseExpiry + aMaxOrderDelay;
    case WorkerLossReason::RowOfNextIncarnation:
    case WorkerLossReason::ReportOfNextIncarnation:
      return aAllocation.isReported;
    case WorkerLossReason::Superseded:
    case WorkerLossReason::AddressReused:
      return true;
  }
  return true;
}

}
