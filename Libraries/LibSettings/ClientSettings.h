#pragma once

/// @file
/// Settings of the command line client.

#include <LibBase/Time.h>
#include <LibPlatform/InstanceList.h>
#include <LibSettings/SettingOverride.h>
#include <LibYaml/Fault.h>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace zinc {

/// How results are printed.
enum class OutputFormat : std::uint8_t
{
  Text,
  Json,
};

/// Everything that a caller's or operator's command line is told.
struct ClientSettings
{
  /// Entry instances, tried in this order.
  std::vector<Endpoint> entries;
  /// Key of a team.
  std::string key;
  std::string operatorKey;
  /// Longest time for one exchange.
  Milliseconds timeout{ 30000 };
  OutputFormat output = OutputFormat::Text;
};

/// Reads and checks settings; nothing is required.
[[nodiscard]] std::variant<ClientSettings, Faults>
LoadClientSettings(std::string_view aYaml, std::span<const SettingOverride> aOverrides = {});

/// @return the settings that can be overridden, with the help text of each.
[[nodiscard]] std::span<const SettingDescription>
ClientSettingDescriptions();

}
