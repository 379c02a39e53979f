#include "ScriptedPeer.h"

#include <LibCell/WorkerDirectory.h>
#include <gtest/gtest.h>
#include <platform/Base64.h>
#include <platform/Decoders.h>
#include <platform/StoreClient.h>
#include <platform/WorkerMessages.h>

namespace zinc::platform::test {

namespace {

using OddBatches = AdapterFixture;

constexpr std::string_view kWorker =
  R"({"Service":"s","Address":"10.0.0.1:80","Zone":"z","State":"ready","Seq":4,
"Capacity":{"Cpu":32000,"MemMb":65536},"Labels":["a","r1"],"Machine":"m","born":17})";

std::string
Nest(int aDepth)
{
  return std::string(static_cast<std::size_t>(aDepth), '[') +
         std::string(static_cast<std::size_t>(aDepth), ']');
}

std::string
Replace(std::string_view aText, std::string_view aPart, std::string_view aBy)
{
  std::string text(aText);
  return text.replace(text.find(aPart), aPart.size(), aBy);
}

/// Entries that another writer left among those of the workers.
std::vector<std::string>
OddEntries()
{
  return { Nest(10'000),
           Replace(kWorker, R"(["a","r1"])", Nest(10'000)),
           Replace(kWorker, "17}", Nest(10'000) + "}"),
           Replace(kWorker, "32000", "1e400"),
           Replace(kWorker, "32000", "1180591620717411303424"),
           Replace(kWorker, "17}", "1e400}"),
           Replace(kWorker, "17}", "1180591620717411303424}"),
           Replace(kWorker, ":80", ":70000"),
           Replace(kWorker, ":80", ":-1"),
           "\xff\xfe" };
}

}

// Guards against a process that ends, or uses a worker, by an odd entry.
TEST(OddEntries, NameNoWorker)
{
  ASSERT_FALSE(IsError(DecodeWorkerEntry("w", kWorker)));
  for (const auto& entry : OddEntries()) {
    EXPECT_TRUE(IsError(DecodeWorkerEntry("w", entry))) << entry.substr(0, 200);
  }
}

// Guards against a leader that stops following the list of workers at an odd entry, and against a
// line for each time that the entry is read.
TEST(OddEntries, CostTheListNoOtherWorker)
{
  const Logger log{ { .level = LogLevel::Error } };
  MetricRegistry metrics;
  cell::WorkerDirectory directory(&DecodeWorkerEntry, log, metrics);
  cell::TableUpdate update{ .isSnapshot = true };
  update.rows.push_back({ .key = { .key = "a" }, .value = std::string(kWorker), .version = 1 });
  for (const auto& entry : OddEntries()) {
    update.rows.push_back(
      { .key = { .key = "odd" + std::to_string(update.rows.size()) }, .value = entry });
  }
  update.rows.push_back({ .key = { .key = "z" }, .value = std::string(kWorker), .version = 2 });
  EXPECT_EQ(directory.Apply(update).listed.size(), 2U);
  EXPECT_EQ(directory.Apply(update).listed.size(), 2U);
  EXPECT_EQ(directory.Entries().size(), 2U);
  EXPECT_NE(metrics.Render().find("zinc_cell_unreadable_worker_rows_total 20"), std::string::npos);
}

// Guards against a figure beyond every integer, whose conversion is undefined, and against a report
// that is dropped for one odd run.
TEST(OddEntries, CostAReportNoOtherRun)
{
  const std::string run = R"(["0123456789abcdef.0.1.1",2,"",41,500])";
  for (const std::string& odd : { Replace(run, "500", "1e300"),
                                  Replace(run, "41", "1e300"),
                                  Replace(run, "500", "1180591620717411303424") }) {
    std::size_t unreadable = 0;
    const auto report =
      DecodeReport(R"({"ClockMs":5,"Running":[)" + odd + "," + run + "]}", unreadable);
    ASSERT_FALSE(IsError(report)) << odd;
    EXPECT_EQ(ValueOf(report).activeRuns.size(), 2U) << odd;
  }
  for (const std::string& odd :
       { Replace(run, ",2,", ",-1,"), Replace(run, ",2,", ",1e300,"), Nest(20) }) {
    std::size_t unreadable = 0;
    const auto report =
      DecodeReport(R"({"ClockMs":5,"Running":[)" + odd + "," + run + "]}", unreadable);
    ASSERT_FALSE(IsError(report)) << odd;
    EXPECT_EQ(ValueOf(report).activeRuns.size(), 1U) << odd;
    EXPECT_EQ(unreadable, 1U) << odd;
  }
}

// Guards against a watch that fails again and again at one odd row of a response.
TEST_F(OddBatches, CostAResponseNoOtherRow)
{
  const auto row = [](std::string_view aKey, std::string_view aVersion) {
    return R"({"Table":"t","Key":")" + std::string(aKey) + R"(","Value":")" + EncodeBase64("v") +
           R"(","Ver":)" + std::string(aVersion) + "}";
  };
  ScriptedPeer peer([&row](const ReceivedRequest&) {
    return ScriptedPeer::Reply{ .body = R"({"Ver":41,"rows":[)" + row("a", "1") + "," +
                                        row("b", "1e400") + "," + row("c", "-1") + "," +
                                        R"({"Key":"d","Value":"?"},[[]],)" + row("e", "2") + "]}" };
  });
  StoreClient store(ValueOf(HttpClient::Create(this->OptionsFor(peer))));
  const auto batch = this->Await<cell::RowBatch>(
    [&](auto aHandler) { store.Watch("t", 1, Milliseconds{ 0 }, std::move(aHandler)); });
  ASSERT_FALSE(IsError(batch));
  EXPECT_EQ(ValueOf(batch).rows.size(), 2U);
  EXPECT_EQ(ValueOf(batch).unreadableRows, 4U);
}

// Guards against a store that is taken for lost since it writes its numbers in another form.
TEST_F(OddBatches, AreReadWithNumbersInOtherForms)
{
  ScriptedPeer peer([](const ReceivedRequest&) {
    return ScriptedPeer::Reply{ .body = R"({"Ver":41.0,"NowMs":7e3,"rows":[)"
                                        R"({"Table":"t","Key":"a","Value":"","Ver":9.0}]})" };
  });
  StoreClient store(ValueOf(HttpClient::Create(this->OptionsFor(peer))));
  const auto batch = this->Await<cell::RowBatch>(
    [&](auto aHandler) { store.Watch("t", 1, Milliseconds{ 0 }, std::move(aHandler)); });
  ASSERT_FALSE(IsError(batch));
  EXPECT_EQ(ValueOf(batch).version, 41U);
  EXPECT_EQ(ValueOf(batch).storeTime, Milliseconds{ 7000 });
  ASSERT_EQ(ValueOf(batch).rows.size(), 1U);
  EXPECT_EQ(ValueOf(batch).rows[0].version, 9U);
}

}
