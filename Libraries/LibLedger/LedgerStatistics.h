#pragma once

/// @file
/// Counters of the ledger.

#include <cstdint>

namespace zinc {

/// Counts since creation.
struct LedgerStatistics
{
  /// Transactions sent, whatever their end.
  std::uint64_t commits = 0;
  /// Rows written by transactions that were answered as committed.
  std::uint64_t rowsWritten = 0;
  std::uint64_t rowsDeleted = 0;
  std::uint64_t bytesWritten = 0;
  std::uint64_t recordsAppended = 0;
  /// Appends that found another row in their place.
  std::uint64_t conflicts = 0;
  std::uint64_t lostReplies = 0;
  /// Transactions that were certainly not executed.
  std::uint64_t refusals = 0;
  /// Reads and lists sent.
  std::uint64_t reads = 0;
  std::uint64_t snapshots = 0;
  std::uint64_t reloads = 0;
};

}
