#include <zincctl/Run.h>

#include <LibSettings/ClientSettings.h>
#include <fmt/format.h>
#include <fstream>
#include <iterator>
#include <ostream>
#include <zincctl/CommandLine.h>

namespace zinc {

namespace {

constexpr std::string_view kVariablePrefix = "ZINC_";
constexpr std::string_view kNoSettings = "{}";

std::optional<std::string>
Variable(const char* const* aVariables, std::string_view aName)
{
  for (; *aVariables != nullptr; ++aVariables) {
    const std::string_view variable(*aVariables);
    if (variable.starts_with(aName) && variable.substr(aName.size()).starts_with('=')) {
      return std::string(variable.substr(aName.size() + 1));
    }
  }
  return {};
}

std::optional<std::string>
FileText(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  if (!file) {
    return {};
  }
  return std::string{ std::istreambuf_iterator<char>(file), {} };
}

/// @return the text of the settings file; a file that was not named may be absent.
std::optional<std::string>
SettingsText(const ParsedCommand& aParsed, const char* const* aVariables)
{
  const std::string named = aParsed.settingsFile.empty()
                              ? Variable(aVariables, "ZINC_CONFIG").value_or("")
                              : aParsed.settingsFile;
  if (!named.empty()) {
    return FileText(named);
  }
  const auto home = Variable(aVariables, "HOME");
  const auto standard = home ? FileText(*home + "/.config/zincctl.yaml") : std::nullopt;
  return standard.value_or(std::string(kNoSettings));
}

std::variant<ClientSettings, Faults>
SettingsOf(const ParsedCommand& aParsed, const char* const* aVariables)
{
  const auto text = SettingsText(aParsed, aVariables);
  if (!text) {
    return Faults{ { .path = aParsed.settingsFile,
                     .message = "the settings file cannot be read",
                     .expected = "a readable file" } };
  }
  auto overrides = OverridesFromEnvironment(
    ClientSettingDescriptions(), kVariablePrefix, aVariables, UnknownVariables::Ignore);
  overrides.insert(overrides.end(), aParsed.settings.begin(), aParsed.settings.end());
  return LoadClientSettings(*text, overrides);
}

ExitCode
RunCommand(const ParsedCommand& aParsed,
           const ClientSettings& aSettings,
           Surroundings& aSurroundings)
{
  Printer printer(aSettings.output, aSurroundings.output, aSurroundings.error);
  ApiClient client({ .entries = aSettings.entries,
                     .teamKey = aSettings.key,
                     .operatorKey = aSettings.operatorKey,
                     .timeout = aSettings.timeout },
                   aSurroundings.transport);
  CommandContext context{ .arguments = *aParsed.arguments,
                          .client = client,
                          .printer = printer,
                          .surroundings = aSurroundings };
  return aParsed.command->run(context);
}

}

ExitCode
RunZincctl(std::span<const std::string> aArguments, Surroundings& aSurroundings)
{
  const auto parsed = ParseCommandLine(aArguments);
  if (const auto* const help = std::get_if<HelpText>(&parsed)) {
    aSurroundings.output << help->text;
    return ExitCode::Success;
  }
  if (const auto* const fault = std::get_if<UsageFault>(&parsed)) {
    aSurroundings.error << fmt::format("error: {}; see zincctl --help\n", fault->message);
    return ExitCode::Usage;
  }
  const auto& command = std::get<ParsedCommand>(parsed);
  const auto settings = SettingsOf(command, aSurroundings.variables);
  if (const auto* const faults = std::get_if<Faults>(&settings)) {
    Printer(OutputFormat::Text, aSurroundings.output, aSurroundings.error).PrintFaults(*faults);
    return ExitCode::Usage;
  }
  return RunCommand(command, std::get<ClientSettings>(settings), aSurroundings);
}

}
