#pragma once

/// @file
/// Decides how much of a team's limit one entry asks for or returns.

#include <LibLimits/TeamQuotaRow.h>

namespace zinc {

/// What an entry has running of a team and what waits there.
struct TeamUsage
{
  Resources running;
  /// Resources of running and queued tasks.
  Resources demand;
  /// Resources of the queued task that starts next; zero if any amount is of use.
  Resources nextTask;

  friend bool operator==(const TeamUsage&, const TeamUsage&) = default;
};

/// How far grants differ from demand, to save writes.
struct QuotaPolicyOptions
{
  /// Asked for in addition to the demand, as a fraction of it.
  double headroomFraction = 0.25;
  /// Amounts asked for are multiples of this part of the limit.
  std::int64_t quantaPerLimit = 64;
  /// Least part of the own grant that is returned to others at once.
  double minReturnFraction = 0.125;
};

/// Whether the entry may ask for more now.
enum class QuotaRequests : std::uint8_t
{
  Allowed,
  /// It has just returned something for others.
  Paused,
};

/// Whether unused allowance that nobody waits for is returned.
enum class IdleQuota : std::uint8_t
{
  Keep,
  Return,
};

/// The entry's next grant.
struct GrantPlan
{
  Resources amount;
  Resources overcommitted;
  Resources unmetDemand;
  /// Something is returned because others wait for it.
  bool yieldsToOthers = false;
};

/// Pure. While nobody else waits, an entry is granted its demand with some headroom. While others
/// wait, it keeps what runs and otherwise at most the part of the limit that its demand is of the
/// whole demand. What cannot start the next task is not held on to, so that entries with a part of
/// a task each do not block one another.
[[nodiscard]] GrantPlan
PlanGrant(const TeamQuotaRow& aRow,
          const EntryId& aSelf,
          const TeamUsage& aUsage,
          const QuotaPolicyOptions& aOptions,
          QuotaRequests aRequests,
          IdleQuota aIdleQuota);

/// @return what the entry uses of its grant at most: while others wait, no more than its part of
/// the limit is started, so that what ends can be returned.
[[nodiscard]] Resources
MaxUsableQuota(const TeamQuotaRow& aRow,
               const EntryId& aSelf,
               const TeamUsage& aUsage,
               const QuotaPolicyOptions& aOptions);

}
