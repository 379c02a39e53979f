#pragma once

/// @file
/// The metrics of an entry instance.

#include <LibBase/Task.h>
#include <LibBase/Verdict.h>
#include <LibDispatch/Executor.h>
#include <LibMetrics/MetricRegistry.h>
#include <map>
#include <tuple>

namespace zinc {

/// Records metrics of requests and tasks. The histograms of each team and work class are looked up
/// in the registry only once, since a lookup takes a lock and compares texts. Used on the control
/// thread; the registry may be rendered on any thread.
class EntryMetrics
{
public:
  [[nodiscard]] MetricRegistry& Registry() { return this->registry; }

  /// Counts a response by outcome and records the time of its request.
  /// @param aError empty if the request succeeded
  /// @param aDuration time from the arrival of the request to its response
  void RecordResponse(const TeamId& aTeam,
                      WorkClass aClass,
                      std::optional<ErrorCode> aError,
                      Milliseconds aDuration);

  /// Counts an ended attempt and records how long it waited and ran.
  void RecordTask(const TaskTiming& aTiming);

  /// Sets a gauge.
  void SetGauge(const MetricFamily& aFamily, double aValue);

private:
  /// The histograms of one team and work class.
  struct Series
  {
    Histogram& waitTime;
    Histogram& runTime;
    Histogram& requestTime;
  };

  struct SeriesKey
  {
    TeamId team;
    WorkClass workClass = WorkClass::Check;

    friend bool operator<(const SeriesKey& aLeft, const SeriesKey& aRight)
    {
      return std::tie(aLeft.team, aLeft.workClass) < std::tie(aRight.team, aRight.workClass);
    }
  };

  [[nodiscard]] Series& FindOrCreateSeries(const TeamId& aTeam, WorkClass aClass);

  MetricRegistry registry;
  std::map<SeriesKey, Series> series;
};

}
