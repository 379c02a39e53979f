#include <LibLedger/RecordVerdict.h>

#include <array>
#include <string_view>

namespace zinc::detail {

namespace {

struct OutcomeVerdict
{
  RecordOutcome outcome;
  ErrorCode code;
  std::string_view message;
};

constexpr std::array kVerdicts = {
  OutcomeVerdict{ RecordOutcome::RequestIdReused,
                  ErrorCode::Conflict,
                  "The request id was used with a different body." },
  OutcomeVerdict{ RecordOutcome::JobIdReused, ErrorCode::Conflict, "The job id is taken." },
  OutcomeVerdict{ RecordOutcome::UnknownJob, ErrorCode::NotFound, "There is no such job." },
  OutcomeVerdict{ RecordOutcome::JobHasEnded, ErrorCode::Conflict, "The job has ended." },
  OutcomeVerdict{ RecordOutcome::JobIsCancelled,
                  ErrorCode::Cancelled,
                  "The job has been cancelled." },
  OutcomeVerdict{ RecordOutcome::StaleDriver,
                  ErrorCode::StaleTerm,
                  "Another entry drives the shard." },
  OutcomeVerdict{ RecordOutcome::WrongAttempt,
                  ErrorCode::Conflict,
                  "The attempt does not follow the task's last one." },
  OutcomeVerdict{ RecordOutcome::AttemptOpen,
                  ErrorCode::Conflict,
                  "An attempt may still be running." },
  OutcomeVerdict{ RecordOutcome::Invalid, ErrorCode::BadRequest, "The record is out of range." },
};

}

Verdict
VerdictOf(RecordOutcome aOutcome)
{
  for (const OutcomeVerdict& candidate : kVerdicts) {
    if (candidate.outcome == aOutcome) {
      return NotRun(candidate.code, std::string(candidate.message));
    }
  }
  return NotRun(ErrorCode::Internal, "The record does not hold.");
}

}
