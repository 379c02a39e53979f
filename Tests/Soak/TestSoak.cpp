#include <Soak/SoakRun.h>
#include <filesystem>
#include <gtest/gtest.h>

namespace zinc::soak {

namespace {

/// A seed that runs each time.
struct SeedCase
{
  std::uint64_t seed = 1;
  /// Why it is kept.
  std::string cause;
};

class Seeds : public testing::TestWithParam<SeedCase>
{};

std::string
Joined(const std::vector<std::string>& aLines)
{
  std::string text;
  for (const auto& line : aLines) {
    text += line + "\n";
  }
  return text;
}

}

TEST_P(Seeds, KeepEveryPromise)
{
  const auto seed = this->GetParam().seed;
  const auto directory = testing::TempDir() + "zinc-soak-" + std::to_string(seed);
  std::filesystem::remove_all(directory);
  std::filesystem::create_directories(directory);
  const auto schedule = DrawFaults(seed);
  const auto report = PerformSoak({ .program = ZINC_PROGRAMS "/zinc-entry",
                                    .directory = directory,
                                    .seed = seed,
                                    .schedule = schedule });
  ASSERT_FALSE(IsError(report)) << ErrorOf(report).message;
  EXPECT_GT(ValueOf(report).accepted, 0U);
  EXPECT_TRUE(ValueOf(report).violations.empty()) << Describe(schedule) << "\n"
                                                  << Joined(ValueOf(report).violations);
}

INSTANTIATE_TEST_SUITE_P(
  Soak,
  Seeds,
  testing::Values(
    SeedCase{ 3,
              "processes held the soak's listeners, so that a store that refused never came back" },
    SeedCase{ 6, "one end of a gang stands for all; its last members ended on a worker that left" },
    SeedCase{ 7,
              "a frozen worker listed ends after its lease, and began a start that it had kept" },
    SeedCase{ 10, "more work than a workspace may run was taken for lost" },
    SeedCase{ 15,
              "a worker whose row could not reappear while the store was away was taken for gone" },
    SeedCase{ 25, "two tasks that crash both workers of a rack at a time count as rack losses" },
    SeedCase{ 46, "the same" },
    SeedCase{ 105, "a program that ignored a request to evacuate started tasks in the zone" }),
  [](const auto& aInfo) { return "Seed" + std::to_string(aInfo.param.seed); });

}
