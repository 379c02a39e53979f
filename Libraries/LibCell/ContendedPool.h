#pragma once

/// @file
/// What the leader keeps of a contended pool between placement rounds. Load: more pending work than
/// the pool has room for, for seconds or for minutes.

#include <LibBase/Time.h>
#include <LibCell/ExpiredWorkShare.h>
#include <LibCell/Pool.h>
#include <cstdint>
#include <span>

namespace zinc::cell {

struct Candidate;

/// The state of a contended pool. A new leader begins without it and has it after a round.
class ContendedPool
{
public:
  /// Begins a placement round.
  /// @param aUpdateRate whether to estimate again how fast the pool's processors become free, which
  /// visits all runs
  void BeginRound(const Pool& aPool, TimePoint aNow, bool aUpdateRate);
  /// @return the expected time until this many thousandths of a core are free, if nothing else took
  /// them: a lower bound of the wait for room. 0 if nothing runs.
  [[nodiscard]] Milliseconds TimeUntilFree(std::int64_t aMilliCores) const;

  /// Moves one step without value to the work that is on time, if the share of such work allows.
  void PlaceExpiredShare(std::span<Candidate> aCandidates);

  /// Notes that work of value did not fit.
  void NoteShortage(TimePoint aNow) { this->lastShortage = aNow; }
  /// @return true if work of value lacks room, so that work without value has to wait
  [[nodiscard]] bool IsShort(TimePoint aNow) const
  {
    const bool isMostlyFree = static_cast<double>(this->freeMilliCores) >
                              kMostlyFreeShare * static_cast<double>(this->milliCores);
    return !isMostlyFree && this->lastShortage != TimePoint{} &&
           aNow - this->lastShortage < kShortageMemory;
  }

private:
  /// Gangs are attempted every 50 ms, so this remembers one that did not fit for two attempts.
  static constexpr Milliseconds kShortageMemory{ 100 };
  /// A step that fits nowhere although this share of the pool's processors is free does not lack
  /// room. It may never fit, and must not keep all work without value from its start.
  static constexpr double kMostlyFreeShare = 0.4;

  TimePoint now{};
  std::int64_t milliCores = 0;
  std::int64_t freeMilliCores = 0;
  /// Thousandths of a core that the running tasks are expected to release in a millisecond.
  double releaseRate = 0.0;
  TimePoint lastShortage{};
  ExpiredWorkShare expiredWork;
};

}
