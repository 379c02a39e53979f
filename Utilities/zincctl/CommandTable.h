#pragma once

/// @file
/// Every command of zincctl.

#include <span>
#include <string_view>
#include <zincctl/Command.h>

namespace zinc {

/// @return all commands in the order of their help.
[[nodiscard]] std::span<const CommandDescription>
CommandTable();

ExitCode
RunSubmit(CommandContext& aContext);
ExitCode
RunStatus(CommandContext& aContext);
ExitCode
RunWait(CommandContext& aContext);
ExitCode
RunCancel(CommandContext& aContext);

ExitCode
RunDeclareValidate(CommandContext& aContext);
ExitCode
RunDeclarePlan(CommandContext& aContext);
ExitCode
RunDeclareApply(CommandContext& aContext);
ExitCode
RunDeclareShow(CommandContext& aContext);
ExitCode
RunDeclareHistory(CommandContext& aContext);

ExitCode
RunKeysGrant(CommandContext& aContext);
ExitCode
RunKeysWithdraw(CommandContext& aContext);
ExitCode
RunKeysNewOperator(CommandContext& aContext);

ExitCode
RunWorkers(CommandContext& aContext);
ExitCode
RunQueues(CommandContext& aContext);
ExitCode
RunTeams(CommandContext& aContext);
ExitCode
RunEntries(CommandContext& aContext);
ExitCode
RunTop(CommandContext& aContext);

ExitCode
RunCompletionBash(CommandContext& aContext);

}
