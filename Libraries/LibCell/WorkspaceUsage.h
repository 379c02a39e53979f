#pragma once

/// @file
/// The leader's account of what a workspace uses.

#include <LibCell/JobTokens.h>
#include <LibCell/Specification.h>
#include <optional>

namespace zinc::cell {

/// What the runs of a workspace use, and what it may use.
struct WorkspaceUsage
{
  /// Resources of this leader's and adopted runs.
  Resources running;
  /// Upper bound of what a predecessor's runs use at unread workers.
  Resources unread;
  /// Resources of a predecessor's runs that were found running at workers. Ended runs are left out:
  /// the predecessor may have used their room again.
  Resources adopted;
  /// Limit in the current document, or nothing if the document does not name the workspace. An
  /// amount of 0 means no limit.
  std::optional<Resources> limit;
  /// Highest limit in the documents of this term and shortly before it.
  std::optional<Resources> highestLimit;
  /// Part of the limit that is reserved for a pending gang.
  std::optional<Resources> reservedForGang;
  /// What the steps need that wait for their records in the current placement round.
  Resources awaitingRecords;
  /// Consecutive steps in the current placement round that exceeded the limit.
  std::uint32_t attemptsBeyondLimit = 0;
  JobTokens jobTokens;
};

}
