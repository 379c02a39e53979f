#pragma once

/// @file
/// Options of the ledger.

#include <LibBase/Identifier.h>
#include <LibBase/Time.h>
#include <cstddef>
#include <cstdint>

namespace zinc {

/// Lets tests show what each safeguard is for; everything else uses @ref All.
enum class LedgerSafeguards : std::uint8_t
{
  All,
  /// Takes every row that stands at a wanted sequence number for another writer's.
  WithoutBatchIdentity,
  /// Applies attempts of superseded drivers.
  WithoutEpochCheck,
  /// Appends without the condition that the log's base is unchanged.
  WithoutBaseCondition,
  /// After a lost reply, reports records as not run when their row is absent.
  WithoutResend,
};

/// Fixed at creation.
struct LedgerOptions
{
  EntryId self;
  /// Availability zone whose jobs this entry may drive.
  ZoneId zone;
  std::uint32_t shardCount = 64;
  /// Seed of job and batch identifiers and of the backoff's jitter; unlike on every process.
  std::uint64_t seed = 1;
  /// Records wait this long for others to share their row.
  Milliseconds flushInterval{ 20 };
  /// Largest value of a row.
  std::size_t maxRowBytes = 256UL * 1024UL;
  /// Most records that wait in one shard.
  std::size_t maxPending = 20'000;
  /// A record that is not durable after this is answered with a verdict.
  Milliseconds appendTimeout{ 5'000 };
  /// Waits after failures grow from the first to the second bound, with jitter.
  Milliseconds minBackoff{ 50 };
  Milliseconds maxBackoff{ 3'000 };
  /// Rows after which the driver stores a snapshot.
  std::size_t rowsPerSnapshot = 512;
  /// Rows deleted by one transaction.
  std::size_t rowsPerDeletion = 32;
  /// Ended jobs are kept this long.
  Milliseconds retention{ std::chrono::hours(24) };
  LedgerSafeguards safeguards = LedgerSafeguards::All;
};

}
