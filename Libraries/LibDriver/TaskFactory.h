#pragma once

/// @file
/// Makes tasks of submissions and accepted jobs.

#include <LibDocument/Document.h>
#include <LibJobs/Submission.h>
#include <LibLedger/LedgerJob.h>

namespace zinc {

/// @return the one task of a quick check.
[[nodiscard]] TaskSpec
MakeCheckTask(const Submission& aSubmission, const Queue& aQueue, const JobId& aJob);

/// @return the next attempt of a job's task. @pre aTask is an index of the job's tasks
[[nodiscard]] TaskSpec
MakeJobTask(const LedgerJob& aJob, TaskIndex aTask, WallTime aNow);

/// @return the record that accepts a submission.
[[nodiscard]] AcceptedRecord
MakeAcceptedRecord(const Submission& aSubmission, const Queue& aQueue, WallTime aNow);

/// @return the shorter of the submission's and the queue's deadline.
[[nodiscard]] std::optional<Milliseconds>
EffectiveDeadline(const Submission& aSubmission, const Queue& aQueue);

/// @return true if the queue's work is recorded in the ledger before it runs.
[[nodiscard]] bool
IsDurable(const Queue& aQueue);

/// @return true if the caller is answered only when the work has ended.
[[nodiscard]] bool
IsAnsweredInline(const Queue& aQueue);

}
