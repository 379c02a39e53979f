#pragma once

/// @file
/// Where the leader's time goes.

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace zinc::cell {

/// What the scheduler's thread works on.
enum class Activity : std::uint8_t
{
  /// None of the others; not measured.
  Idle,
  /// Checks of what is due: renewals, stops, lost workers, occurrences, expired jobs.
  DueChecks,
  /// Rounds that choose workers for pending steps.
  Placement,
  /// Encoding and sending of start and stop orders, and their responses.
  Orders,
  /// Lease renewals that are sent.
  Renewals,
  /// Reports of workers.
  Reports,
  /// Rows of the job table.
  Jobs,
  /// Progress rows that are written.
  Progress,
  /// Responses of the policy service.
  Advice,
  /// The leader record.
  LeaderRecord,
};

inline constexpr std::size_t kActivityCount = 10;

/// Adds up the time of each activity. An activity that begins within another one interrupts it, so
/// that no time counts twice.
class ActivityTimes
{
public:
  using Duration = std::chrono::nanoseconds;
  /// Reads a steady clock.
  using ClockFunction = Duration (*)();

  /// Measures an activity until the end of its lifetime.
  class Scope
  {
  public:
    Scope(ActivityTimes& aTimes, Activity aActivity)
      : times(aTimes)
      , interrupted(aTimes.SwitchTo(aActivity))
    {
    }
    ~Scope() { this->times.SwitchTo(this->interrupted); }
    Scope(const Scope&) = delete;
    Scope& operator=(const Scope&) = delete;

  private:
    ActivityTimes& times;
    Activity interrupted;
  };

  explicit ActivityTimes(ClockFunction aClock = &ReadSteadyClock)
    : clock(aClock)
  {
  }

  /// @return the time of the activity since the last call of @ref Reset
  [[nodiscard]] Duration TimeOf(Activity aActivity) const
  {
    return this->times.at(static_cast<std::size_t>(aActivity));
  }
  /// Sets all times to zero.
  void Reset() { this->times = {}; }

private:
  [[nodiscard]] static Duration ReadSteadyClock()
  {
    return std::chrono::steady_clock::now().time_since_epoch();
  }

  /// Ends the current activity and begins another one.
  /// @return the activity that was ended
  Activity SwitchTo(Activity aActivity)
  {
    const auto now = this->clock();
    const auto previous = this->current;
    if (previous != Activity::Idle) {
      this->times.at(static_cast<std::size_t>(previous)) += now - this->since;
    }
    this->current = aActivity;
    this->since = now;
    return previous;
  }

  ClockFunction clock;
  Activity current = Activity::Idle;
  Duration since{};
  std::array<Duration, kActivityCount> times{};
};

}
