#include "CellSchedulerFixture.h"

#include <algorithm>

namespace zinc::cell::test {

namespace {

/// Each worker has a label of its own, and a run that leaves no room for a gang.
class GangEarmarks : public CellSchedulerFixture
{
protected:
  GangEarmarks() { this->options.urgentHeadroom = 0.0; }

  void AddBusyWorker(const std::string& aLabel)
  {
    this->entries.push_back(this->workers.Add("worker " + aLabel, 9));
    this->entries.back().labels = { aLabel };
  }

  void Accept(const std::string& aJob,
              const std::string& aLabel,
              std::int64_t aCores,
              std::int64_t aEstimateMs,
              bool aIsGang = false)
  {
    auto job = MakeJob(aJob + " " + aLabel, 1, aCores, aEstimateMs);
    job.steps.front().requiredLabel = aLabel;
    job.steps.front().isGang = aIsGang;
    this->AcceptJob(job);
  }
};

}

// Load: six gangs without room. Guards against pending gangs that keep all workers free of batch
// tasks: only the first five do.
TEST_F(GangEarmarks, KeepWorkersFreeForFiveGangsAtATime)
{
  const std::vector<std::string> labels = { "a", "b", "c", "d", "e", "f" };
  std::ranges::for_each(labels, [this](const auto& aLabel) { this->AddBusyWorker(aLabel); });
  this->BeginTerm();
  this->RunFor(Milliseconds{ 50 });
  for (const auto& label : labels) {
    this->Accept("running", label, 5, 20'000);
  }
  this->RunFor(Milliseconds{ 50 });
  for (const auto& label : labels) {
    this->Accept("gang", label, 9, 4000, true);
    this->RunFor(Milliseconds{ 10 });
  }
  this->RunFor(Milliseconds{ 100 });
  for (const auto& label : labels) {
    this->Accept("batch", label, 2, 8000);
  }
  this->RunFor(Milliseconds{ 500 });
  for (const auto& label : labels) {
    EXPECT_EQ(this->CountStarts("batch " + label), label == "f" ? 1U : 0U) << label;
  }
}

}
