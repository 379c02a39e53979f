#pragma once

/// @file
/// The metrics of a process and their text form.

#include <LibMetrics/Metrics.h>
#include <map>
#include <mutex>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace zinc {

/// A dimension of a metric, e.g. team or class.
struct MetricLabel
{
  std::string_view name;
  std::string value;
};

using MetricLabels = std::vector<MetricLabel>;

/// Name and help text shared by all label values of a metric.
struct MetricFamily
{
  /// With its unit, e.g. "zinc_wait_seconds".
  std::string_view name;
  std::string_view help;
};

/// Bucket bounds in seconds from a millisecond to an hour.
[[nodiscard]] std::span<const double>
LatencyBounds();

/// Owns metrics and renders them. Looking one up takes a lock and compares texts: callers look up
/// once and keep the reference, which lives as long as the registry or until the metric is removed.
/// One name has one kind.
class MetricRegistry
{
public:
  /// @return the metric with this name and these labels, made at the first call.
  [[nodiscard]] Counter& FindCounter(const MetricFamily& aFamily, const MetricLabels& aLabels = {});
  [[nodiscard]] Gauge& FindGauge(const MetricFamily& aFamily, const MetricLabels& aLabels = {});
  [[nodiscard]] Histogram& FindHistogram(const MetricFamily& aFamily,
                                         const MetricLabels& aLabels = {},
                                         std::span<const double> aBounds = LatencyBounds());

  /// Removes a gauge; references to it become invalid. Does nothing if there is none.
  void RemoveGauge(std::string_view aName, const MetricLabels& aLabels);

  /// @return all metrics and the process's own in the text exposition format, version 0.0.4.
  [[nodiscard]] std::string Render() const;

private:
  using Metric =
    std::variant<std::unique_ptr<Counter>, std::unique_ptr<Gauge>, std::unique_ptr<Histogram>>;

  struct Family
  {
    std::string help;
    /// By the text of the labels.
    std::map<std::string, Metric> series;
  };

  template<typename T, typename... Arguments>
  T& Find(const MetricFamily& aFamily, const MetricLabels& aLabels, Arguments... aArguments);

  mutable std::mutex mutex;
  std::map<std::string, Family, std::less<>> families;
};

}
