#include <LibMetrics/MetricRegistry.h>
#include <LibMetrics/ProcessUsage.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <fmt/format.h>
#include <iterator>
#include <utility>

namespace zinc {

namespace {

using Output = std::back_insert_iterator<std::string>;

constexpr std::array kLatencyBounds = { 0.001, 0.002, 0.005, 0.01,  0.02,   0.05,  0.1,
                                        0.2,   0.5,   1.0,   2.0,   5.0,    10.0,  30.0,
                                        60.0,  120.0, 300.0, 600.0, 1800.0, 3600.0 };

std::string
Escaped(std::string_view aText)
{
  std::string escaped;
  for (const char character : aText) {
    if (character == '\n') {
      escaped += "\\n";
      continue;
    }
    if (character == '"' || character == '\\') {
      escaped += '\\';
    }
    escaped += character;
  }
  return escaped;
}

/// @return labels as they stand between braces.
std::string
LabelText(const MetricLabels& aLabels)
{
  std::string text;
  for (const auto& label : aLabels) {
    text += fmt::format("{}{}=\"{}\"", text.empty() ? "" : ",", label.name, Escaped(label.value));
  }
  return text;
}

std::string
Braced(std::string_view aLabels)
{
  return aLabels.empty() ? std::string() : fmt::format("{{{}}}", aLabels);
}

std::string
WithLabel(std::string_view aLabels, std::string_view aName, std::string_view aValue)
{
  return fmt::format("{{{}{}{}=\"{}\"}}", aLabels, aLabels.empty() ? "" : ",", aName, aValue);
}

void
WriteHeader(Output aOutput, std::string_view aName, std::string_view aHelp, std::string_view aType)
{
  fmt::format_to(aOutput, "# HELP {} {}\n# TYPE {} {}\n", aName, aHelp, aName, aType);
}

void
WriteValue(Output aOutput, std::string_view aName, std::string_view aLabels, auto aValue)
{
  fmt::format_to(aOutput, "{}{} {}\n", aName, aLabels, aValue);
}

/// Writes the series of one family, told apart by the kind of their metric.
class SeriesWriter
{
public:
  SeriesWriter(Output aOutput, std::string_view aName, std::string_view aLabels)
    : output(aOutput)
    , name(aName)
    , labels(aLabels)
  {
  }

  void operator()(const std::unique_ptr<Counter>& aCounter) const
  {
    WriteValue(this->output, this->name, Braced(this->labels), aCounter->Value());
  }

  void operator()(const std::unique_ptr<Gauge>& aGauge) const
  {
    WriteValue(this->output, this->name, Braced(this->labels), aGauge->Value());
  }

  void operator()(const std::unique_ptr<Histogram>& aHistogram) const
  {
    const HistogramSnapshot snapshot = aHistogram->Snapshot();
    const std::string bucketName = fmt::format("{}_bucket", this->name);
    for (std::size_t index = 0; index < snapshot.cumulativeCounts.size(); ++index) {
      const bool bounded = index < aHistogram->Bounds().size();
      const std::string bound =
        bounded ? fmt::format("{}", aHistogram->Bounds()[index]) : std::string("+Inf");
      WriteValue(this->output,
                 bucketName,
                 WithLabel(this->labels, "le", bound),
                 snapshot.cumulativeCounts[index]);
    }
    const std::string braced = Braced(this->labels);
    WriteValue(this->output, fmt::format("{}_sum", this->name), braced, snapshot.sum);
    WriteValue(this->output, fmt::format("{}_count", this->name), braced, snapshot.count);
  }

private:
  Output output;
  std::string_view name;
  std::string_view labels;
};

/// Writes quantile estimates and maxima, which the histogram type has no place for.
template<typename SeriesMap>
void
WriteEstimates(Output aOutput, std::string_view aName, const SeriesMap& aSeries)
{
  std::string quantiles;
  std::string maxima;
  for (const auto& [labels, metric] : aSeries) {
    const auto* const histogram = std::get_if<std::unique_ptr<Histogram>>(&metric);
    if (histogram == nullptr) {
      return;
    }
    const HistogramSnapshot snapshot = (*histogram)->Snapshot();
    WriteValue(Output(maxima), fmt::format("{}_max", aName), Braced(labels), snapshot.max);
    for (const auto& estimate : snapshot.quantiles) {
      WriteValue(Output(quantiles),
                 fmt::format("{}_estimate", aName),
                 WithLabel(labels, "quantile", fmt::format("{}", estimate.probability)),
                 estimate.value);
    }
  }
  WriteHeader(aOutput, fmt::format("{}_max", aName), "Largest value recorded.", "gauge");
  aOutput = std::ranges::copy(maxima, aOutput).out;
  WriteHeader(aOutput, fmt::format("{}_estimate", aName), "Estimated quantiles.", "gauge");
  std::ranges::copy(quantiles, aOutput);
}

constexpr std::array<std::string_view, 3> kTypeNames = { "counter", "gauge", "histogram" };

}

std::span<const double>
LatencyBounds()
{
  return kLatencyBounds;
}

template<typename T, typename... Arguments>
T&
MetricRegistry::Find(const MetricFamily& aFamily,
                     const MetricLabels& aLabels,
                     Arguments... aArguments)
{
  const std::scoped_lock lock(this->mutex);
  Family& family = this->families[std::string(aFamily.name)];
  family.help = aFamily.help;
  const auto [found, isNew] = family.series.try_emplace(LabelText(aLabels), std::unique_ptr<T>());
  if (isNew) {
    found->second = std::make_unique<T>(aArguments...);
  }
  assert(std::holds_alternative<std::unique_ptr<T>>(found->second));
  return *std::get<std::unique_ptr<T>>(found->second);
}

Counter&
MetricRegistry::FindCounter(const MetricFamily& aFamily, const MetricLabels& aLabels)
{
  return this->Find<Counter>(aFamily, aLabels);
}

Gauge&
MetricRegistry::FindGauge(const MetricFamily& aFamily, const MetricLabels& aLabels)
{
  return this->Find<Gauge>(aFamily, aLabels);
}

Histogram&
MetricRegistry::FindHistogram(const MetricFamily& aFamily,
                              const MetricLabels& aLabels,
                              std::span<const double> aBounds)
{
  return this->Find<Histogram>(aFamily, aLabels, aBounds);
}

void
MetricRegistry::RemoveGauge(std::string_view aName, const MetricLabels& aLabels)
{
  const std::scoped_lock lock(this->mutex);
  const auto family = this->families.find(aName);
  if (family == this->families.end()) {
    return;
  }
  family->second.series.erase(LabelText(aLabels));
  if (family->second.series.empty()) {
    this->families.erase(family);
  }
}

std::string
MetricRegistry::Render() const
{
  std::string text;
  const Output output(text);
  const std::scoped_lock lock(this->mutex);
  for (const auto& [name, family] : this->families) {
    const Metric& first = family.series.begin()->second;
    WriteHeader(output, name, family.help, kTypeNames.at(first.index()));
    for (const auto& [labels, metric] : family.series) {
      std::visit(SeriesWriter(output, name, labels), metric);
    }
    WriteEstimates(output, name, family.series);
  }
  const ProcessUsage usage = CurrentProcessUsage();
  WriteHeader(output, "process_cpu_seconds_total", "Processor time of the process.", "counter");
  WriteValue(output, "process_cpu_seconds_total", "", usage.processorSeconds);
  WriteHeader(output, "process_resident_memory_bytes", "Resident memory of the process.", "gauge");
  WriteValue(output, "process_resident_memory_bytes", "", usage.residentBytes);
  return text;
}

}
