#include <Soak/SoakFaults.h>

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <pcg_random.hpp>

namespace zinc::soak {

namespace {

constexpr std::array<std::string_view, kFaultKinds> kNames = {
  "kill_instance",
  "stop_instance",
  "freeze_instance",
  "kill_all_instances",
  "cut_store",
  "cut_store_to_target",
  "cut_store_to_client",
  "refuse_store",
  "delay_store",
  "silence_store",
  "store_down",
  "store_slow",
  "store_loses_answers",
  "store_late",
  "store_forgets_history",
  "crash_worker",
  "drain_worker",
  "freeze_worker",
  "silence_worker",
  "worker_loses_answers",
  "worker_late",
  "worker_slow",
  "change_document",
  "shrink_worker",
  "evacuate_zone",
  "store_late_by_seconds",
};

constexpr std::uint32_t kFirst = 1000;
constexpr std::uint32_t kLast = 10'000;
/// The longest outlast the leases of workers and of the leader.
constexpr std::uint32_t kShortest = 200;
constexpr std::uint32_t kLongest = 7000;
constexpr std::uint32_t kFewest = 3;
constexpr std::uint32_t kMost = 9;
constexpr std::uint32_t kTargets = 1000;
/// One fault in so many begins with the one before, and one in so many repeats it.
constexpr std::uint32_t kTogether = 4;
/// Kinds that are drawn together. Later ones are drawn from a stream of their own, so that the
/// faults of a seed stay the same.
constexpr std::uint32_t kDrawnTogether = 23;
constexpr std::uint64_t kShrinkStream = 7001;
constexpr std::uint32_t kMaxShrinks = 3;
constexpr std::uint64_t kEvacuationStream = 7002;
constexpr std::uint32_t kMaxEvacuations = 2;
/// Longer than the bound after which nothing may start in the zone.
constexpr std::uint32_t kShortestEvacuation = 6000;
constexpr std::uint32_t kLongestEvacuation = 10'000;
constexpr std::uint64_t kLateStoreStream = 7003;
constexpr std::uint32_t kMaxLateStores = 1;
/// Time between a fault's end and its repetition.
constexpr std::uint32_t kRepeatAfter = 1500;

}

std::string_view
ToString(FaultKind aKind)
{
  return kNames.at(static_cast<std::size_t>(aKind));
}

bool
KeepsFromStore(FaultKind aKind)
{
  switch (aKind) {
    case FaultKind::FreezeInstance:
    case FaultKind::CutStore:
    case FaultKind::CutStoreToTarget:
    case FaultKind::CutStoreToClient:
    case FaultKind::RefuseStore:
    case FaultKind::DelayStore:
    case FaultKind::SilenceStore:
    case FaultKind::StoreDown:
    case FaultKind::StoreSlow:
    case FaultKind::StoreLosesAnswers:
    case FaultKind::StoreLate:
    case FaultKind::StoreLateBySeconds:
      return true;
    default:
      return false;
  }
}

SoakSchedule
DrawFaults(std::uint64_t aSeed)
{
  pcg32 random(aSeed);
  SoakSchedule schedule;
  const auto count = kFewest + random(kMost - kFewest + 1);
  while (schedule.size() < count) {
    SoakFault fault{ .kind = static_cast<FaultKind>(random(kDrawnTogether)),
                     .target = random(kTargets),
                     .at = Milliseconds(kFirst + random(kLast - kFirst)),
                     .lasts = Milliseconds(kShortest + random(kLongest - kShortest)) };
    const auto relation = schedule.empty() ? kTogether : random(kTogether);
    if (relation == 0) {
      fault.at = schedule.back().at;
    } else if (relation == 1) {
      fault = schedule.back();
      fault.at += fault.lasts + Milliseconds(random(kRepeatAfter));
    }
    schedule.push_back(fault);
  }
  pcg32 shrinks(aSeed, kShrinkStream);
  for (auto left = shrinks(kMaxShrinks + 1); left > 0; --left) {
    schedule.push_back({ .kind = FaultKind::ShrinkWorker,
                         .target = shrinks(kTargets),
                         .at = Milliseconds(kFirst + shrinks(kLast - kFirst)),
                         .lasts = Milliseconds(kShortest + shrinks(kLongest - kShortest)) });
  }
  pcg32 evacuations(aSeed, kEvacuationStream);
  for (auto left = evacuations(kMaxEvacuations + 1); left > 0; --left) {
    const auto length = kShortestEvacuation + evacuations(kLongestEvacuation - kShortestEvacuation);
    schedule.push_back({ .kind = FaultKind::EvacuateZone,
                         .target = evacuations(kTargets),
                         .at = Milliseconds(kFirst + evacuations(kLast - kFirst)),
                         .lasts = Milliseconds(length) });
  }
  pcg32 lateStores(aSeed, kLateStoreStream);
  for (auto left = lateStores(kMaxLateStores + 1); left > 0; --left) {
    schedule.push_back({ .kind = FaultKind::StoreLateBySeconds,
                         .target = lateStores(kTargets),
                         .at = Milliseconds(kFirst + lateStores(kLast - kFirst)),
                         .lasts = Milliseconds(kShortest + lateStores(kLongest - kShortest)) });
  }
  std::sort(schedule.begin(), schedule.end(), [](const SoakFault& aLeft, const SoakFault& aRight) {
    return aLeft.at < aRight.at;
  });
  return schedule;
}

std::string
Describe(const SoakSchedule& aSchedule)
{
  std::string text;
  for (const auto& fault : aSchedule) {
    text += fmt::format("{}{}#{}@{}+{}",
                        text.empty() ? "" : " ",
                        ToString(fault.kind),
                        fault.target,
                        fault.at.count(),
                        fault.lasts.count());
  }
  return text;
}

}
