#pragma once

/// @file
/// One run of zincctl.

#include <span>
#include <string>
#include <zincctl/Command.h>

namespace zinc {

/// Runs a command line.
/// @param aArguments the words after the program's name.
[[nodiscard]] ExitCode
RunZincctl(std::span<const std::string> aArguments, Surroundings& aSurroundings);

}
