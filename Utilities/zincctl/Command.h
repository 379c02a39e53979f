#pragma once

/// @file
/// What a command is given and how it reports failures.

#include <LibClient/ApiClient.h>
#include <functional>
#include <iosfwd>
#include <json/forwards.h>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <zincctl/ExitCode.h>
#include <zincctl/Printer.h>

namespace zinc {

/// The surroundings of the process; tests give their own.
struct Surroundings
{
  std::istream& input;
  std::ostream& output;
  std::ostream& error;
  /// Environment variables as "NAME=value", ending with a null pointer.
  const char* const* variables;
  HttpTransport& transport;
  const Clock& clock;
  std::function<void(Milliseconds)> sleep;
};

/// How the value of an option is read.
enum class OptionKind : std::uint8_t
{
  Text,
  /// An integer from 0 up.
  Integer,
  Flag,
};

/// An option of one command.
struct OptionDescription
{
  std::string_view name;
  std::string_view summary;
  OptionKind kind = OptionKind::Text;
  /// Empty if the option has none.
  std::string_view defaultValue;
};

/// The values given to a command.
class Arguments
{
public:
  virtual ~Arguments() = default;

  /// @return the positional argument; empty if the command takes none.
  [[nodiscard]] virtual std::string Positional() const = 0;
  /// @return true if the option was given.
  [[nodiscard]] virtual bool Has(std::string_view aName) const = 0;
  [[nodiscard]] virtual std::string Text(std::string_view aName) const = 0;
  [[nodiscard]] virtual std::int64_t Number(std::string_view aName) const = 0;
};

/// Everything that a running command uses.
struct CommandContext
{
  const Arguments& arguments;
  ApiClient& client;
  Printer& printer;
  Surroundings& surroundings;
};

/// One command of the program.
struct CommandDescription
{
  /// One or two words, e.g. "declare plan".
  std::string_view name;
  std::string_view summary;
  /// Name of the positional argument; empty if there is none.
  std::string_view positional;
  std::span<const OptionDescription> options;
  ExitCode (*run)(CommandContext&) = nullptr;
};

/// A JSON answer, or the exit code after its error was printed.
using JsonAnswer = std::variant<std::shared_ptr<const Json::Value>, ExitCode>;

/// Sends a call and prints its error if it fails.
[[nodiscard]] JsonAnswer
CallForJson(CommandContext& aContext, const ApiRequest& aRequest);

/// Sends a call and prints its error if it fails.
[[nodiscard]] std::variant<ApiReply, ExitCode>
CallForReply(CommandContext& aContext, const ApiRequest& aRequest);

/// Prints that the command line is wrong.
[[nodiscard]] ExitCode
UsageError(CommandContext& aContext, std::string_view aMessage);

/// Reads a file, or standard input for "-".
/// @return empty after an error was printed.
[[nodiscard]] std::optional<std::string>
ReadInput(CommandContext& aContext, const std::string& aName);

}
