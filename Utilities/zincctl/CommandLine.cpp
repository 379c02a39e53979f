#include <zincctl/CommandLine.h>

#include <LibSettings/ClientSettings.h>
#include <algorithm>
#include <cxxopts.hpp>
#include <fmt/format.h>
#include <zincctl/CommandTable.h>

namespace zinc {

namespace {

constexpr std::string_view kHelpFlag = "--help";
constexpr const char* kPositionalOption = "positional";

using ParsedLine = std::variant<ParsedCommand, HelpText, UsageFault>;

class CxxoptsArguments final : public Arguments
{
public:
  explicit CxxoptsArguments(cxxopts::ParseResult aResult)
    : result(std::move(aResult))
  {
  }

  [[nodiscard]] std::string Positional() const override { return this->Text(kPositionalOption); }

  [[nodiscard]] bool Has(std::string_view aName) const override
  {
    return this->result.count(std::string(aName)) > 0;
  }

  [[nodiscard]] std::string Text(std::string_view aName) const override
  {
    return this->Has(aName) ? this->result[std::string(aName)].as<std::string>() : std::string();
  }

  [[nodiscard]] std::int64_t Number(std::string_view aName) const override
  {
    return this->result[std::string(aName)].as<std::int64_t>();
  }

private:
  cxxopts::ParseResult result;
};

std::shared_ptr<cxxopts::Value>
ValueOf(const OptionDescription& aOption)
{
  if (aOption.kind == OptionKind::Flag) {
    return cxxopts::value<bool>();
  }
  auto value = aOption.kind == OptionKind::Integer
                 ? std::shared_ptr<cxxopts::Value>(cxxopts::value<std::int64_t>())
                 : std::shared_ptr<cxxopts::Value>(cxxopts::value<std::string>());
  return aOption.defaultValue.empty() ? value
                                      : value->default_value(std::string(aOption.defaultValue));
}

cxxopts::Options
OptionsOf(const CommandDescription& aCommand)
{
  cxxopts::Options options(fmt::format("zincctl {}", aCommand.name), std::string(aCommand.summary));
  auto add = options.add_options();
  for (const auto& option : aCommand.options) {
    add(std::string(option.name), std::string(option.summary), ValueOf(option));
  }
  for (const auto& setting : ClientSettingDescriptions()) {
    add(FlagName(setting.path), std::string(setting.summary), cxxopts::value<std::string>());
  }
  add("config", "Settings file", cxxopts::value<std::string>());
  add("help", "Show this help", cxxopts::value<bool>());
  options.positional_help(std::string(aCommand.positional));
  if (!aCommand.positional.empty()) {
    options.add_options("positional")(kPositionalOption, "", cxxopts::value<std::string>());
    options.parse_positional(std::vector<std::string>{ kPositionalOption });
  }
  return options;
}

/// Lists the commands whose names begin with a group, or all of them.
std::string
ListCommands(std::string_view aGroup)
{
  std::string text =
    fmt::format("Usage: zincctl {} [OPTION...]\n\n",
                aGroup.empty() ? std::string("COMMAND") : fmt::format("{} COMMAND", aGroup));
  for (const auto& command : CommandTable()) {
    if (aGroup.empty() || command.name.starts_with(fmt::format("{} ", aGroup))) {
      text += fmt::format("  {:<18} {}\n", command.name, command.summary);
    }
  }
  return text + "\nEach command explains itself with --help.\n";
}

bool
IsGroup(std::string_view aWord)
{
  return std::ranges::any_of(CommandTable(), [aWord](const CommandDescription& aCommand) {
    return aCommand.name.starts_with(fmt::format("{} ", aWord));
  });
}

const CommandDescription*
FindCommand(std::string_view aName)
{
  const auto table = CommandTable();
  const auto found = std::ranges::find(table, aName, &CommandDescription::name);
  return found == table.end() ? nullptr : &*found;
}

std::vector<SettingOverride>
SettingsOf(const cxxopts::ParseResult& aResult)
{
  std::vector<SettingOverride> settings;
  for (const auto& setting : ClientSettingDescriptions()) {
    const std::string flag = FlagName(setting.path);
    if (aResult.count(flag) > 0) {
      settings.push_back({ .path = std::string(setting.path),
                           .value = aResult[flag].as<std::string>(),
                           .origin = "--" + flag });
    }
  }
  return settings;
}

/// @return what is wrong with the values, if anything is.
std::optional<UsageFault>
CheckValues(const CommandDescription& aCommand, const cxxopts::ParseResult& aResult)
{
  if (!aResult.unmatched().empty()) {
    return UsageFault{ fmt::format("unexpected argument {}", aResult.unmatched().front()) };
  }
  if (!aCommand.positional.empty() && aResult.count(kPositionalOption) == 0) {
    return UsageFault{ fmt::format("{} needs {}", aCommand.name, aCommand.positional) };
  }
  for (const auto& option : aCommand.options) {
    const std::string name(option.name);
    if (option.kind == OptionKind::Integer && aResult.count(name) > 0 &&
        aResult[name].as<std::int64_t>() < 0) {
      return UsageFault{ fmt::format("--{} must be at least 0", name) };
    }
  }
  return {};
}

ParsedLine
ParseOptions(const CommandDescription& aCommand, std::span<const std::string> aArguments)
{
  cxxopts::Options options = OptionsOf(aCommand);
  const std::string program = "zincctl";
  std::vector<const char*> words = { program.c_str() };
  std::ranges::transform(
    aArguments, std::back_inserter(words), [](const std::string& aWord) { return aWord.c_str(); });
  try {
    auto result = options.parse(static_cast<int>(words.size()), words.data());
    if (result.count("help") > 0) {
      return HelpText{ options.help({ "" }) };
    }
    if (auto fault = CheckValues(aCommand, result)) {
      return *fault;
    }
    ParsedCommand parsed{ .command = &aCommand, .settings = SettingsOf(result) };
    if (result.count("config") > 0) {
      parsed.settingsFile = result["config"].as<std::string>();
    }
    parsed.arguments = std::make_unique<CxxoptsArguments>(std::move(result));
    return parsed;
  } catch (const cxxopts::exceptions::exception& error) {
    return UsageFault{ error.what() };
  }
}

}

std::variant<ParsedCommand, HelpText, UsageFault>
ParseCommandLine(std::span<const std::string> aArguments)
{
  if (aArguments.empty()) {
    return UsageFault{ "a command is missing" };
  }
  const std::string& first = aArguments.front();
  if (first == kHelpFlag || first == "help") {
    return HelpText{ ListCommands("") };
  }
  if (const auto* const command = FindCommand(first)) {
    return ParseOptions(*command, aArguments.subspan(1));
  }
  if (!IsGroup(first)) {
    return UsageFault{ fmt::format("there is no command {}", first) };
  }
  if (aArguments.size() == 1) {
    return UsageFault{ fmt::format("{} needs a command after it", first) };
  }
  if (aArguments[1] == kHelpFlag) {
    return HelpText{ ListCommands(first) };
  }
  const std::string name = fmt::format("{} {}", first, aArguments[1]);
  if (const auto* const command = FindCommand(name)) {
    return ParseOptions(*command, aArguments.subspan(2));
  }
  return UsageFault{ fmt::format("there is no command {}", name) };
}

}
