#include "EntryMetrics.h"

namespace zinc {

namespace {

constexpr MetricFamily kWaitTime{ .name = "zinc_wait_seconds",
                                  .help = "Time of a task from its arrival at its owner to its "
                                          "start." };
constexpr MetricFamily kRunTime{ .name = "zinc_run_seconds",
                                 .help = "Time of an attempt from its start to its end." };
constexpr MetricFamily kRequestTime{ .name = "zinc_request_seconds",
                                     .help = "Time of a request from its arrival to its answer." };
constexpr MetricFamily kResponses{ .name = "zinc_answers_total",
                                   .help = "Requests answered, by outcome." };
constexpr MetricFamily kAttempts{ .name = "zinc_attempts_total",
                                  .help = "Attempts ended, by outcome." };

double
ToSeconds(Milliseconds aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

std::string_view
OutcomeName(TaskState aState)
{
  switch (aState) {
    case TaskState::Succeeded:
      return "succeeded";
    case TaskState::Failed:
      return "failed";
    case TaskState::Checkpointed:
      return "checkpointed";
    default:
      return "stopped";
  }
}

}

void
EntryMetrics::RecordResponse(const TeamId& aTeam,
                             WorkClass aClass,
                             std::optional<ErrorCode> aError,
                             Milliseconds aDuration)
{
  this->FindOrCreateSeries(aTeam, aClass).requestTime.Record(ToSeconds(aDuration));
  const auto outcome = aError ? ToString(*aError) : std::string_view("ok");
  this->registry
    .FindCounter(kResponses,
                 { { .name = "team", .value = aTeam.value },
                   { .name = "class", .value = std::string(ToString(aClass)) },
                   { .name = "outcome", .value = std::string(outcome) } })
    .Add();
}

void
EntryMetrics::RecordTask(const TaskTiming& aTiming)
{
  auto& series = this->FindOrCreateSeries(aTiming.spec.team, aTiming.spec.workClass);
  series.waitTime.Record(ToSeconds(aTiming.waited));
  series.runTime.Record(ToSeconds(aTiming.ran));
  this->registry
    .FindCounter(kAttempts,
                 { { .name = "class", .value = std::string(ToString(aTiming.spec.workClass)) },
                   { .name = "outcome", .value = std::string(OutcomeName(aTiming.state)) } })
    .Add();
}

void
EntryMetrics::SetGauge(const MetricFamily& aFamily, double aValue)
{
  this->registry.FindGauge(aFamily).Set(aValue);
}

EntryMetrics::Series&
EntryMetrics::FindOrCreateSeries(const TeamId& aTeam, WorkClass aClass)
{
  const SeriesKey key{ .team = aTeam, .workClass = aClass };
  const auto found = this->series.find(key);
  if (found != this->series.end()) {
    return found->second;
  }
  const MetricLabels labels = { { .name = "team", .value = aTeam.value },
                                { .name = "class", .value = std::string(ToString(aClass)) } };
  return this->series
    .emplace(key,
             Series{ .waitTime = this->registry.FindHistogram(kWaitTime, labels),
                     .runTime = this->registry.FindHistogram(kRunTime, labels),
                     .requestTime = this->registry.FindHistogram(kRequestTime, labels) })
    .first->second;
}

}
