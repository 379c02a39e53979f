#include <LibLedger/RecordCodec.h>
#include <LibLedger/ShardSnapshot.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace zinc {

namespace {

/// @return records of every kind with arbitrary texts and numbers.
std::vector<Record>
ArbitraryRecords()
{
  const auto text = [] { return *rc::gen::arbitrary<std::string>(); };
  const auto number = [] { return *rc::gen::inRange<std::uint32_t>(0, 1U << 31U); };
  const JobId job{ text() };
  AcceptedRecord accepted{ .job = job,
                           .request = { text() },
                           .team = { text() },
                           .zone = { "telford" },
                           .bodyHash = text(),
                           .tasks = 1 + number() % 3,
                           .resources = { .milliCores = number(), .slots = number() },
                           .expectedRun = Milliseconds(number()),
                           .payload = text() };
  if (number() % 2 == 0) {
    accepted.deadline = WallTime(Milliseconds(number()));
  }
  return { accepted,
           DriverRecord{ .zone = { "telford" }, .entry = { "writer" }, .epoch = 1 },
           AttemptRecord{ .job = job, .worker = { text() }, .term = number(), .epoch = 1 },
           OutcomeRecord{ .job = job,
                          .epoch = 1,
                          .result = text(),
                          .progress = text(),
                          .isWorkerLost = number() % 2 == 0 },
           CancelledRecord{ .job = job },
           JobEndedRecord{ .job = job, .epoch = 1, .run = RunState::NotRun, .result = text() },
           RetiredRecord{ .endedUpTo = WallTime(Milliseconds(-1)), .epoch = 1 } };
}

std::string
EncodeAll(const std::vector<Record>& aRecords)
{
  std::vector<std::string> encoded;
  for (const Record& record : aRecords) {
    encoded.push_back(EncodeRecord(record));
  }
  return EncodeBatch("id", { "writer" }, encoded);
}

}

RC_GTEST_PROP(LedgerCodec, BatchesReadBack, ())
{
  const std::vector<Record> records = ArbitraryRecords();
  const Result<Batch> decoded = DecodeBatch(EncodeAll(records));
  RC_ASSERT(!IsError(decoded));
  RC_ASSERT(ValueOf(decoded).records == records);
}

RC_GTEST_PROP(LedgerCodec, SnapshotsReadBackAfterEveryRecord, ())
{
  ShardState state;
  for (const Record& record : ArbitraryRecords()) {
    RC_ASSERT(state.Apply({ "writer" }, record) == RecordOutcome::Applied);
    state.MarkBatch({ "writer" }, "id");
    const Result<ShardImage> decoded = DecodeSnapshot(EncodeSnapshot(state.Image()));
    RC_ASSERT(!IsError(decoded));
    RC_ASSERT(ValueOf(decoded) == state.Image());
    RC_ASSERT(ShardState(ValueOf(decoded)).Image() == state.Image());
  }
}

RC_GTEST_PROP(LedgerCodec, DamagedValuesAreRefusedOrRead, (std::string aJunk))
{
  std::string value = EncodeAll(ArbitraryRecords());
  const auto position = *rc::gen::inRange<std::size_t>(0, value.size());
  value.replace(position, *rc::gen::inRange<std::size_t>(0, 20), aJunk);
  static_cast<void>(DecodeBatch(value));
  static_cast<void>(DecodeSnapshot(value));
  static_cast<void>(DecodeBase(value));
  RC_ASSERT(IsError(DecodeBatch(aJunk)));
}

TEST(LedgerCodec, DeepNestingIsRefused)
{
  EXPECT_TRUE(IsError(DecodeBatch(std::string(100'000, '['))));
}

TEST(LedgerCodec, TaskIdentifiersReadBack)
{
  const JobId job{ "0001-00" };
  EXPECT_EQ(ParseTaskId(TaskIdOf(job, 7)), (TaskAddress{ .job = job, .task = 7 }));
  EXPECT_EQ(ParseTaskId({ "no task" }), std::nullopt);
  EXPECT_EQ(ParseTaskId({ "job.7x" }), std::nullopt);
}

}
