#pragma once

/// @file
/// Runs the entry instance on the platform.

#include <cstdint>
#include <string>

namespace zinc {

/// How the instance is run.
struct PlatformProgramOptions
{
  /// The platform's settings file.
  std::string settingsPath;
  /// Where metrics are served on the instance's address; 0 serves none.
  std::uint16_t metricsPort = 0;
  /// Threads for connections beside the control thread; 0 runs everything on that one.
  std::uint32_t trafficThreads = 1;
};

/// Serves until the process is asked to end.
/// @return the program's exit code
[[nodiscard]] int
RunOnPlatform(const PlatformProgramOptions& aOptions);

}
