#include <zincctl/CommandTable.h>

#include <LibClient/Json.h>
#include <array>
#include <fmt/format.h>
#include <json/value.h>

namespace zinc {

namespace {

/// A list of the interface and how it is shown.
struct ListView
{
  std::string_view target;
  /// Member of the answer that holds the list.
  std::string_view member;
  std::span<const Column> columns;
};

constexpr std::array kWorkerColumns{
  Column{ "WORKER", "id" },
  Column{ "ZONE", "zone" },
  Column{ "RACK", "rack" },
  Column{ "STATE", "state" },
  Column{ "OWNER", "owner" },
  Column{ "MILLI-CORES", "capacity.milli_cores" },
  Column{ "MIB", "capacity.memory_mib" },
  Column{ "SLOTS", "capacity.slots" },
};

constexpr std::array kQueueColumns{
  Column{ "QUEUE", "id" },
  Column{ "CLASS", "class" },
  Column{ "QUEUED", "queued" },
  Column{ "RUNNING", "running" },
};

constexpr std::array kTeamColumns{
  Column{ "TEAM", "id" },
  Column{ "WORKSPACE", "workspace" },
  Column{ "SHARE", "share" },
  Column{ "QUEUED", "queued" },
  Column{ "RUNNING MILLI-CORES", "running.milli_cores" },
  Column{ "LIMIT", "limit.milli_cores" },
  Column{ "RUNNING SLOTS", "running.slots" },
  Column{ "LIMIT", "limit.slots" },
};

constexpr std::array kEntryColumns{
  Column{ "ENTRY", "name" },
  Column{ "ZONE", "zone" },
  Column{ "STATE", "state" },
  Column{ "DOCUMENT", "document_version" },
  Column{ "QUEUED", "queued" },
  Column{ "RUNNING", "running" },
  Column{ "USED MILLI-CORES", "used.milli_cores" },
  Column{ "OF", "capacity.milli_cores" },
};

constexpr ListView kWorkers{ "/v1/workers", "workers", kWorkerColumns };
constexpr ListView kQueues{ "/v1/queues", "queues", kQueueColumns };
constexpr ListView kTeams{ "/v1/teams", "teams", kTeamColumns };
constexpr ListView kEntries{ "/v1/entries", "entries", kEntryColumns };
constexpr std::array kTopViews{ kEntries, kTeams, kQueues };

ExitCode
Show(CommandContext& aContext, const ListView& aView)
{
  const auto answer =
    CallForJson(aContext, { .target = std::string(aView.target), .repeat = Repeat::Safe });
  if (std::holds_alternative<ExitCode>(answer)) {
    return std::get<ExitCode>(answer);
  }
  const auto& body = *std::get<std::shared_ptr<const Json::Value>>(answer);
  if (aContext.printer.IsJson()) {
    aContext.printer.PrintJson(body);
  } else {
    aContext.printer.PrintTable(Member(body, aView.member), aView.columns);
  }
  return ExitCode::Success;
}

ExitCode
ShowTopOnce(CommandContext& aContext)
{
  for (const auto& view : kTopViews) {
    const ExitCode exitCode = Show(aContext, view);
    if (exitCode != ExitCode::Success) {
      return exitCode;
    }
    if (!aContext.printer.IsJson()) {
      aContext.printer.PrintText("\n");
    }
  }
  return ExitCode::Success;
}

}

ExitCode
RunWorkers(CommandContext& aContext)
{
  return Show(aContext, kWorkers);
}

ExitCode
RunQueues(CommandContext& aContext)
{
  return Show(aContext, kQueues);
}

ExitCode
RunTeams(CommandContext& aContext)
{
  return Show(aContext, kTeams);
}

ExitCode
RunEntries(CommandContext& aContext)
{
  return Show(aContext, kEntries);
}

ExitCode
RunTop(CommandContext& aContext)
{
  const std::int64_t count = aContext.arguments.Number("count");
  const Milliseconds interval(aContext.arguments.Number("interval-ms"));
  for (std::int64_t shown = 0; count == 0 || shown < count; ++shown) {
    if (shown > 0) {
      aContext.surroundings.sleep(interval);
    }
    const ExitCode exitCode = ShowTopOnce(aContext);
    if (exitCode != ExitCode::Success) {
      return exitCode;
    }
  }
  return ExitCode::Success;
}

}
