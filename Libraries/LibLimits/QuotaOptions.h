#pragma once

/// @file
/// Options and counters of allowances.

#include <LibBase/Identifier.h>
#include <LibBase/Time.h>
#include <LibLimits/QuotaPolicy.h>
#include <cstdint>

namespace zinc {

/// Lets tests show what each safeguard is for; everything else uses @ref All.
enum class QuotaSafeguards : std::uint8_t
{
  All,
  /// Uses what was asked for as soon as it was asked for.
  WithoutConfirmation,
  /// Goes on using what was given up by @ref AllowanceBook::Forfeit.
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
  /// Time between reads of a row while allowance is waited for.
  Milliseconds pollInterval{ 1'000 };
  /// Time between reads of a row while some could be returned; hints make them earlier.
  Milliseconds idlePollInterval{ 4'000 };
  /// Least time between own writes to one team's row, and least mean time between the writes of
  /// all entries to it: an entry's share of these is divided by the number of holders.
  Milliseconds minWriteInterval{ 250 };
  /// Own writes to one team's row that may follow one another at the least time after a quiet time.
  double writeBurst = 4.0;
  /// Unused allowance that nobody waits for is returned after this.
  Milliseconds idleReturnDelay{ 10'000 };
  /// Waits after failures grow from the first to the second bound, with jitter.
  Milliseconds minRetryDelay{ 100 };
  Milliseconds maxRetryDelay{ 5'000 };
  QuotaSafeguards safeguards = QuotaSafeguards::All;
};

/// Counts since creation.
struct QuotaStatistics
{
  std::uint64_t reads = 0;
  /// Transactions sent, a row each, whatever their end.
  std::uint64_t writes = 0;
  std::uint64_t conflicts = 0;
  std::uint64_t lostReplies = 0;
  std::uint64_t rejectedWrites = 0;
};

}
