#include <zincctl/CommandTable.h>

#include <LibClient/Json.h>
#include <LibDocument/KeyVerifier.h>
#include <array>
#include <fmt/format.h>
#include <json/value.h>

namespace zinc {

namespace {

constexpr std::array kGrantMembers{ Column{ "key", "key" }, Column{ "version", "version" } };
constexpr std::array kWithdrawMembers{ Column{ "version", "version" } };

constexpr std::array kZoneColumns{
  Column{ "ZONE", "zone" },
  Column{ "CONFIRMED", "confirmed" },
};

}

ExitCode
RunKeysGrant(CommandContext& aContext)
{
  Json::Value body;
  body["team"] = aContext.arguments.Positional();
  const auto answer = CallForJson(
    aContext, { .method = HttpMethod::Post, .target = "/v1/keys", .body = JsonText(body) });
  if (std::holds_alternative<ExitCode>(answer)) {
    return std::get<ExitCode>(answer);
  }
  aContext.printer.PrintObject(*std::get<std::shared_ptr<const Json::Value>>(answer),
                               kGrantMembers);
  return ExitCode::Success;
}

ExitCode
RunKeysWithdraw(CommandContext& aContext)
{
  const auto answer = CallForJson(
    aContext,
    { .method = HttpMethod::Delete,
      .target = fmt::format("/v1/keys/{}", PercentEncode(aContext.arguments.Positional())) });
  if (std::holds_alternative<ExitCode>(answer)) {
    return std::get<ExitCode>(answer);
  }
  const auto& withdrawal = *std::get<std::shared_ptr<const Json::Value>>(answer);
  aContext.printer.PrintObject(withdrawal, kWithdrawMembers);
  if (!aContext.printer.IsJson()) {
    aContext.printer.PrintTable(Member(withdrawal, "zones"), kZoneColumns);
  }
  return ExitCode::Success;
}

ExitCode
RunKeysNewOperator(CommandContext& aContext)
{
  auto result = GenerateKey({});
  if (IsError(result)) {
    aContext.printer.PrintError(ErrorOf(result));
    return ExitCode::Refused;
  }
  const GeneratedKey& generated = ValueOf(result);
  const std::string id =
    aContext.arguments.Has("id") ? aContext.arguments.Text("id") : generated.key.id.value;
  const std::string presented =
    fmt::format("{}.{}", id, SplitPresentedKey(generated.presented).secret);
  if (aContext.printer.IsJson()) {
    Json::Value body;
    body["key"] = presented;
    body["id"] = id;
    body["salt"] = generated.key.salt;
    body["hash"] = generated.key.hash;
    aContext.printer.PrintJson(body);
    return ExitCode::Success;
  }
  aContext.printer.PrintRemark(fmt::format("key, shown once: {}", presented));
  aContext.printer.PrintText(
    fmt::format("operators:\n  - id: \"{}\"\n    salt: \"{}\"\n    hash: \"{}\"\n",
                id,
                generated.key.salt,
                generated.key.hash));
  return ExitCode::Success;
}

}
