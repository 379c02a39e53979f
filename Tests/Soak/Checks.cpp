#include <Soak/Checks.h>

#include <algorithm>
#include <fmt/format.h>
#include <optional>
#include <platform/Decoders.h>
#include <set>

namespace zinc::soak {

namespace {

using Violations = std::vector<std::string>;

/// Share by which a workspace may exceed its maximum, and one task more; the pages' `QuotaExcess`.
constexpr double kQuotaExcess = 0.1;

/// A run from its start to its end at the worker.
struct RunSpan
{
  std::string place;
  std::uint64_t run = 0;
  Milliseconds from{ 0 };
  std::optional<Milliseconds> to;
  std::string end;
  std::optional<Milliseconds> notedAt;
};

using RunsByTask = std::map<std::string, std::vector<RunSpan>>;

std::string
Describe(const Event& aEvent)
{
  return fmt::format("{} run {} at {}, {} ms",
                     aEvent.task.empty() ? aEvent.job : aEvent.task,
                     aEvent.run,
                     aEvent.place,
                     aEvent.at.count());
}

std::size_t
StepOf(const std::string& aTask)
{
  const auto name = platform::DecodeTaskName(aTask);
  return name ? name->key.step : 0;
}

const StepPlan*
PlanOf(const CheckContext& aContext, const std::string& aTask)
{
  const auto name = platform::DecodeTaskName(aTask);
  const auto job = name ? aContext.plans.find(name->job.value) : aContext.plans.end();
  const bool isKnown = job != aContext.plans.end() && name->key.step < job->second.steps.size();
  return isKnown ? &job->second.steps[name->key.step] : nullptr;
}

RunsByTask
RunsOf(std::span<const Event> aHistory)
{
  RunsByTask runs;
  for (const auto& event : aHistory) {
    if (event.kind == EventKind::Started) {
      runs[event.task].push_back({ .place = event.place, .run = event.run, .from = event.at });
    } else if (event.kind == EventKind::Ended || event.kind == EventKind::Noted) {
      for (auto& span : runs[event.task]) {
        if (span.run == event.run && event.kind == EventKind::Noted) {
          span.notedAt = span.notedAt.value_or(event.at);
        } else if (span.run == event.run && span.place == event.place && !span.to) {
          span.to = event.at;
          span.end = event.text;
        }
      }
    } else if (event.kind == EventKind::WorkerLost) {
      for (auto& [task, spans] : runs) {
        for (auto& span : spans) {
          if (span.place == event.place && !span.to) {
            span.to = event.at;
            span.end = event.text;
          }
        }
      }
    }
  }
  return runs;
}

Violations
CheckSingleRuns(std::span<const Event> aHistory, const CheckContext&)
{
  Violations found;
  for (const auto& [task, spans] : RunsOf(aHistory)) {
    for (std::size_t later = 1; later < spans.size(); ++later) {
      for (std::size_t earlier = 0; earlier < later; ++earlier) {
        const auto& first = spans[earlier];
        const auto& second = spans[later];
        const bool overlaps = !first.to || second.from < *first.to;
        if (overlaps) {
          found.push_back(fmt::format("{} runs {} at {} and {} at {} at one time, {} ms",
                                      task,
                                      first.run,
                                      first.place,
                                      second.run,
                                      second.place,
                                      second.from.count()));
        } else if (first.end == "done" && first.notedAt) {
          found.push_back(fmt::format("{} starts again at {}, {} ms, after its end was noted",
                                      task,
                                      second.place,
                                      second.from.count()));
        }
      }
    }
  }
  return found;
}

/// @return the largest capacity that counts at a time: the one shown last, and those shown shortly
/// before.
std::int64_t
CapacityAt(std::span<const Event> aShown, Milliseconds aTime, const CheckContext& aContext)
{
  std::int64_t largest = 0;
  for (std::size_t next = 0; next < aShown.size() && aShown[next].at <= aTime; ++next) {
    const bool isReplaced =
      next + 1 < aShown.size() && aShown[next + 1].at + aContext.capacityNotice <= aTime;
    largest = isReplaced ? largest : std::max(largest, aShown[next].amount);
  }
  return aShown.empty() ? aContext.workerMilliCores : largest;
}

Violations
CheckCapacity(std::span<const Event> aHistory, const CheckContext& aContext)
{
  Violations found;
  std::map<std::string, std::vector<Event>> shown;
  for (const auto& event : aHistory) {
    if (event.kind == EventKind::CapacityShown) {
      shown[event.place].push_back(event);
    }
    // An order that the worker carried out late is judged by when it arrived.
    const bool isOver = event.kind == EventKind::Started &&
                        event.amount > CapacityAt(shown[event.place], event.orderedAt, aContext);
    if (isOver) {
      found.push_back(fmt::format("{} brings the worker to {}", Describe(event), event.amount));
    }
  }
  return found;
}

/// Counts the crashes of workers under each task.
class CrashCounter
{
public:
  void Apply(const Event& aEvent)
  {
    if (aEvent.kind == EventKind::Started) {
      this->running[aEvent.place].insert(aEvent.task);
    } else if (aEvent.kind == EventKind::Ended) {
      this->running[aEvent.place].erase(aEvent.task);
    } else if (aEvent.kind == EventKind::WorkerLost) {
      for (const auto& task : this->running[aEvent.place]) {
        this->crashes[task] += aEvent.text == "crash" ? 1 : 0;
      }
      this->running.erase(aEvent.place);
    }
  }

