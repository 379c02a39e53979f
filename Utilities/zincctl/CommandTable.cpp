#include <zincctl/CommandTable.h>

#include <array>

namespace zinc {

namespace {

using enum OptionKind;

constexpr OptionDescription kQueueOption{ "queue", "Queue of the job; needed for open queues" };
constexpr OptionDescription kForOption{ "for-ms", "Longest wait in ms", Integer, "600000" };

constexpr std::array kSubmitOptions{
  OptionDescription{ "queue", "Queue to submit to" },
  OptionDescription{ "request-id", "Own id of the request; generated if absent" },
  OptionDescription{ "tasks", "Tasks that start together or not at all", Integer, "1" },
  OptionDescription{ "milli-cores", "Thousandths of a core for each task", Integer, "1000" },
  OptionDescription{ "memory-mib", "Memory for each task in MiB", Integer, "256" },
  OptionDescription{ "accelerators", "Accelerators for each task", Integer, "0" },
  OptionDescription{ "slots", "Slots for each task", Integer, "1" },
  OptionDescription{ "expected-run-ms", "Expected run time in ms", Integer },
  OptionDescription{ "deadline-ms", "Longest wait for the start in ms", Integer },
  OptionDescription{ "payload", "Payload for the worker" },
  OptionDescription{ "payload-file", "File with the payload; - for standard input" },
  OptionDescription{ "wait", "Wait for the end of the job", Flag },
  kForOption,
};

constexpr std::array kStatusOptions{ kQueueOption };
constexpr std::array kWaitOptions{ kQueueOption, kForOption };
constexpr std::array kCancelOptions{
  kQueueOption,
  OptionDescription{ "for-ms", "Longest wait for the end in ms", Integer, "10000" },
};

constexpr std::array kApplyOptions{
  OptionDescription{ "if-version",
                     "Version that the document replaces; the one in force if absent",
                     Integer },
  OptionDescription{ "withdraw-keys", "Withdraw the keys that the document leaves out", Flag },
};

constexpr std::array kNewOperatorOptions{
  OptionDescription{ "id", "Id of the operator's key; generated if absent" },
};

constexpr std::array kTopOptions{
  OptionDescription{ "interval-ms", "Time between two views in ms", Integer, "2000" },
  OptionDescription{ "count", "Number of views; 0 for no end", Integer, "0" },
};

constexpr std::array kCommands{
  CommandDescription{ "submit", "Submit a job", "", kSubmitOptions, RunSubmit },
  CommandDescription{ "status", "Show a job", "REQUEST_ID", kStatusOptions, RunStatus },
  CommandDescription{ "wait", "Wait for the end of a job", "REQUEST_ID", kWaitOptions, RunWait },
  CommandDescription{ "cancel", "Cancel a job", "REQUEST_ID", kCancelOptions, RunCancel },
  CommandDescription{ "declare validate",
                      "Check a document without the cell",
                      "FILE",
                      {},
                      RunDeclareValidate },
  CommandDescription{ "declare plan",
                      "Show what a document would change",
                      "FILE",
                      {},
                      RunDeclarePlan },
  CommandDescription{ "declare apply",
                      "Put a document in force",
                      "FILE",
                      kApplyOptions,
                      RunDeclareApply },
  CommandDescription{ "declare show", "Print the document in force", "", {}, RunDeclareShow },
  CommandDescription{ "declare history", "List accepted versions", "", {}, RunDeclareHistory },
  CommandDescription{ "keys grant", "Make a key for a team", "TEAM", {}, RunKeysGrant },
  CommandDescription{ "keys withdraw", "Withdraw a key", "KEY_ID", {}, RunKeysWithdraw },
  CommandDescription{ "keys new-operator",
                      "Make an operator's key for the settings of entry instances",
                      "",
                      kNewOperatorOptions,
                      RunKeysNewOperator },
  CommandDescription{ "workers", "List workers", "", {}, RunWorkers },
  CommandDescription{ "queues", "List queues", "", {}, RunQueues },
  CommandDescription{ "teams", "List teams", "", {}, RunTeams },
  CommandDescription{ "entries", "List entry instances", "", {}, RunEntries },
  CommandDescription{ "top",
                      "Show entries, teams and queues again and again",
                      "",
                      kTopOptions,
                      RunTop },
  CommandDescription{ "completion bash", "Print completions for bash", "", {}, RunCompletionBash },
};

}

std::span<const CommandDescription>
CommandTable()
{
  return kCommands;
}

}
