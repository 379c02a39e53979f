#pragma once

/// @file
/// Options and counters of @ref zinc::QuotaManager.

#include <LibBase/Identifier.h>
#include <LibBase/Time.h>
#include <LibLimits/QuotaPolicy.h>
#include <cstdint>

namespace zinc {

/// Disables one safeguard in a test, to show which failure it prevents. Production code uses
/// @ref All.
enum class QuotaSafeguards : std::uint8_t
{
  All,
  /// Uses a requested amount before the table has confirmed the write.
  WithoutConfirmation,
  /// Ignores @ref QuotaManager::Forfeit and keeps using the forfeited amounts.
  WithoutForfeit,
  /// Writes without the condition that the row is unchanged.
  WithoutCondition,
};

/// Fixed at creation.
struct QuotaOptions
{
  EntryId self;
  /// Seed of the jitter.
  std::uint64_t seed = 1;
  QuotaPolicyOptions policy;
  /// Time between reads of a row while this entry instance needs more quota.
  Milliseconds pollInterval{ 1'000 };
  /// Time between reads of a row while this entry instance holds quota that it could return. A hint
  /// causes an earlier read.
  Milliseconds idlePollInterval{ 4'000 };
  /// Minimum time between this entry instance's writes to one row. It is also the minimum mean time
  /// between the writes of all holders to that row, each of which gets an equal share of the rate.
  Milliseconds minWriteInterval{ 250 };
  /// Number of writes to one row that this entry instance may make at @ref minWriteInterval before
  /// the mean rate applies.
  double writeBurst = 4.0;
  /// Time for which a surplus is kept before it is returned although no other entry instance needs
  /// it.
  Milliseconds idleReturnDelay{ 10'000 };
  /// The retry delay doubles with every consecutive failure from the minimum to the maximum, with
  /// jitter.
  Milliseconds minRetryDelay{ 100 };
  Milliseconds maxRetryDelay{ 5'000 };
  QuotaSafeguards safeguards = QuotaSafeguards::All;
};

/// Counts since creation.
struct QuotaStatistics
{
  /// Reads of a row and listings of all rows.
  std::uint64_t reads = 0;
  /// Transactions sent, of one row each, whatever their outcome.
  std::uint64_t writes = 0;
  /// Writes that failed because the row had changed.
  std::uint64_t conflicts = 0;
  /// Writes whose outcome is unknown.
  std::uint64_t lostReplies = 0;
  /// Writes that the table certainly did not execute.
  std::uint64_t rejectedWrites = 0;
};

}
