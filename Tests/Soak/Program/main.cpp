#include <Soak/SoakRun.h>
#include <cxxopts.hpp>
#include <filesystem>
#include <fmt/format.h>

namespace {

constexpr int kExitOk = 0;
constexpr int kExitViolated = 1;
constexpr int kExitUsage = 2;

/// Runs one seed and prints its result. @return whether it kept every promise.
bool
RunSeed(const std::string& aProgram, const std::string& aDirectory, std::uint64_t aSeed)
{
  const auto directory = fmt::format("{}/seed-{}", aDirectory, aSeed);
  std::filesystem::create_directories(directory);
  const auto schedule = zinc::soak::DrawFaults(aSeed);
  const auto report = zinc::soak::PerformSoak(
    { .program = aProgram, .directory = directory, .seed = aSeed, .schedule = schedule });
  if (zinc::IsError(report)) {
    fmt::print("seed {}: not run: {}\n", aSeed, zinc::ErrorOf(report).message);
    return false;
  }
  const auto& result = zinc::ValueOf(report);
  fmt::print("seed {}: {} violations, {} accepted, {} refused, {} unanswered, {} starts; {}\n",
             aSeed,
             result.violations.size(),
             result.accepted,
             result.refused,
             result.unanswered,
             result.starts,
             zinc::soak::Describe(schedule));
  for (const auto& violation : result.violations) {
    fmt::print("  {}\n", violation);
  }
  std::fflush(stdout);
  return result.violations.empty();
}

}

int
main(int aCount, char** aArguments)
{
  cxxopts::Options options("zinc-soak",
                           "Runs instances as processes on the platform's protocol under faults.");
  auto add = options.add_options();
  add("program", "path of zinc-entry", cxxopts::value<std::string>());
  add("directory", "for settings, logs and histories", cxxopts::value<std::string>());
  add("first-seed", "first seed", cxxopts::value<std::uint64_t>()->default_value("1"));
  add("seeds", "number of seeds", cxxopts::value<std::uint64_t>()->default_value("1"));
  add("help", "print this text");
  try {
    const auto arguments = options.parse(aCount, aArguments);
    if (arguments.count("help") > 0) {
      fmt::print("{}", options.help());
      return kExitOk;
    }
    const auto first = arguments["first-seed"].as<std::uint64_t>();
    const auto count = arguments["seeds"].as<std::uint64_t>();
    std::uint64_t failed = 0;
    for (auto seed = first; seed < first + count; ++seed) {
      failed += RunSeed(arguments["program"].as<std::string>(),
                        arguments["directory"].as<std::string>(),
                        seed)
                  ? 0
                  : 1;
    }
    fmt::print("{} of {} seeds failed\n", failed, count);
    return failed == 0 ? kExitOk : kExitViolated;
  } catch (const cxxopts::exceptions::exception& error) {
    fmt::print(stderr, "{}\n", error.what());
    return kExitUsage;
  }
}
