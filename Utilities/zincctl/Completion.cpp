#include <zincctl/CommandTable.h>

#include <LibSettings/ClientSettings.h>
#include <algorithm>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <string>
#include <vector>

namespace zinc {

namespace {

std::string_view
FirstWord(std::string_view aName)
{
  return aName.substr(0, aName.find(' '));
}

std::string
OptionWords(const CommandDescription& aCommand)
{
  std::vector<std::string> words = { "--help", "--config" };
  for (const auto& option : aCommand.options) {
    words.push_back(fmt::format("--{}", option.name));
  }
  for (const auto& setting : ClientSettingDescriptions()) {
    words.push_back(fmt::format("--{}", FlagName(setting.path)));
  }
  return fmt::format("{}", fmt::join(words, " "));
}

std::vector<std::string>
FirstWords()
{
  std::vector<std::string> words;
  for (const auto& command : CommandTable()) {
    const std::string word(FirstWord(command.name));
    if (std::ranges::find(words, word) == words.end()) {
      words.push_back(word);
    }
  }
  return words;
}

std::vector<std::string>
SecondWords(std::string_view aGroup)
{
  std::vector<std::string> words;
  for (const auto& command : CommandTable()) {
    if (FirstWord(command.name) == aGroup && command.name.size() > aGroup.size()) {
      words.emplace_back(command.name.substr(aGroup.size() + 1));
    }
  }
  return words;
}

/// @return the words offered after each line, as branches of a shell's case statement.
std::string
CaseBranches()
{
  std::string branches =
    fmt::format("    \"\") words=\"{} --help\" ;;\n", fmt::join(FirstWords(), " "));
  for (const auto& group : FirstWords()) {
    const auto seconds = SecondWords(group);
    if (!seconds.empty()) {
      branches +=
        fmt::format("    \"{}\") words=\"{} --help\" ;;\n", group, fmt::join(seconds, " "));
    }
  }
  for (const auto& command : CommandTable()) {
    branches += fmt::format("    \"{}\"*) words=\"{}\" ;;\n", command.name, OptionWords(command));
  }
  return branches;
}

}

ExitCode
RunCompletionBash(CommandContext& aContext)
{
  aContext.printer.PrintText(fmt::format(R"(_zincctl() {{
  local current="${{COMP_WORDS[COMP_CWORD]}}" words=""
  case "${{COMP_WORDS[*]:1:COMP_CWORD-1}}" in
{}  esac
  COMPREPLY=($(compgen -W "$words" -- "$current"))
}}
complete -o default -F _zincctl zincctl
)",
                                         CaseBranches()));
  return ExitCode::Success;
}

}
