#pragma once

/// @file
/// Values of settings from the environment and from flags.

#include <LibYaml/Fault.h>
#include <LibYaml/YamlNode.h>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace zinc {

/// How an override's text is read.
enum class SettingShape : std::uint8_t
{
  Single,
  /// Items separated by commas.
  List,
};

/// A setting that may be given outside the file.
struct SettingDescription
{
  /// Path in the YAML text, e.g. "platform.table".
  std::string_view path;
  /// Help text with unit and default.
  std::string_view summary;
  SettingShape shape = SettingShape::Single;
};

/// One value given outside the file.
struct SettingOverride
{
  /// Path in the YAML text.
  std::string path;
  std::string value;
  /// Where it was given, e.g. "--lease-ms" or "ZINC_ENTRY_LEASE_MS"; named in faults.
  std::string origin;
};

/// What to do with variables that have the prefix and belong to no setting.
enum class UnknownVariables : std::uint8_t
{
  /// They become overrides of an unknown key, which is then a fault.
  Refuse,
  Ignore,
};

/// @return the flag of a setting without its hyphens, e.g. "platform-table".
[[nodiscard]] std::string
FlagName(std::string_view aPath);

/// @return the environment variable of a setting, e.g. "ZINC_ENTRY_PLATFORM_TABLE".
[[nodiscard]] std::string
EnvironmentName(std::string_view aPrefix, std::string_view aPath);

/// Collects the variables that begin with a prefix; an empty one counts as not given.
/// @param aEnvironment variables as "NAME=value", ending with a null pointer.
[[nodiscard]] std::vector<SettingOverride>
OverridesFromEnvironment(std::span<const SettingDescription> aSettings,
                         std::string_view aPrefix,
                         const char* const* aEnvironment,
                         UnknownVariables aUnknown = UnknownVariables::Refuse);

/// Puts overrides into the tree of a settings file.
void
ApplyOverrides(std::span<const SettingDescription> aSettings,
               std::span<const SettingOverride> aOverrides,
               YamlNode& aRoot);

/// Puts the origin of an override in place of the path of each fault that it caused.
void
NameOrigins(std::span<const SettingOverride> aOverrides, Faults& aFaults);

}
