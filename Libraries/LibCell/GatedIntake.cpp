#include <LibCell/GatedIntake.h>

namespace zinc::cell {

void
GatedIntake::Submit(const JobSpecification& aSpec, Handler<Done> aHandler)
{
  const auto refusal = FindRefusal(aSpec, this->dependencies.findForecast());
  if (!refusal) {
    this->Accept(aSpec, std::move(aHandler));
    return;
  }
  // A slow read before the transaction would exceed the time in which the caller needs a response,
  // and more reads would delay the leader's renewals on the same connections.
  if (!this->dependencies.store.IsResponsive()) {
    this->CountWithdrawal(aSpec, "store_slow");
    this->Accept(aSpec, std::move(aHandler));
    return;
  }
  ReadStoredJob(
    this->dependencies.store,
    aSpec.id,
    nullptr,
    [this, aSpec, refusal = *refusal, handler = std::move(aHandler)](Result<StoredJob> aStored) {
      this->OnStoredJob(aSpec, refusal, aStored, handler);
    });
}

void
GatedIntake::OnStoredJob(const JobSpecification& aSpec,
                         const Refusal& aRefusal,
                         const Result<StoredJob>& aStored,
                         Handler<Done> aHandler)
{
  if (IsError(aStored)) {
    this->CountWithdrawal(aSpec, "read_failed");
    this->Accept(aSpec, std::move(aHandler));
    return;
  }
  if (ValueOf(aStored).isKnown) {
    this->CountWithdrawal(aSpec, "accepted_before");
    aHandler(Done{});
    return;
  }
  const auto& tombstone = ValueOf(aStored).tombstone;
  if (tombstone && tombstone->Covers(aSpec.workspace)) {
    aHandler(CancelledBeforeSubmission());
    return;
  }
  if (this->unanswered.contains(aSpec.id) || this->dependencies.intake.MayBeStored(aSpec.id)) {
    this->CountWithdrawal(aSpec, "in_flight");
    this->Accept(aSpec, std::move(aHandler));
    return;
  }
  this->LogRefusal(aSpec, aRefusal);
  aHandler(NotRun(ErrorCode::Overloaded,
                  "The job would end too late to be useful, since too much work is waiting.",
                  aRefusal.retryAfter));
}

void
GatedIntake::Accept(const JobSpecification& aSpec, Handler<Done> aHandler)
{
  const auto entry = this->unanswered.insert(aSpec.id);
  this->dependencies.intake.Submit(
    aSpec, [this, entry, handler = std::move(aHandler)](Result<Done> aResult) {
      this->unanswered.erase(entry);
      handler(std::move(aResult));
    });
}

void
GatedIntake::LogRefusal(const JobSpecification& aSpec, const Refusal& aRefusal) const
{
  const auto& queue = aSpec.queue.name.value;
  const std::string reason(ToString(aRefusal.reason));
  this->dependencies.metrics
    .FindCounter({ .name = "zinc_cell_admission_refused_total",
                   .help = "Jobs refused since they would end too late, by whose work waits." },
                 { { "queue", queue }, { "reason", reason } })
    .Add();
  this->dependencies.log.Log(LogLevel::Info,
                             "job_refused",
                             { { "job", aSpec.id.value },
                               { "queue", queue },
                               { "workspace", aSpec.workspace.value },
                               { "reason", reason },
                               { "expected_wait_ms", aRefusal.expectedWait.count() },
                               { "useful_wait_ms", aRefusal.longestUsefulWait.count() },
                               { "critical_path_ms", aRefusal.criticalPath.count() },
                               { "objective_ms", aRefusal.objective.count() },
                               { "admitted_share", aRefusal.admittedShare },
                               { "forecast_age_ms", aRefusal.forecastAge.count() },
                               { "retry_after_ms", aRefusal.retryAfter.count() } });
}

void
GatedIntake::CountWithdrawal(const JobSpecification& aSpec, std::string_view aReason) const
{
  this->dependencies.metrics
    .FindCounter({ .name = "zinc_cell_admission_withdrawn_total",
                   .help = "Refusals that did not take effect, by reason." },
                 { { "queue", aSpec.queue.name.value }, { "reason", std::string(aReason) } })
    .Add();
}

}
