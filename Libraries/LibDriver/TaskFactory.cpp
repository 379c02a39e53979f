#include <LibDriver/TaskFactory.h>

#include <algorithm>

namespace zinc {

TaskSpec
MakeCheckTask(const Submission& aSubmission, const Queue& aQueue, const JobId& aJob)
{
  return { .id = TaskIdOf(aJob, 0),
           .job = aJob,
           .team = aSubmission.team,
           .queue = aSubmission.queue,
           .workClass = aQueue.workClass,
           .urgency = aQueue.urgency,
           .idempotence = aQueue.idempotence,
           .request = aSubmission.resources,
           .expectedRun = aSubmission.expectedRun,
           .deadline = EffectiveDeadline(aSubmission, aQueue),
           .payload = aSubmission.payload };
}

TaskSpec
MakeJobTask(const LedgerJob& aJob, TaskIndex aTask, WallTime aNow)
{
  const auto& accepted = aJob.accepted;
  const auto& task = aJob.tasks.at(aTask);
  TaskSpec spec{ .id = TaskIdOf(accepted.job, aTask),
                 .job = accepted.job,
                 .team = accepted.team,
                 .queue = accepted.queue,
                 .attempt = task.attempt + 1,
                 .workClass = accepted.workClass,
                 .urgency = accepted.urgency,
                 .idempotence = accepted.idempotence,
                 .request = accepted.resources,
                 .expectedRun = accepted.expectedRun,
                 .gangSize = accepted.workClass == WorkClass::AllAtOnce ? accepted.tasks : 1,
                 .payload = accepted.payload,
                 .progress = task.progress };
  if (accepted.deadline) {
    spec.deadline = std::max(*accepted.deadline - aNow, Milliseconds{ 0 });
  }
  return spec;
}

AcceptedRecord
MakeAcceptedRecord(const Submission& aSubmission, const Queue& aQueue, WallTime aNow)
{
  AcceptedRecord record{ .request = aSubmission.request,
                         .team = aSubmission.team,
                         .queue = aSubmission.queue,
                         .acceptedAt = aNow,
                         .bodyHash = BodyHash(aSubmission),
                         .tasks = aSubmission.tasks,
                         .workClass = aQueue.workClass,
                         .urgency = aQueue.urgency,
                         .idempotence = aQueue.idempotence,
                         .resources = aSubmission.resources,
                         .expectedRun = aSubmission.expectedRun,
                         .payload = aSubmission.payload };
  const auto deadline = EffectiveDeadline(aSubmission, aQueue);
  if (deadline) {
    record.deadline = aNow + *deadline;
  }
  return record;
}

std::optional<Milliseconds>
EffectiveDeadline(const Submission& aSubmission, const Queue& aQueue)
{
  if (aSubmission.deadline && aQueue.deadline) {
    return std::min(*aSubmission.deadline, *aQueue.deadline);
  }
  return aSubmission.deadline ? aSubmission.deadline : aQueue.deadline;
}

bool
IsDurable(const Queue& aQueue)
{
  return aQueue.workClass != WorkClass::Check || aQueue.idempotence == Idempotence::NonIdempotent;
}

bool
IsAnsweredInline(const Queue& aQueue)
{
  return aQueue.workClass == WorkClass::Check;
}

}
