#include <LibDocument/Fields.h>
#include <LibDocument/Names.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <fmt/format.h>
#include <fmt/ranges.h>

namespace zinc::detail {

namespace {

/// Words that YAML readers take for something else than text.
constexpr std::array<std::string_view, 8> kReservedWords = { "null", "true", "false", "yes",
                                                             "no",   "on",   "off",   "nan" };

bool
IsReservedWord(std::string_view aText)
{
  std::string lower(aText);
  std::ranges::transform(lower, lower.begin(), [](unsigned char aCharacter) {
    return static_cast<char>(std::tolower(aCharacter));
  });
  return std::ranges::find(kReservedWords, lower) != kReservedWords.end();
}

/// @return the text as a YAML scalar, in quotes if it could be taken for a number or a flag.
std::string
Scalar(const std::string& aText)
{
  const bool startsWithLetter =
    !aText.empty() && std::isalpha(static_cast<unsigned char>(aText.front())) != 0;
  if (startsWithLetter && !IsReservedWord(aText)) {
    return aText;
  }
  return fmt::format("\"{}\"", aText);
}

std::string
Flow(const Resources& aResources)
{
  return fmt::format("{{milli_cores: {}, memory_mib: {}, accelerators: {}, slots: {}}}",
                     aResources.milliCores,
                     aResources.memoryMiB,
                     aResources.accelerators,
                     aResources.slots);
}

std::string
Flow(const std::vector<TeamId>& aTeams)
{
  std::vector<std::string> scalars;
  for (const auto& team : aTeams) {
    scalars.push_back(Scalar(team.value));
  }
  return fmt::format("[{}]", fmt::join(scalars, ", "));
}

std::string
Flow(const ClassPolicy& aPolicy)
{
  return fmt::format("{{strategy: {}, spread: {}}}",
                     NameIn(kStrategyNames, aPolicy.strategy),
                     NameIn(kSpreadNames, aPolicy.spread));
}

std::string
Decimal(auto aNumber)
{
  return fmt::format("{}", aNumber);
}

}

ItemFields
FieldsOf(const Workspace& aWorkspace)
{
  return { { "id", Scalar(aWorkspace.id.value) } };
}

ItemFields
FieldsOf(const Team& aTeam)
{
  return { { "id", Scalar(aTeam.id.value) },
           { "workspace", Scalar(aTeam.workspace.value) },
           { "share", Decimal(aTeam.share) },
           { "limit", Flow(aTeam.limit) } };
}

ItemFields
FieldsOf(const Key& aKey)
{
  return { { "id", Scalar(aKey.id.value) },
           { "team", Scalar(aKey.team.value) },
           { "salt", Scalar(aKey.salt) },
           { "hash", Scalar(aKey.hash) } };
}

ItemFields
FieldsOf(const Queue& aQueue)
{
  ItemFields fields{ { "id", Scalar(aQueue.id.value) },
                     { "access", std::string(NameIn(kQueueAccessNames, aQueue.access)) },
                     { "teams", Flow(aQueue.teams) },
                     { "class", std::string(ToString(aQueue.workClass)) },
                     { "urgent", std::string(NameIn(kUrgencyNames, aQueue.urgency)) },
                     { "idempotent", std::string(NameIn(kIdempotenceNames, aQueue.idempotence)) },
                     { "reach", std::string(NameIn(kQueueReachNames, aQueue.reach)) } };
  if (aQueue.deadline) {
    fields.push_back({ "deadline_ms", Decimal(aQueue.deadline->count()) });
  }
  fields.push_back({ "max_queued", Decimal(aQueue.maxQueued) });
  fields.push_back({ "retry_budget", Decimal(aQueue.retryBudget) });
  fields.push_back({ "max_attempts", Decimal(aQueue.maxAttempts) });
  return fields;
}

ItemFields
FieldsOf(const PlacementPolicy& aPolicy)
{
  return { { "check", Flow(aPolicy.check) },
           { "batch", Flow(aPolicy.batch) },
           { "all_at_once", Flow(aPolicy.allAtOnce) },
           { "service", Flow(aPolicy.service) },
           { "preempt_after_ms", Decimal(aPolicy.preemptAfter.count()) },
           { "max_preemptions", Decimal(aPolicy.maxPreemptions) },
           { "max_quarantined", Decimal(aPolicy.maxQuarantined) } };
}

}
