#include "ConductorFixture.h"

namespace zinc::cell::test {

namespace {

using RecordsTest = ConductorFixture;

}

TEST_F(RecordsTest, JobSurvivesItsRow)
{
  auto spec = JobOf("0123456789abcdef", 3, 2, 700);
  spec.queue.isAdvised = true;
  spec.queue.advice = { .baseMs = 4.5, .perWorkerMs = 0.5, .validity = Milliseconds{ 1500 } };
  spec.steps.push_back({ .count = 2,
                         .after = { 0 },
                         .checkpoints = true,
                         .isGang = true,
                         .requiredLabel = "a",
                         .dataRack = "r1-2",
                         .maxPerWorker = 1,
                         .hasAvailabilityBudget = true,
                         .availabilityBudget = 2 });
  spec.occurrences = 4;
  spec.interval = Milliseconds{ 250 };
  const auto decoded = DecodeSpecification(spec.id, EncodeSpecification(spec));
  ASSERT_FALSE(IsError(decoded));
  EXPECT_EQ(EncodeSpecification(ValueOf(decoded)), EncodeSpecification(spec));
}

TEST_F(RecordsTest, RefusesWhatItCannotRead)
{
  EXPECT_TRUE(IsError(DecodeSpecification({ "job" }, "")));
  EXPECT_TRUE(IsError(DecodeSpecification({ "job" }, "[]")));
  EXPECT_TRUE(IsError(DecodeSpecification({ "job" }, R"({"steps":[]})")));
  EXPECT_TRUE(IsError(DecodeSpecification({ "job" }, R"({"steps":[{"count":"x"}]})")));
  EXPECT_TRUE(IsError(DecodeProgress("\xff\xfe")));
  EXPECT_TRUE(IsError(DecodeOwner("{\"port\":\"x\"}")));
  EXPECT_FALSE(DecodeEndedJob("ended 9 a b").has_value());
  EXPECT_FALSE(DecodeEndedJob("ended 1 a").has_value());
  EXPECT_FALSE(ParseJobRowKey("x").has_value());
  EXPECT_FALSE(ParseJobRowKey("job.z").has_value());
}

TEST_F(RecordsTest, EndedJobKeepsItsIdAndOutcome)
{
  this->entries = { this->workers.Add("w1", 8) };
  this->Begin();
  this->Accept(JobOf("job", 2, 1));
  this->Run(Milliseconds{ 100 });
  this->workers.EndAll();
  this->Run(Milliseconds{ 300 });
  const auto rows = this->store.RowsOf(std::string(kJobTable));
  ASSERT_EQ(rows.size(), 1U) << "one small row is left";
  EXPECT_TRUE(DecodeEndedJob(rows.front().value).has_value());
  this->Begin(true);
  this->Run(Milliseconds{ 300 });
  EXPECT_EQ(this->StatusOf("job").outcome, JobOutcome::Succeeded);
  EXPECT_EQ(this->workers.starts.size(), 2U);
}

TEST_F(RecordsTest, ProgressWrittenLateDoesNotReviveAnEndedJob)
{
  this->entries = { this->workers.Add("w1", 8) };
  this->Begin();
  this->Accept(JobOf("job", 2, 1));
  this->Run(Milliseconds{ 100 });
  this->workers.EndAll();
  this->Run(Milliseconds{ 300 });
  this->store.Put(JobRowKey({ "job" }, JobRowKind::Progress),
                  EncodeProgress({ .hasStarted = true }));
  this->Begin(true);
  this->Run(Milliseconds{ 300 });
  EXPECT_EQ(this->StatusOf("job").outcome, JobOutcome::Succeeded);
  EXPECT_EQ(this->workers.starts.size(), 2U);
}

}
