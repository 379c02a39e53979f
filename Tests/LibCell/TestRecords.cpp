#include "CellSchedulerFixture.h"

#include <algorithm>

namespace zinc::cell::test {

namespace {

constexpr int kJobCount = 45;

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
