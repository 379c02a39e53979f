#include <LibSettings/SettingOverride.h>

#include <algorithm>
#include <cctype>
#include <fmt/format.h>
#include <optional>
#include <utility>

namespace zinc {

namespace {

std::string
Lower(std::string_view aText)
{
  std::string lower(aText);
  std::ranges::transform(lower, lower.begin(), [](unsigned char aCharacter) {
    return static_cast<char>(std::tolower(aCharacter));
  });
  return lower;
}

const SettingDescription*
FindByPath(std::span<const SettingDescription> aSettings, std::string_view aPath)
{
  const auto found = std::ranges::find(aSettings, aPath, &SettingDescription::path);
  return found == aSettings.end() ? nullptr : &*found;
}

std::string
PathOfVariable(std::span<const SettingDescription> aSettings,
               std::string_view aPrefix,
               std::string_view aName)
{
  const auto found = std::ranges::find_if(aSettings, [&](const SettingDescription& aSetting) {
    return EnvironmentName(aPrefix, aSetting.path) == aName;
  });
  return found == aSettings.end() ? Lower(aName.substr(aPrefix.size())) : std::string(found->path);
}

/// @return the child with this key, added if need be; its parent becomes a mapping.
YamlNode&
ChildOf(YamlNode& aParent, std::string_view aKey)
{
  if (aParent.kind == YamlKind::Null) {
    aParent.kind = YamlKind::Mapping;
  }
  if (YamlNode* const found = aParent.Find(aKey)) {
    return *found;
  }
  aParent.children.push_back({ .key = std::string(aKey) });
  return aParent.children.back();
}

void
SetValue(YamlNode& aNode, std::string_view aValue, SettingShape aShape)
{
  aNode.line = 0;
  aNode.children.clear();
  if (aShape == SettingShape::Single) {
    aNode.kind = YamlKind::Plain;
    aNode.text = aValue;
    return;
  }
  aNode.kind = YamlKind::Sequence;
  while (!aValue.empty()) {
    const auto end = std::min(aValue.find(','), aValue.size());
    aNode.children.push_back(
      { .kind = YamlKind::Plain, .text = std::string(aValue.substr(0, end)) });
    aValue.remove_prefix(std::min(end + 1, aValue.size()));
  }
}

bool
IsAtOrBelow(std::string_view aPath, std::string_view aParent)
{
  if (!aPath.starts_with(aParent)) {
    return false;
  }
  const std::string_view rest = aPath.substr(aParent.size());
  return rest.empty() || rest.starts_with('[');
}

}

std::string
FlagName(std::string_view aPath)
{
  std::string name(aPath);
  std::ranges::replace(name, '.', '-');
  std::ranges::replace(name, '_', '-');
  return name;
}

std::string
EnvironmentName(std::string_view aPrefix, std::string_view aPath)
{
  std::string name = fmt::format("{}{}", aPrefix, aPath);
  std::ranges::transform(name, name.begin(), [](unsigned char aCharacter) {
    return aCharacter == '.' ? '_' : static_cast<char>(std::toupper(aCharacter));
  });
  return name;
}

std::vector<SettingOverride>
OverridesFromEnvironment(std::span<const SettingDescription> aSettings,
                         std::string_view aPrefix,
                         const char* const* aEnvironment,
                         UnknownVariables aUnknown)
{
  std::vector<SettingOverride> overrides;
  for (; *aEnvironment != nullptr; ++aEnvironment) {
    const std::string_view variable(*aEnvironment);
    const auto separator = variable.find('=');
    if (!variable.starts_with(aPrefix) || separator == std::string_view::npos) {
      continue;
    }
    const std::string_view name = variable.substr(0, separator);
    if (separator + 1 == variable.size()) {
      continue;
    }
    std::string path = PathOfVariable(aSettings, aPrefix, name);
    if (aUnknown == UnknownVariables::Ignore && FindByPath(aSettings, path) == nullptr) {
      continue;
    }
    overrides.push_back({ .path = std::move(path),
                          .value = std::string(variable.substr(separator + 1)),
                          .origin = std::string(name) });
  }
  return overrides;
}

void
ApplyOverrides(std::span<const SettingDescription> aSettings,
               std::span<const SettingOverride> aOverrides,
               YamlNode& aRoot)
{
  for (const auto& change : aOverrides) {
    const SettingDescription* const setting = FindByPath(aSettings, change.path);
    YamlNode* node = &aRoot;
    std::string_view rest = change.path;
    while (!rest.empty()) {
      const auto end = std::min(rest.find('.'), rest.size());
      node = &ChildOf(*node, rest.substr(0, end));
      rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    SetValue(*node, change.value, setting == nullptr ? SettingShape::Single : setting->shape);
  }
}

void
NameOrigins(std::span<const SettingOverride> aOverrides, Faults& aFaults)
{
  for (auto& fault : aFaults) {
    const auto found = std::find_if(
      aOverrides.rbegin(), aOverrides.rend(), [&fault](const SettingOverride& aOverride) {
        return IsAtOrBelow(fault.path, aOverride.path);
      });
    if (found != aOverrides.rend()) {
      fault.path = found->origin;
    }
  }
}

}
