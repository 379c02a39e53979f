#pragma once

/// @file
/// Decides how much of a team's limit one entry instance requests or returns.

#include <LibLimits/TeamQuotaRow.h>

namespace zinc {

/// What one entry instance has running and queued of a team.
struct TeamUsage
{
  Resources running;
  /// Running and queued tasks together.
  Resources demand;
  /// The queued task that starts next; zero if grants of any size are useful.
  Resources nextTask;

  friend bool operator==(const TeamUsage&, const TeamUsage&) = default;
};

/// Allowed difference between grant and demand; a larger one saves writes.
struct QuotaPolicyOptions
{
  /// Requested in addition to the demand, as a fraction of the demand.
  double headroomFraction = 0.25;
  /// Requests are rounded up to multiples of the limit divided by this number.
  std::int64_t quantaPerLimit = 64;
  /// Minimum fraction of the own grant that one write returns to others.
  double minReturnFraction = 0.125;
};

/// Whether the entry instance may request more quota now.
enum class QuotaRequests : std::uint8_t
{
  Allowed,
  /// It has just returned quota that others need.
  Paused,
};

/// What happens to unused quota that no other entry instance needs.
enum class IdleQuota : std::uint8_t
{
  Keep,
  Return,
};

/// The next state of the entry instance's grant; see @ref Grant.
struct GrantPlan
{
  Resources amount;
  Resources overcommitted;
  Resources unmetDemand;
  /// True if the plan returns quota because others need it.
  bool yieldsToOthers = false;
};

/// Plans the next grant of one entry instance. Pure function. While no other has unmet demand, the
/// grant covers the demand and some headroom. While others have, the grant covers the running tasks
/// and otherwise at most a fair share: the limit times the own fraction of the total demand. A
/// grant too small to start the next task is returned; otherwise entry instances that each hold a
/// fraction of a task's amount would block one another.
[[nodiscard]] GrantPlan
PlanGrant(const TeamQuotaRow& aRow,
          const EntryId& aSelf,
          const TeamUsage& aUsage,
          const QuotaPolicyOptions& aOptions,
          QuotaRequests aRequests,
          IdleQuota aIdleQuota);

/// @return an upper bound of the usable quota. While others have unmet demand it is the fair share,
/// or what runs if that is more, so that the amounts of tasks that end are not used again but
/// returned.
[[nodiscard]] Resources
ComputeMaxUsableQuota(const TeamQuotaRow& aRow,
                      const EntryId& aSelf,
                      const TeamUsage& aUsage,
                      const QuotaPolicyOptions& aOptions);

}
