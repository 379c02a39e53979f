#include <zincctl/Command.h>

#include <LibClient/Json.h>
#include <array>
#include <fmt/format.h>
#include <fstream>
#include <istream>
#include <iterator>
#include <json/value.h>

namespace zinc {

namespace {

/// Longest input; the servers refuse shorter ones already.
constexpr std::size_t kMaxInputBytes = 64U << 20U;

ExitCode
ExitCodeOf(const Verdict& aVerdict)
{
  if (aVerdict.code == ErrorCode::StaleVersion) {
    return ExitCode::StaleVersion;
  }
  if (aVerdict.code == ErrorCode::TaskFailed || aVerdict.run == RunState::Ran) {
    return ExitCode::TaskFailed;
  }
  return aVerdict.run == RunState::NotRun ? ExitCode::Refused : ExitCode::MayHaveRun;
}

std::optional<std::string>
ReadBounded(std::istream& aStream)
{
  std::string text;
  std::array<char, 4096> block{};
  while (aStream.read(block.data(), block.size()) || aStream.gcount() > 0) {
    text.append(block.data(), static_cast<std::size_t>(aStream.gcount()));
    if (text.size() > kMaxInputBytes) {
      return {};
    }
  }
  return text;
}

}

std::variant<ApiReply, ExitCode>
CallForReply(CommandContext& aContext, const ApiRequest& aRequest)
{
  auto result = aContext.client.Call(aRequest);
  if (IsError(result)) {
    const Verdict& verdict = ErrorOf(result);
    aContext.printer.PrintError(verdict);
    return verdict.run == RunState::NotRun ? ExitCode::Unreachable : ExitCode::MayHaveRun;
  }
  ApiReply& reply = ValueOf(result);
  if (!reply.error) {
    return std::move(reply);
  }
  const auto body = ParseJson(reply.body);
  if (body && Member(*body, "faults").isArray()) {
    aContext.printer.PrintFaults(Member(*body, "faults"));
    return ExitCode::Faulty;
  }
  aContext.printer.PrintError(*reply.error);
  return ExitCodeOf(*reply.error);
}

JsonAnswer
CallForJson(CommandContext& aContext, const ApiRequest& aRequest)
{
  auto reply = CallForReply(aContext, aRequest);
  if (std::holds_alternative<ExitCode>(reply)) {
    return std::get<ExitCode>(reply);
  }
  std::shared_ptr<const Json::Value> body = ParseJson(std::get<ApiReply>(reply).body);
  if (!body) {
    aContext.printer.PrintError(
      MayHaveRun(ErrorCode::Internal, "The answer is not JSON; is this an entry instance?"));
    return ExitCode::MayHaveRun;
  }
  return body;
}

ExitCode
UsageError(CommandContext& aContext, std::string_view aMessage)
{
  aContext.printer.PrintError(NotRun(ErrorCode::BadRequest, std::string(aMessage)));
  return ExitCode::Usage;
}

std::optional<std::string>
ReadInput(CommandContext& aContext, const std::string& aName)
{
  std::ifstream file;
  if (aName != "-") {
    file.open(aName, std::ios::binary);
    if (!file) {
      static_cast<void>(UsageError(aContext, fmt::format("Cannot read {}.", aName)));
      return {};
    }
  }
  auto text = ReadBounded(aName == "-" ? aContext.surroundings.input : file);
  if (!text) {
    static_cast<void>(UsageError(aContext, fmt::format("{} is too long.", aName)));
  }
  return text;
}

}
