#pragma once

/// @file
/// What a leader promises its successor: the progress rows name all steps whose tasks may have
/// started, so that others can start at once after a change of leader, whatever runs at workers
/// that do not respond. Load: hundreds of pending steps at a change of leader beside a cut, and
/// outages of the store.

#include <LibBase/Time.h>
#include <algorithm>
#include <optional>
#include <utility>

namespace zinc::cell {

/// For this long after it has made a leader record with the promise, a leader starts no task that
/// is not recorded. It may do so later, while the store is away.
inline constexpr Milliseconds kStartRecordPromise{ 1900 };

/// Decides what a leader record promises, and when tasks may start without a record.
class StartRecords
{
public:
  /// Begins a term.
  /// @param aIsInherited the predecessor kept the promise, or there was none
  void Begin(bool aIsInherited, TimePoint aNow)
  {
    this->areComplete = aIsInherited;
    this->lastStoredReport = aNow;
    this->promisedUntil = aNow + kStartRecordPromise;
  }
  /// @return true if the rows name all steps whose tasks may have started
  [[nodiscard]] bool AreComplete() const { return this->areComplete; }
  /// Called when a leader record is made.
  /// @param aAreAllStored the store has all records of starts
  /// @return true if the record is to say so
  [[nodiscard]] bool Promise(bool aAreAllStored, TimePoint aNow);
  /// Called when the store holds a leader record.
  /// @param aMadeAt when it was made
  void OnReportStored(TimePoint aMadeAt)
  {
    this->lastStoredReport = std::max(this->lastStoredReport, aMadeAt);
  }
  /// Called for a step whose record is not stored yet.
  /// @return true if its tasks may start nevertheless
  [[nodiscard]] bool AllowsUnrecordedStart(TimePoint aNow);
  /// @return true if a step waits for its record, which is to be stored without delay
  [[nodiscard]] bool HasWaiting() const { return this->waitingSince.has_value(); }
  /// Called when records are stored.
  /// @return true if a step has waited for one
  [[nodiscard]] bool TakeWaiting() { return std::exchange(this->waitingSince, {}).has_value(); }

private:
  bool areComplete = true;
  /// No task may start unrecorded before then.
  TimePoint promisedUntil{};
  /// When the latest leader record was made that the store holds.
  TimePoint lastStoredReport{};
  /// When a step first waited for its record since records were stored last.
  std::optional<TimePoint> waitingSince;
};

}
