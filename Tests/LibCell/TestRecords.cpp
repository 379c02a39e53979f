#include "CellSchedulerFixture.h"

#include <algorithm>
#include <fmt/format.h>
#include <rapidcheck/gtest.h>

namespace zinc::cell::test {

namespace {

constexpr int kJobCount = 45;

/// @return free text with what may be taken for a separator: spaces, quotes, control characters,
/// characters of several bytes, or nothing at all
[[nodiscard]] std::string
AnyName()
{
  const auto parts = *rc::gen::container<std::vector<std::string>>(
    rc::gen::element<std::string>("",
                                  "a",
                                  "North",
                                  " ",
                                  "  ",
                                  ".",
                                  "/",
                                  ",",
                                  ":",
                                  "\"",
                                  "\\",
                                  "{",
                                  "}",
                                  "%20",
                                  "\n",
                                  "\t",
                                  std::string(1, '\0'),
                                  "\x7f",
                                  "\u0107",
                                  "\u5317",
                                  "\U0001F6A7",
                                  "ended 1 a b"));
  std::string name;
  for (const auto& part : parts) {
    name += part;
  }
  return name;
}

[[nodiscard]] std::vector<std::string>
AnyNames()
{
  std::vector<std::string> names(*rc::gen::inRange(0, 3));
  std::ranges::generate(names, AnyName);
  return names;
}

class RecordsTest : public CellSchedulerFixture
{
protected:
  /// Runs more jobs than one compaction takes, until the first compaction has committed.
  void RunUntilCompaction()
  {
    this->entries = { this->workers.Add("w1", 64) };
    this->BeginTerm();
    for (int number = 0; number < kJobCount; ++number) {
      this->AcceptJob(MakeJob("job" + std::to_string(number), 1, 1));
    }
    this->RunFor(Milliseconds{ 100 });
    this->workers.EndAll();
    this->RunFor(Milliseconds{ 500 });
  }
};

}

TEST_F(RecordsTest, SpecificationRoundTrips)
{
  auto spec = MakeJob("0123456789abcdef", 3, 2, 700);
  spec.queue.needsAdvice = true;
  spec.queue.advice = { .baseMs = 4.5, .perWorkerMs = 0.5, .ticketValidity = Milliseconds{ 1500 } };
  spec.steps.push_back({ .count = 2,
                         .dependsOn = { 0 },
                         .hasCheckpoints = true,
                         .isGang = true,
                         .requiredLabel = "a",
                         .dataRack = "r1-2",
                         .maxTasksPerWorker = 1,
                         .hasAvailabilityBudget = true,
                         .availabilityBudget = 2 });
  spec.occurrences = 4;
  spec.interval = Milliseconds{ 250 };
  const auto decoded = DecodeSpecification(spec.id, EncodeSpecification(spec));
  ASSERT_FALSE(IsError(decoded));
  EXPECT_EQ(EncodeSpecification(ValueOf(decoded)), EncodeSpecification(spec));
}

// Guards against crashes and recorded starts that are lost between two leaders.
TEST_F(RecordsTest, ProgressRoundTrips)
{
  ProgressRecord record{ .hasStarted = true, .occurrencesSucceeded = 2 };
  record.tasks.push_back(
    { .key = { .occurrence = 2, .step = 1, .index = 3 },
      .failedRuns = { 5 },
      .checkpoint = "mark",
      .crashedRuns = { 7, 9 },
      .blamedRuns = { 9 },
      .rackLossRuns = { 8 },
      .recordedStart = RecordedStart{
        .run = 11, .worker = { "w" }, .machine = "m", .incarnation = 1'700'000'000'000 } });
  record.tasks.push_back(
    { .key = { .occurrence = 2, .step = 1, .index = 4 }, .failedRuns = { 6 } });
  const auto decoded = DecodeProgress(EncodeProgress(record));
  ASSERT_FALSE(IsError(decoded));
  EXPECT_EQ(EncodeProgress(ValueOf(decoded)), EncodeProgress(record));
  const auto& first = ValueOf(decoded).tasks.front();
  EXPECT_EQ(first.crashedRuns, record.tasks.front().crashedRuns);
  EXPECT_EQ(first.blamedRuns, record.tasks.front().blamedRuns);
  ASSERT_TRUE(first.recordedStart.has_value());
  EXPECT_EQ(first.recordedStart->machine, "m");
  EXPECT_FALSE(ValueOf(decoded).tasks.back().recordedStart.has_value());
}

// Guards against rows that grow with each occurrence of a job until the store refuses them: what
// has succeeded is told by its number.
TEST_F(RecordsTest, TheProgressOfATimedJobDoesNotGrowWithItsOccurrences)
{
  constexpr std::uint32_t kSucceeded = 1000;
  Job job{ .spec = MakeJob("timed", 1, 1) };
  job.spec.occurrences = kSucceeded + 1;
  job.occurrencesSucceeded = kSucceeded;
  for (std::uint32_t number = 0; number <= kSucceeded; ++number) {
    auto& step = job.occurrences[number].steps.emplace_back();
    step.CreateTasks(1);
    step.SetPhase(step.tasks[0], TaskPhase::Succeeded);
    step.succeededTasks = 1;
  }
  const auto record = MakeProgressRecord(job);
  EXPECT_EQ(record.occurrencesSucceeded, kSucceeded);
  ASSERT_EQ(record.succeededSteps.size(), 1U);
  EXPECT_EQ(record.succeededSteps.front().occurrence, kSucceeded);
}

// Failure: a job of workspace "Tamworth North" is lost to its owner after a change of leader, and
// shown to workspace "Tamworth".
TEST_F(RecordsTest, EndedJobsKeepNamesWithSpaces)
{
  const EndedJobRecord record{ .outcome = JobOutcome::Failed,
                               .workspace = { "Tamworth North" },
                               .queue = { "night work" } };
  const auto decoded = DecodeEndedJob(EncodeEndedJob(record));
  ASSERT_TRUE(decoded.has_value());
  EXPECT_EQ(decoded->outcome, record.outcome);
  EXPECT_EQ(decoded->workspace, record.workspace);
  EXPECT_EQ(decoded->queue, record.queue);
}

// Old and new instances mixed: rows with plain names are the same in both.
TEST_F(RecordsTest, ReadsEndedJobsOfOlderVersions)
{
  EXPECT_EQ(EncodeEndedJob({ .workspace = { "team" }, .queue = { "queue" } }),
            "ended 1 team queue");
  const auto decoded = DecodeEndedJob("ended 3 team queue");
  ASSERT_TRUE(decoded.has_value());
  EXPECT_EQ(decoded->outcome, JobOutcome::Cancelled);
  EXPECT_EQ(decoded->workspace.value, "team");
  EXPECT_EQ(decoded->queue.value, "queue");
}

// Guards against showing the job of a row with several readings to another workspace.
TEST_F(RecordsTest, ReadsOldEndedJobsWithSpacesByTheNamesOfThePolicy)
{
  constexpr std::string_view kRow = "ended 1 Tamworth North work";
  EXPECT_TRUE(DecodeEndedJob(kRow)->workspace.IsEmpty()) << "its owner is not known";
  CellPolicy known;
  known.workspaces[{ "Tamworth" }] = {};
  known.workspaces[{ "Tamworth North" }] = {};
  EXPECT_TRUE(DecodeEndedJob(kRow, &known)->workspace.IsEmpty()) << "it may belong to either";
  QueueRoute route;
  route.queue.name = { "work" };
  known.AddRoute(route);
  EXPECT_EQ(DecodeEndedJob(kRow, &known)->workspace.value, "Tamworth North");
  EXPECT_EQ(DecodeEndedJob(kRow, &known)->queue.value, "work");
  known.workspaces.erase({ "Tamworth" });
  EXPECT_EQ(DecodeEndedJob("ended 1 Tamworth North removed", &known)->workspace.value,
            "Tamworth North");
}

// Guards against names that change on their way through the store, in every row that carries one.
RC_GTEST_FIXTURE_PROP(RecordsTest, NamesOfAnyTextRoundTrip, ())
{
  const EndedJobRecord ended{ .workspace = { AnyName() }, .queue = { AnyName() } };
  const auto decodedEnded = DecodeEndedJob(EncodeEndedJob(ended));
  RC_ASSERT(decodedEnded.has_value());
  RC_ASSERT(decodedEnded->workspace == ended.workspace);
  RC_ASSERT(decodedEnded->queue == ended.queue);

  auto spec = MakeJob("0123456789abcdef", 1, 1);
  spec.workspace = { AnyName() };
  spec.queue.name = { AnyName() };
  spec.queue.pool = AnyName();
  spec.payload = AnyName();
  spec.steps.front().requiredLabel = AnyName();
  spec.steps.front().dataRack = AnyName();
  spec.steps.front().image = AnyName();
  const auto decodedSpec = DecodeSpecification(spec.id, EncodeSpecification(spec));
  RC_ASSERT(!IsError(decodedSpec));
  RC_ASSERT(ValueOf(decodedSpec).workspace == spec.workspace);
  RC_ASSERT(ValueOf(decodedSpec).queue.name == spec.queue.name);
  RC_ASSERT(ValueOf(decodedSpec).queue.pool == spec.queue.pool);
  RC_ASSERT(ValueOf(decodedSpec).payload == spec.payload);
  const auto& step = ValueOf(decodedSpec).steps.front();
  RC_ASSERT(step.requiredLabel == spec.steps.front().requiredLabel);
  RC_ASSERT(step.dataRack == spec.steps.front().dataRack);
  RC_ASSERT(step.image == spec.steps.front().image);

  TaskRecord task{ .checkpoint = AnyName() };
  task.recordedStart =
    RecordedStart{ .run = 1, .worker = { AnyName() }, .machine = AnyName(), .incarnation = 1 };
  const auto progress = DecodeProgress(EncodeProgress({ .tasks = { task } }));
  RC_ASSERT(!IsError(progress));
  const auto& decodedTask = ValueOf(progress).tasks.front();
  RC_ASSERT(decodedTask.checkpoint == task.checkpoint);
  RC_ASSERT(decodedTask.recordedStart->worker == task.recordedStart->worker);
  RC_ASSERT(decodedTask.recordedStart->machine == task.recordedStart->machine);

  const InstanceRecord instance{ .incarnation = AnyName(),
                                 .address = AnyName(),
                                 .zone = AnyName() };
  const auto decodedInstance = DecodeInstanceRecord(EncodeInstanceRecord(instance));
  RC_ASSERT(!IsError(decodedInstance));
  RC_ASSERT(ValueOf(decodedInstance).incarnation == instance.incarnation);
  RC_ASSERT(ValueOf(decodedInstance).address == instance.address);
  RC_ASSERT(ValueOf(decodedInstance).zone == instance.zone);
  const auto name = AnyName();
  RC_ASSERT(InstanceRowKey(name).key.substr(kInstancePrefix.size()) == name);
}

// The same for the leader record, which has maps with names as keys.
RC_GTEST_FIXTURE_PROP(RecordsTest, NamesInTheLeaderRecordRoundTrip, ())
{
  LeaderRecord record{
    .instance = AnyName(), .incarnation = AnyName(), .address = AnyName(), .workers = AnyNames()
  };
  for (const auto& name : AnyNames()) {
    record.suspendedLeases[{ name }] = Milliseconds{ 7 };
    record.backlog[name] = 3;
    record.drainingJobs[{ name }] = { { "0123456789abcdef" } };
    record.expectedWaits.push_back(
      { .queue = { name }, .workspace = { AnyName() }, .wait = Milliseconds{ 5 } });
  }
  for (std::size_t index = 0; index < record.workers.size(); index += 2) {
    record.fencedIncarnations[{ record.workers[index] }] =
      1'700'000'000'000 + static_cast<std::int64_t>(index);
  }
  const auto decoded = DecodeLeaderRecord(EncodeLeaderRecord(record));
  RC_ASSERT(!IsError(decoded));
  RC_ASSERT(ValueOf(decoded).fencedIncarnations == record.fencedIncarnations);
  RC_ASSERT(ValueOf(decoded).instance == record.instance);
  RC_ASSERT(ValueOf(decoded).incarnation == record.incarnation);
  RC_ASSERT(ValueOf(decoded).address == record.address);
  RC_ASSERT(ValueOf(decoded).workers == record.workers);
  RC_ASSERT(ValueOf(decoded).suspendedLeases == record.suspendedLeases);
  RC_ASSERT(ValueOf(decoded).backlog == record.backlog);
  RC_ASSERT(ValueOf(decoded).drainingJobs == record.drainingJobs);
  RC_ASSERT(ValueOf(decoded).expectedWaits == record.expectedWaits);
}

// Guards against a leader record that outgrows its row: the start times of all workers of a large
// cell are in it while they have started lately.
TEST_F(RecordsTest, StartTimesOfAThousandWorkersTakeFewBytes)
{
  constexpr int kWorkers = 1100;
  constexpr std::size_t kMaxBytesPerWorker = 7;
  LeaderRecord record;
  for (int number = 0; number < kWorkers; ++number) {
    record.workers.push_back(fmt::format("i-{:010}", number));
  }
  const auto without = EncodeLeaderRecord(record).size();
  for (int number = 0; number < kWorkers; ++number) {
    record.fencedIncarnations[{ record.workers[static_cast<std::size_t>(number)] }] =
      1'700'000'000'000 + 20 * number;
  }
  EXPECT_LE(EncodeLeaderRecord(record).size() - without, kWorkers * kMaxBytesPerWorker);
}

// Old and new instances mixed: a leader of an older version records no starts.
TEST_F(RecordsTest, ReadsWhetherALeaderRecordsStarts)
{
  const auto decoded =
    DecodeLeaderRecord(EncodeLeaderRecord({ .token = 7, .recordsStarts = true }));
  ASSERT_FALSE(IsError(decoded));
  EXPECT_TRUE(ValueOf(decoded).recordsStarts);
  const auto older = DecodeLeaderRecord(R"({"instance":"a","token":7})");
  ASSERT_FALSE(IsError(older));
  EXPECT_FALSE(ValueOf(older).recordsStarts);
}

TEST_F(RecordsTest, TheStartedStepsRoundTrip)
{
  const ProgressRecord record{ .startedSteps = { { .occurrence = 2, .step = 1 } } };
  const auto decoded = DecodeProgress(EncodeProgress(record));
  ASSERT_FALSE(IsError(decoded));
  ASSERT_EQ(ValueOf(decoded).startedSteps.size(), 1U);
  EXPECT_EQ(ValueOf(decoded).startedSteps.front(), record.startedSteps.front());
}

TEST_F(RecordsTest, RejectsMalformedRows)
{
  EXPECT_TRUE(IsError(DecodeSpecification({ "job" }, "")));
  EXPECT_TRUE(IsError(DecodeSpecification({ "job" }, "[]")));
  EXPECT_TRUE(IsError(DecodeSpecification({ "job" }, R"({"steps":[]})")));
  EXPECT_TRUE(IsError(DecodeSpecification({ "job" }, R"({"steps":[{"count":"x"}]})")));
  EXPECT_TRUE(IsError(DecodeProgress("\xff\xfe")));
  EXPECT_TRUE(IsError(DecodeLeaderRecord("{\"port\":\"x\"}")));
  EXPECT_FALSE(DecodeEndedJob("ended 9 a b").has_value());
  EXPECT_FALSE(DecodeEndedJob("ended 1 a").has_value());
  EXPECT_FALSE(ParseJobRowKey("x").has_value());
  EXPECT_FALSE(ParseJobRowKey("job.z").has_value());
}

// Guards against expected waits that are lost or changed on their way to the instances.
TEST_F(RecordsTest, RestoresExpectedWaits)
{
  LeaderRecord record{ .instance = "a", .backlog = { { "queue", 3 } } };
  record.expectedWaits = { { { "queue" }, {}, Milliseconds{ 1500 } },
                           { { "queue" }, { "team" }, Milliseconds{ 90'000 } } };
  const auto decoded = DecodeLeaderRecord(EncodeLeaderRecord(record));
  ASSERT_FALSE(IsError(decoded));
  EXPECT_EQ(ValueOf(decoded).expectedWaits, record.expectedWaits);
  EXPECT_EQ(ValueOf(decoded).backlog, record.backlog);
}

// Old and new instances mixed: the row of an old leader, and the row of a new one while nothing
// waits, which is the same.
TEST_F(RecordsTest, ReadsLeaderRecordsWithoutExpectedWaits)
{
  const auto text = EncodeLeaderRecord({ .instance = "a", .token = 7 });
  EXPECT_EQ(text.find("expected_waits"), std::string::npos);
  const auto decoded = DecodeLeaderRecord(R"({"instance":"a","token":7,"waiting":{"queue":3}})");
  ASSERT_FALSE(IsError(decoded));
  EXPECT_TRUE(ValueOf(decoded).expectedWaits.empty());
  EXPECT_EQ(ValueOf(decoded).backlog.at("queue"), 3U);
}

// Old and new instances mixed: an old instance, like this one, reads known fields only, so the row
// of a leader that is newer must not become unreadable.
TEST_F(RecordsTest, ReadsLeaderRecordsOfLaterVersions)
{
  const auto decoded = DecodeLeaderRecord(
    R"({"instance":"a","token":7,"later_field":[{"x":1}],"expected_waits":[)"
    R"(["queue","",800],["queue","team",900,"later"],"text",["queue",5,1],["queue","",-1],[],{}]})");
  ASSERT_FALSE(IsError(decoded));
  EXPECT_EQ(ValueOf(decoded).token, 7U);
  ASSERT_EQ(ValueOf(decoded).expectedWaits.size(), 2U);
  EXPECT_EQ(ValueOf(decoded).expectedWaits[1].wait, Milliseconds{ 900 });
  const auto other = DecodeLeaderRecord(R"({"token":7,"expected_waits":{"queue":1}})");
  ASSERT_FALSE(IsError(other));
  EXPECT_TRUE(ValueOf(other).expectedWaits.empty());
}

TEST_F(RecordsTest, CompactsTheRowsOfEndedJobs)
{
  this->RunUntilCompaction();
  const auto rows = this->store.RowsOf(std::string(kJobTable));
  const auto compacted = std::ranges::count_if(
    rows, [](const Row& aRow) { return DecodeEndedJob(aRow.value).has_value(); });
  EXPECT_EQ(compacted, 40);
  EXPECT_EQ(rows.size(), 50U + kProgressPartitionCount)
    << "40 compacted rows, two rows of each other job, and the rows of the term";
  const auto starts = this->workers.starts.size();
  this->BeginTerm(true);
  this->RunFor(Milliseconds{ 300 });
  for (int number = 0; number < kJobCount; ++number) {
    EXPECT_EQ(this->StatusOf("job" + std::to_string(number)).outcome, JobOutcome::Succeeded);
  }
  EXPECT_EQ(this->workers.starts.size(), starts);
}

// Failure: the leader is killed after it has compacted the rows of ended jobs.
TEST_F(RecordsTest, ANewLeaderKnowsTheWorkspaceOfCompactedJobs)
{
  const WorkspaceId workspace{ "Tamworth North" };
  this->policy.workspaces[workspace] = { .name = workspace, .weight = 1000.0 };
  this->entries = { this->workers.Add("w1", 64) };
  this->BeginTerm();
  for (int number = 0; number < kJobCount; ++number) {
    auto spec = MakeJob("job" + std::to_string(number), 1, 1);
    spec.workspace = workspace;
    this->AcceptJob(spec);
  }
  this->RunFor(Milliseconds{ 100 });
  this->workers.EndAll();
  this->RunFor(Milliseconds{ 500 });
  this->BeginTerm(true);
  this->RunFor(Milliseconds{ 300 });
  for (int number = 0; number < kJobCount; ++number) {
    EXPECT_EQ(this->StatusOf("job" + std::to_string(number)).workspace, workspace);
  }
}

TEST_F(RecordsTest, OverwritesOldProgressWhenAJobIsCancelled)
{
  this->entries = { this->workers.Add("w1", 8) };
  this->AcceptJob(MakeJob("job", 2, 1));
  this->store.Put(JobRowKey({ "job" }, JobRowKind::Progress),
                  EncodeProgress({ .hasStarted = true }));
  this->store.Put(JobRowKey({ "job" }, JobRowKind::Cancellation), "{}");
  this->BeginTerm(true);
  this->RunFor(Milliseconds{ 300 });
  const auto progress =
    DecodeProgress(this->store.rows.at(JobRowKey({ "job" }, JobRowKind::Progress)).value);
  EXPECT_EQ(ValueOf(progress).outcome, JobOutcome::Cancelled);
  const auto commits = this->store.commitCount;
  this->RunFor(Milliseconds{ 300 });
  EXPECT_EQ(this->store.commitCount, commits);
}

TEST_F(RecordsTest, LateProgressWriteDoesNotReviveAnEndedJob)
{
  this->RunUntilCompaction();
  const auto starts = this->workers.starts.size();
  for (const auto& row : this->store.RowsOf(std::string(kJobTable))) {
    if (DecodeEndedJob(row.value)) {
      const auto name = ParseJobRowKey(row.key.key);
      this->store.Put(JobRowKey(name->job, JobRowKind::Progress),
                      EncodeProgress({ .hasStarted = true }));
    }
  }
  this->BeginTerm(true);
  this->RunFor(Milliseconds{ 300 });
  EXPECT_EQ(this->StatusOf("job0").outcome, JobOutcome::Succeeded);
  EXPECT_EQ(this->workers.starts.size(), starts);
}

}
