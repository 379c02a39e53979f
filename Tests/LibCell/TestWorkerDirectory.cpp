#include <LibCell/WorkerDirectory.h>
#include <gtest/gtest.h>

namespace zinc::cell::test {

namespace {

/// Rows hold the number of cores, or anything else, which cannot be read.
class WorkerDirectoryTest : public testing::Test
{
protected:
  static Result<WorkerEntry> Decode(const std::string& aId, std::string_view aText)
  {
    if (aText != "4" && aText != "8") {
      return NotRun(ErrorCode::BadRequest, "no number");
    }
    return WorkerEntry{ .id = { aId }, .capacity = { .milliCores = (aText[0] - '0') * 1000 } };
  }

  static Row MakeRow(const std::string& aId, const std::string& aText)
  {
    return { .key = { .key = aId }, .value = aText, .version = 1 };
  }

  Logger log{ { .level = LogLevel::Error } };
  MetricRegistry metrics;
  WorkerDirectory directory{ &WorkerDirectoryTest::Decode, this->log, this->metrics };
};

}

// Guards against starts by an old capacity: the row of a known worker cannot be read any more.
TEST_F(WorkerDirectoryTest, UnlistsAWorkerWhoseRowBecomesUnreadable)
{
  this->directory.Apply({ .rows = { MakeRow("w1", "8"), MakeRow("w2", "8") } });
  const auto broken = this->directory.Apply({ .rows = { MakeRow("w1", "none") } });
  ASSERT_EQ(broken.unlisted.size(), 1U);
  EXPECT_EQ(broken.unlisted.front().value, "w1");
  EXPECT_EQ(this->directory.Entries().size(), 1U);
  const auto whole = this->directory.Apply({ .rows = { MakeRow("w1", "4") } });
  ASSERT_EQ(whole.listed.size(), 1U);
  EXPECT_EQ(whole.listed.front().capacity.milliCores, 4000);
}

// Guards against a worker that has left and is listed when a term begins: its row is removed
// between the snapshot and the begin of the term.
TEST_F(WorkerDirectoryTest, ForgetsAWorkerThatIsRemovedAfterTheSnapshot)
{
  this->directory.Apply({ .rows = { MakeRow("w1", "8"), MakeRow("w2", "8") }, .isSnapshot = true });
  auto removed = MakeRow("w1", "");
  removed.isDeleted = true;
  this->directory.Apply({ .rows = { removed } });
  ASSERT_EQ(this->directory.Entries().size(), 1U);
  EXPECT_EQ(this->directory.Entries().front().id.value, "w2");
}

// Guards against workers that stay listed after their removal was missed.
TEST_F(WorkerDirectoryTest, UnlistsWorkersThatASnapshotLacks)
{
  this->directory.Apply({ .rows = { MakeRow("w1", "8"), MakeRow("w2", "8") } });
  const auto changes =
    this->directory.Apply({ .rows = { MakeRow("w2", "4") }, .isSnapshot = true });
  ASSERT_EQ(changes.unlisted.size(), 1U);
  EXPECT_EQ(changes.unlisted.front().value, "w1");
  EXPECT_EQ(this->directory.Entries().front().capacity.milliCores, 4000);
}

}
