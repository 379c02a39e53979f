#include <LibCell/WorkerTable.h>
#include <gtest/gtest.h>
#include <string>
#include <vector>

namespace zinc::cell::test {

namespace {

std::vector<std::string>
IdsOf(const WorkerTable& aTable)
{
  std::vector<std::string> ids;
  for (const auto* worker : aTable.All()) {
    ids.push_back(worker->entry.id.value);
  }
  return ids;
}

}

TEST(WorkerTable, ListsWorkersInOrderOfTheirIds)
{
  WorkerTable table;
  for (const auto* id : { "b", "c", "a" }) {
    table.Add({ .id = { id } });
  }
  EXPECT_EQ(IdsOf(table), (std::vector<std::string>{ "a", "b", "c" }));
  EXPECT_EQ(table.Size(), 3U);
}

TEST(WorkerTable, FindsWorkersByIdAndByNumber)
{
  WorkerTable table;
  auto& worker = table.Add({ .id = { "a" } });
  EXPECT_EQ(table.Find({ "a" }), &worker);
  EXPECT_EQ(table.FindByNumber(worker.number), &worker);
  EXPECT_EQ(table.Find({ "b" }), nullptr);
  EXPECT_EQ(table.FindByNumber(worker.number + 1), nullptr);
}

// A ticket or reservation that names a removed worker must not apply to one that is added later,
// not even under the same id.
TEST(WorkerTable, DoesNotUseANumberAgain)
{
  WorkerTable table;
  const auto removed = table.Add({ .id = { "a" } }).number;
  table.Remove({ "a" });
  EXPECT_EQ(table.FindByNumber(removed), nullptr);
  auto& added = table.Add({ .id = { "a" } });
  EXPECT_NE(added.number, removed);
  EXPECT_EQ(table.FindByNumber(removed), nullptr);
  EXPECT_EQ(IdsOf(table), (std::vector<std::string>{ "a" }));
}

TEST(WorkerTable, IgnoresTheRemovalOfAnUnknownWorker)
{
  WorkerTable table;
  table.Add({ .id = { "a" } });
  table.Remove({ "b" });
  EXPECT_EQ(table.Size(), 1U);
}

}
