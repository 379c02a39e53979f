#include <zincctl/CommandTable.h>

#include <LibClient/Json.h>
#include <LibDocument/Parser.h>
#include <array>
#include <fmt/format.h>
#include <json/value.h>

namespace zinc {

namespace {

constexpr std::string_view kYamlType = "application/yaml";
constexpr std::string_view kDocumentTarget = "/v1/document";

constexpr std::array kVersionColumns{
  Column{ "VERSION", "version" },
  Column{ "ACCEPTED BY", "accepted_by" },
};

ApiRequest
PlanRequest(std::string aYaml)
{
  return { .method = HttpMethod::Post,
           .target = fmt::format("{}/plan", kDocumentTarget),
           .repeat = Repeat::Safe,
           .body = std::move(aYaml),
           .contentType = std::string(kYamlType) };
}

/// Asks what a document would change and prints its faults if it has any.
JsonAnswer
Plan(CommandContext& aContext, const std::string& aYaml)
{
  auto answer = CallForJson(aContext, PlanRequest(aYaml));
  if (std::holds_alternative<ExitCode>(answer)) {
    return answer;
  }
  const auto& plan = *std::get<std::shared_ptr<const Json::Value>>(answer);
  const Json::Value& valid = Member(plan, "valid");
  if (!valid.isBool() || !valid.asBool()) {
    aContext.printer.PrintFaults(Member(plan, "faults"));
    return ExitCode::Faulty;
  }
  return answer;
}

void
PrintChange(Printer& aPrinter, const Json::Value& aChange)
{
  const std::string path = TextOf(Member(aChange, "path"));
  const std::string before = TextOf(Member(aChange, "before"));
  const std::string after = TextOf(Member(aChange, "after"));
  const std::string kind = TextOf(Member(aChange, "kind"));
  if (kind == "added") {
    aPrinter.PrintText(fmt::format("+ {}: {}\n", path, after));
  } else if (kind == "removed") {
    aPrinter.PrintText(fmt::format("- {}: {}\n", path, before));
  } else {
    aPrinter.PrintText(fmt::format("~ {}: {} -> {}\n", path, before, after));
  }
}

void
PrintPlan(Printer& aPrinter, const Json::Value& aPlan)
{
  const Json::Value& changes = Member(aPlan, "changes");
  aPrinter.PrintText(fmt::format("against version {}:\n", TextOf(Member(aPlan, "base_version"))));
  if (!changes.isArray() || changes.empty()) {
    aPrinter.PrintText("no changes\n");
    return;
  }
  for (const auto& change : changes) {
    PrintChange(aPrinter, change);
  }
}

bool
HasChanges(const Json::Value& aPlan)
{
  const Json::Value& changes = Member(aPlan, "changes");
  return changes.isArray() && !changes.empty();
}

/// @return the number of keys that the plan would withdraw.
std::size_t
WithdrawnKeys(const Json::Value& aPlan)
{
  std::size_t count = 0;
  for (const auto& change : Member(aPlan, "changes")) {
    const bool isKey = TextOf(Member(change, "path")).starts_with("keys/");
    count += isKey && TextOf(Member(change, "kind")) == "removed" ? 1 : 0;
  }
  return count;
}

/// Refuses a plan that withdraws keys unless that was asked for: a file written before a key was
/// granted does not list it.
std::optional<ExitCode>
RefuseWithdrawals(CommandContext& aContext, const Json::Value& aPlan)
{
  const std::size_t count = WithdrawnKeys(aPlan);
  if (count == 0 || aContext.arguments.Has("withdraw-keys")) {
    return {};
  }
  aContext.printer.PrintError(
    NotRun(ErrorCode::Conflict,
           fmt::format("The document leaves out {} granted keys, which would withdraw them; take "
                       "them over from declare show, or give --withdraw-keys.",
                       count)));
  return ExitCode::Refused;
}

void
PrintAcceptance(Printer& aPrinter, const Json::Value& aAcceptance)
{
  aPrinter.PrintText(fmt::format("version {} accepted\n", TextOf(Member(aAcceptance, "version"))));
  const Json::Value& zones = Member(aAcceptance, "zones");
  for (const auto& zone : zones) {
    const Json::Value& confirmed = Member(zone, "confirmed");
    const bool inForce = confirmed.isBool() && confirmed.asBool();
    aPrinter.PrintText(fmt::format("zone {}: {}\n",
                                   TextOf(Member(zone, "zone")),
                                   inForce ? "in force" : "has not confirmed yet"));
  }
}

ExitCode
Accept(CommandContext& aContext, std::string aYaml, std::string aExpectedVersion)
{
  const auto answer = CallForJson(aContext,
                                  { .method = HttpMethod::Put,
                                    .target = std::string(kDocumentTarget),
                                    .body = std::move(aYaml),
                                    .contentType = std::string(kYamlType),
                                    .expectedVersion = std::move(aExpectedVersion) });
  if (std::holds_alternative<ExitCode>(answer)) {
    return std::get<ExitCode>(answer);
  }
  const auto& acceptance = *std::get<std::shared_ptr<const Json::Value>>(answer);
  if (aContext.printer.IsJson()) {
    aContext.printer.PrintJson(acceptance);
  } else {
    PrintAcceptance(aContext.printer, acceptance);
  }
  return ExitCode::Success;
}

}

ExitCode
RunDeclareValidate(CommandContext& aContext)
{
  const auto yaml = ReadInput(aContext, aContext.arguments.Positional());
  if (!yaml) {
    return ExitCode::Usage;
  }
  const auto parsed = ParseDocument(*yaml);
  if (const auto* const faults = std::get_if<Faults>(&parsed)) {
    aContext.printer.PrintFaults(*faults);
    return ExitCode::Faulty;
  }
  aContext.printer.PrintText(aContext.printer.IsJson() ? "{\"faults\":[],\"valid\":true}\n"
                                                       : "valid\n");
  return ExitCode::Success;
}

ExitCode
RunDeclarePlan(CommandContext& aContext)
{
  const auto yaml = ReadInput(aContext, aContext.arguments.Positional());
  if (!yaml) {
    return ExitCode::Usage;
  }
  const auto answer = Plan(aContext, *yaml);
  if (std::holds_alternative<ExitCode>(answer)) {
    return std::get<ExitCode>(answer);
  }
  const auto& plan = *std::get<std::shared_ptr<const Json::Value>>(answer);
  if (aContext.printer.IsJson()) {
    aContext.printer.PrintJson(plan);
  } else {
    PrintPlan(aContext.printer, plan);
  }
  return ExitCode::Success;
}

ExitCode
RunDeclareApply(CommandContext& aContext)
{
  const auto yaml = ReadInput(aContext, aContext.arguments.Positional());
  if (!yaml) {
    return ExitCode::Usage;
  }
  const auto answer = Plan(aContext, *yaml);
  if (std::holds_alternative<ExitCode>(answer)) {
    return std::get<ExitCode>(answer);
  }
  const auto& plan = *std::get<std::shared_ptr<const Json::Value>>(answer);
  const bool versionGiven = aContext.arguments.Has("if-version");
  if (!versionGiven && !HasChanges(plan)) {
    if (aContext.printer.IsJson()) {
      aContext.printer.PrintJson(plan);
    } else {
      PrintPlan(aContext.printer, plan);
    }
    return ExitCode::Success;
  }
  if (!aContext.printer.IsJson()) {
    PrintPlan(aContext.printer, plan);
  }
  if (const auto refused = RefuseWithdrawals(aContext, plan)) {
    return *refused;
  }
  const std::string expected = versionGiven
                                 ? fmt::format("{}", aContext.arguments.Number("if-version"))
                                 : TextOf(Member(plan, "base_version"));
  return Accept(aContext, *yaml, expected);
}

ExitCode
RunDeclareShow(CommandContext& aContext)
{
  const auto reply =
    CallForReply(aContext, { .target = std::string(kDocumentTarget), .repeat = Repeat::Safe });
  if (std::holds_alternative<ExitCode>(reply)) {
    return std::get<ExitCode>(reply);
  }
  const auto& document = std::get<ApiReply>(reply);
  if (aContext.printer.IsJson()) {
    Json::Value body;
    body["version"] = document.entityTag;
    body["document"] = document.body;
    aContext.printer.PrintJson(body);
    return ExitCode::Success;
  }
  aContext.printer.PrintRemark(fmt::format("version {}", document.entityTag));
  aContext.printer.PrintText(document.body);
  return ExitCode::Success;
}

ExitCode
RunDeclareHistory(CommandContext& aContext)
{
  const auto answer = CallForJson(
    aContext, { .target = fmt::format("{}/history", kDocumentTarget), .repeat = Repeat::Safe });
  if (std::holds_alternative<ExitCode>(answer)) {
    return std::get<ExitCode>(answer);
  }
  const auto& history = *std::get<std::shared_ptr<const Json::Value>>(answer);
  if (aContext.printer.IsJson()) {
    aContext.printer.PrintJson(history);
  } else {
    aContext.printer.PrintTable(Member(history, "versions"), kVersionColumns);
  }
  return ExitCode::Success;
}

}
