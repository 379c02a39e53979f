#pragma once

/// @file
/// Parsing of the command line.

#include <LibSettings/SettingOverride.h>
#include <memory>
#include <span>
#include <string>
#include <variant>
#include <vector>
#include <zincctl/Command.h>

namespace zinc {

/// A command with its values.
struct ParsedCommand
{
  const CommandDescription* command = nullptr;
  std::unique_ptr<Arguments> arguments;
  /// Path of the settings file; empty if none was given.
  std::string settingsFile;
  std::vector<SettingOverride> settings;
};

/// The line asks for help.
struct HelpText
{
  std::string text;
};

/// The line is wrong.
struct UsageFault
{
  std::string message;
};

/// Reads the arguments after the program's name.
[[nodiscard]] std::variant<ParsedCommand, HelpText, UsageFault>
ParseCommandLine(std::span<const std::string> aArguments);

}
