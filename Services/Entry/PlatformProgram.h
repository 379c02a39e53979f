#pragma once

/// @file
/// Runs an entry instance on the users' platform, with the cell scheduler of LibCell.

#include <cstdint>
#include <string>

namespace zinc {

/// Command line options of an instance on the users' platform.
struct PlatformProgramOptions
{
  /// The platform's settings file.
  std::string settingsPath;
  /// Port for metrics at the instance's address; 0 serves none.
  std::uint16_t metricsPort = 0;
  /// Threads for connections besides the control thread; 0 uses the control thread.
  std::uint32_t trafficThreads = 1;
};

/// Runs the instance until SIGTERM or SIGINT; SIGHUP reloads the settings file.
/// @return the exit code of the program
[[nodiscard]] int
RunOnPlatform(const PlatformProgramOptions& aOptions);

}
