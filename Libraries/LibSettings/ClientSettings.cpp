#include <LibSettings/ClientSettings.h>

#include <LibSettings/EndpointText.h>
#include <LibYaml/MappingReader.h>
#include <array>

namespace zinc {

namespace {

constexpr IntegerRange kTimeoutRange{ .min = 10, .max = 3'600'000 };

constexpr std::array<NamedValue<OutputFormat>, 2> kOutputNames{ {
  { "text", OutputFormat::Text },
  { "json", OutputFormat::Json },
} };

constexpr std::array kDescriptions{
  SettingDescription{ "entries",
                      "Addresses of entry instances, separated by commas",
                      SettingShape::List },
  SettingDescription{ "key", "Key of a team; better given by environment or file" },
  SettingDescription{ "operator_key", "Key of an operator; better given by environment or file" },
  SettingDescription{ "timeout_ms", "Longest time for one exchange in ms (30000)" },
  SettingDescription{ "output", "text or json (text)" },
};

ClientSettings
ReadClientSettings(const YamlNode& aRoot, Faults& aFaults)
{
  ClientSettings settings;
  MappingReader root(aRoot, "", aFaults);
  root.ReadTexts("entries", Presence::Optional, kEndpointRule, [&](std::string_view aText, int) {
    settings.entries.push_back(*ParseEndpoint(aText));
  });
  root.ReadText("key", Presence::Optional, kAnyTextRule, settings.key);
  root.ReadText("operator_key", Presence::Optional, kAnyTextRule, settings.operatorKey);
  root.ReadMilliseconds("timeout_ms", Presence::Optional, kTimeoutRange, settings.timeout);
  root.ReadChoice("output", Presence::Optional, kOutputNames, settings.output);
  root.RefuseUnknownKeys();
  return settings;
}

}

std::variant<ClientSettings, Faults>
LoadClientSettings(std::string_view aYaml, std::span<const SettingOverride> aOverrides)
{
  auto tree = ParseYaml(aYaml);
  if (std::holds_alternative<Faults>(tree)) {
    return std::get<Faults>(std::move(tree));
  }
  YamlNode& root = std::get<YamlNode>(tree);
  ApplyOverrides(kDescriptions, aOverrides, root);
  Faults faults;
  ClientSettings settings = ReadClientSettings(root, faults);
  if (!faults.empty()) {
    NameOrigins(aOverrides, faults);
    return faults;
  }
  return settings;
}

std::span<const SettingDescription>
ClientSettingDescriptions()
{
  return kDescriptions;
}

}
