#pragma once

/// @file
/// Which faults strike a run, when and whom.

#include <LibBase/Time.h>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace zinc::soak {

enum class FaultKind : std::uint8_t
{
  KillInstance,
  StopInstance,
  FreezeInstance,
  KillAllInstances,
  CutStore,
  CutStoreToTarget,
  CutStoreToClient,
  RefuseStore,
  DelayStore,
  SilenceStore,
  StoreDown,
  StoreSlow,
  StoreLosesAnswers,
  StoreLate,
  StoreForgetsHistory,
  CrashWorker,
  DrainWorker,
  FreezeWorker,
  SilenceWorker,
  WorkerLosesAnswers,
  WorkerLate,
  WorkerSlow,
  ChangeDocument,
  ShrinkWorker,
  EvacuateZone,
  StoreLateBySeconds,
};

inline constexpr std::size_t kFaultKinds = 26;

[[nodiscard]] std::string_view
ToString(FaultKind aKind);

/// @return true for faults that keep an instance from reading the store, or delay what it reads
[[nodiscard]] bool
KeepsFromStore(FaultKind aKind);

/// One fault.
struct SoakFault
{
  FaultKind kind = FaultKind::KillInstance;
  /// Whom it strikes, modulo their number.
  std::uint32_t target = 0;
  Milliseconds at{ 0 };
  Milliseconds lasts{ 0 };
};

using SoakSchedule = std::vector<SoakFault>;

/// @return the faults of a seed in the order of their times: some at once, some in series.
[[nodiscard]] SoakSchedule
DrawFaults(std::uint64_t aSeed);

[[nodiscard]] std::string
Describe(const SoakSchedule& aSchedule);

}