  [[nodiscard]] std::uint32_t CrashesUnder(const std::string& aTask) const
  {
    const auto found = this->crashes.find(aTask);
    return found == this->crashes.end() ? 0 : found->second;
  }

  /// @return the crashes under that task of a job which has most
  [[nodiscard]] std::uint32_t MostCrashes(const std::string& aJob) const
  {
    std::uint32_t most = 0;
    for (auto next = this->crashes.lower_bound(aJob);
         next != this->crashes.end() && next->first.starts_with(aJob);
         ++next) {
      most = std::max(most, next->second);
    }
    return most;
  }

private:
  std::map<std::string, std::set<std::string>> running;
  std::map<std::string, std::uint32_t> crashes;
};

Violations
CheckCrashingTasks(std::span<const Event> aHistory, const CheckContext& aContext)
{
  Violations found;
  CrashCounter crashes;
  std::map<std::string, std::uint32_t> startsBeyond;
  for (const auto& event : aHistory) {
    const auto* step = event.kind == EventKind::Started ? PlanOf(aContext, event.task) : nullptr;
    const bool isBeyond = step != nullptr && step->crashesWorkers &&
                          crashes.CrashesUnder(event.task) >= aContext.crashBudget;
    if (isBeyond && ++startsBeyond[event.task] == aContext.startsBeyondBudget) {
      found.push_back(fmt::format("{} starts after {} workers had crashed under it",
                                  Describe(event),
                                  crashes.CrashesUnder(event.task)));
    }
    crashes.Apply(event);
  }
  return found;
}

/// Names of the tasks of a job that have ended well, by step.
using DoneTasks = std::map<std::string, std::map<std::size_t, std::set<std::string>>>;

bool
IsStepDone(const CheckContext& aContext,
           const DoneTasks& aDone,
           const std::string& aJob,
           std::size_t aStep)
{
  const auto plan = aContext.plans.find(aJob);
  const auto job = aDone.find(aJob);
  if (plan == aContext.plans.end() || job == aDone.end() || !job->second.contains(aStep)) {
    return false;
  }
  const auto& step = plan->second.steps[aStep];
  // One end of a gang stands for all of its members.
  return step.isGang || job->second.at(aStep).size() == step.count;
}

void
CountDone(const Event& aEvent, DoneTasks& aDone)
{
  if (aEvent.kind == EventKind::Ended && aEvent.text == "done") {
    aDone[aEvent.job][StepOf(aEvent.task)].insert(aEvent.task);
  }
}

Violations
CheckOrder(std::span<const Event> aHistory, const CheckContext& aContext)
{
  Violations found;
  DoneTasks done;
  for (const auto& event : aHistory) {
    CountDone(event, done);
    if (event.kind != EventKind::Started) {
      continue;
    }
    const auto step = StepOf(event.task);
    for (std::size_t earlier = 0; earlier < step; ++earlier) {
      if (!IsStepDone(aContext, done, event.job, earlier)) {
        found.push_back(fmt::format("{} starts before step {} is done", Describe(event), earlier));
      }
    }
  }
  return found;
}

Violations
CheckShownStates(std::span<const Event> aHistory, const CheckContext& aContext)
{
  Violations found;
  DoneTasks done;
  std::map<std::string, std::map<std::string, std::uint32_t>> failures;
  std::set<std::string> cancelled;
  CrashCounter crashes;
  for (const auto& event : aHistory) {
    CountDone(event, done);
    crashes.Apply(event);
    if (event.kind == EventKind::Ended && event.text == "failed") {
      ++failures[event.job][event.task];
    } else if (event.kind == EventKind::CancelSent) {
      cancelled.insert(event.job);
    }
    const auto plan = aContext.plans.find(event.job);
    if (event.kind != EventKind::Shown || plan == aContext.plans.end()) {
      continue;
    }
    for (std::size_t step = 0; event.text == "done" && step < plan->second.steps.size(); ++step) {
      if (!IsStepDone(aContext, done, event.job, step)) {
        found.push_back(fmt::format("{} is shown as done before step {}", Describe(event), step));
      }
    }
    const auto& failed = failures[event.job];
    const bool isHopeless = std::any_of(failed.begin(), failed.end(), [&](const auto& aTask) {
      return aTask.second >= aContext.attempts;
    });
    const bool isGivenUp = crashes.MostCrashes(event.job) >= aContext.crashesToGiveUp;
    if (event.text == "failed" && !isHopeless && !isGivenUp) {
      found.push_back(fmt::format("{} is shown as failed without a cause", Describe(event)));
    }
    if (event.text == "cancelled" && !cancelled.contains(event.job)) {
      found.push_back(fmt::format("{} is shown as cancelled by nobody", Describe(event)));
    }
  }
  return found;
}

Violations
CheckAsked(std::span<const Event> aHistory, const CheckContext& aContext)
{
  Violations found;
  std::set<std::string> sent;
  std::map<std::string, Milliseconds> cancelled;
  for (const auto& event : aHistory) {
    if (event.kind == EventKind::Sent) {
      sent.insert(event.job);
    } else if (event.kind == EventKind::CancelAnswered) {
      cancelled.try_emplace(event.job, event.at);
    } else if (event.kind == EventKind::Started) {
      if (!sent.contains(event.job) || event.text != event.job) {
        found.push_back(fmt::format("{} was asked by nobody", Describe(event)));
      }
      const auto since = cancelled.find(event.job);
      if (since != cancelled.end() && event.orderedAt > since->second + aContext.cancellation) {
        found.push_back(fmt::format("{} starts long after its cancellation", Describe(event)));
      }
    }
  }
  return found;
}

Violations
CheckRefusals(std::span<const Event> aHistory, const CheckContext&)
{
  Violations found;
  std::set<std::string> refused;
  std::set<std::string> open;
  for (const auto& event : aHistory) {
    if (event.kind == EventKind::Refused) {
      refused.insert(event.job);
    } else if (event.kind == EventKind::Accepted || event.kind == EventKind::Unanswered) {
      open.insert(event.job);
    }
  }
  for (const auto& event : aHistory) {
    const bool isRefused = refused.contains(event.job) && !open.contains(event.job);
    if (event.kind == EventKind::Started && isRefused) {
      found.push_back(fmt::format("{} starts, and every submission was refused", Describe(event)));
    }
  }
  return found;
}

Violations
CheckAttempts(std::span<const Event> aHistory, const CheckContext& aContext)
{
  Violations found;
  for (const auto& [task, spans] : RunsOf(aHistory)) {
    std::uint32_t failures = 0;
    for (const auto& span : spans) {
      if (failures >= aContext.attempts) {
        found.push_back(fmt::format(
          "{} starts at {}, {} ms, after all its attempts", task, span.place, span.from.count()));
      }
      failures += span.end == "failed" && span.notedAt ? 1 : 0;
    }
  }
  return found;
}

Violations
CheckQuotas(std::span<const Event> aHistory, const CheckContext& aContext)
{
  Violations found;
  std::map<std::string, std::map<std::string, std::int64_t>> byPlace;
  std::map<std::string, std::int64_t> used;
  for (const auto& event : aHistory) {
    const auto plan = aContext.plans.find(event.job);
    const auto* step = event.task.empty() ? nullptr : PlanOf(aContext, event.task);
    if (event.kind == EventKind::WorkerLost) {
      for (const auto& [workspace, amount] : byPlace[event.place]) {
        used[workspace] -= amount;
      }
      byPlace.erase(event.place);
    }
    if (plan == aContext.plans.end() || step == nullptr) {
      continue;
    }
    const auto& workspace = plan->second.workspace;
    if (event.kind == EventKind::Ended) {
      used[workspace] -= step->milliCores;
      byPlace[event.place][workspace] -= step->milliCores;
    } else if (event.kind == EventKind::Started) {
      used[workspace] += step->milliCores;
      byPlace[event.place][workspace] += step->milliCores;
      const auto maximum = aContext.maximum.find(workspace);
      const auto limit = maximum == aContext.maximum.end()
                           ? 0.0
                           : static_cast<double>(maximum->second) * (1.0 + kQuotaExcess) +
                               static_cast<double>(step->milliCores);
      if (limit > 0.0 && static_cast<double>(used[workspace]) > limit) {
        found.push_back(
          fmt::format("{} brings {} to {}", Describe(event), workspace, used[workspace]));
      }
    }
  }
  return found;
}

/// @return true if a job in this state changes no more.
bool
IsFinal(const std::string& aState)
{
  return aState == "done" || aState == "failed" || aState == "cancelled";
}

Violations
CheckNothingLost(std::span<const Event> aHistory, const CheckContext& aContext)
{
  Violations found;
  std::map<std::string, Milliseconds> accepted;
  std::map<std::string, std::string> shown;
  std::set<std::string> cancelled;
  CrashCounter crashes;
  for (const auto& event : aHistory) {
    crashes.Apply(event);
    if (event.kind == EventKind::Accepted) {
      accepted.try_emplace(event.job, event.at);
    } else if (event.kind == EventKind::CancelSent) {
      cancelled.insert(event.job);
    } else if (event.kind == EventKind::Shown) {
      auto& state = shown[event.job];
      if (IsFinal(state) && state != event.text) {
        found.push_back(
          fmt::format("{} is shown as {} after {}", Describe(event), event.text, state));
      }
      state = event.text;
    } else if (event.kind == EventKind::Denied && !cancelled.contains(event.job)) {
      const auto since = accepted.find(event.job);
      if (since != accepted.end() && event.at > since->second + aContext.visibility) {
        found.push_back(fmt::format("{} was accepted and is said to be unknown", Describe(event)));
      }
    }
  }
  for (const auto& [job, at] : accepted) {
    const auto plan = aContext.plans.find(job);
    const auto state = shown[job];
    const bool isGivenUp = crashes.MostCrashes(job) >= aContext.crashesToGiveUp;
    const bool fails =
      plan != aContext.plans.end() &&
      std::any_of(plan->second.steps.begin(), plan->second.steps.end(), [](const StepPlan& aStep) {
        return aStep.alwaysFails || aStep.failurePercent > 0;
      });
    const bool isExpected = state == "done" || (state == "failed" && (fails || isGivenUp)) ||
                            (state == "cancelled" && cancelled.contains(job));
    if (!isExpected) {
      found.push_back(fmt::format("{}, accepted at {} ms, is last shown as '{}'{}",
                                  job,
                                  at.count(),
                                  state,
                                  cancelled.contains(job) ? ", cancelled" : ""));
    }
  }
  return found;
}

Violations
CheckEvacuations(std::span<const Event> aHistory, const CheckContext& aContext)
{
  Violations found;
  // From when on nothing may start in a zone.
  std::map<std::string, Milliseconds> closedFrom;
  int disturbances = 0;
  Milliseconds disturbedSince{ 0 };
  for (const auto& event : aHistory) {
    // A disturbance of the store extends the bound, but not once the bound has passed: who leads
    // then has read the request.
    for (auto& [zone, from] : closedFrom) {
      if (disturbances > 0 && disturbedSince <= from) {
        from = event.at + aContext.evacuationBound;
      }
    }
    if (event.kind == EventKind::StoreDisturbed) {
      disturbedSince = disturbances++ == 0 ? event.at : disturbedSince;
    } else if (event.kind == EventKind::StoreRestored) {
      --disturbances;
    } else if (event.kind == EventKind::ZoneEvacuated) {
      closedFrom[event.place] = event.at + aContext.evacuationBound;
    } else if (event.kind == EventKind::ZoneReturned) {
      closedFrom.erase(event.place);
    }
    for (const auto& [zone, from] : closedFrom) {
      const bool isStart = event.kind == EventKind::Started && event.place.starts_with(zone + "-");
      if (isStart && event.orderedAt > from) {
        found.push_back(fmt::format("{} starts in {}, which was to be closed from {} ms on",
                                    Describe(event),
                                    zone,
                                    from.count()));
      }
    }
  }
  return found;
}

Violations
CheckExits(std::span<const Event> aHistory, const CheckContext& aContext)
{
  Violations found;
  std::map<std::string, Milliseconds> asked;
  for (const auto& event : aHistory) {
    if (event.kind == EventKind::ExitAsked) {
      asked[event.place] = event.at;
    } else if (event.kind == EventKind::Exited) {
      const auto since = asked.find(event.place);
      if (event.text == "killed") {
        asked.erase(event.place);
        continue;
      }
      if (since == asked.end()) {
        found.push_back(fmt::format("{} ended by itself with {}", event.place, event.amount));
        continue;
      }
      // A process that was frozen meanwhile may have had no time to end.
      const bool isLate = event.at > since->second + aContext.gracePeriod;
      if ((event.amount != 0 || isLate) && event.text != "frozen") {
        found.push_back(fmt::format("{} ended with {} after {} ms",
                                    event.place,
                                    event.amount,
                                    (event.at - since->second).count()));
      }
      asked.erase(since);
    }
  }
  return found;
}

constexpr Check kChecks[] = {
  { "single runs", &CheckSingleRuns },
  { "capacity", &CheckCapacity },
  { "order of steps", &CheckOrder },
  { "states shown", &CheckShownStates },
  { "asked work only", &CheckAsked },
  { "refusals are true", &CheckRefusals },
  { "attempts", &CheckAttempts },
  { "quotas", &CheckQuotas },
  { "nothing lost", &CheckNothingLost },
  { "evacuations", &CheckEvacuations },
  { "exits", &CheckExits },
  { "crashing tasks", &CheckCrashingTasks },
};

}

std::span<const Check>
AllChecks()
{
  return kChecks;
}

std::vector<std::string>
CheckHistory(std::span<const Event> aHistory, const CheckContext& aContext)
{
  Violations all;
  for (const auto& check : kChecks) {
    for (const auto& violation : check.perform(aHistory, aContext)) {
      all.push_back(fmt::format("{}: {}", check.name, violation));
    }
  }
  return all;
}

}
