#include <LibLimits/QuotaPolicy.h>
#include <LibLimits/ResourceArithmetic.h>

#include <cmath>

namespace zinc {

namespace {

using detail::CombineElementwise;
using detail::ElementwiseMax;
using detail::ElementwiseMin;
using detail::IsZero;
using detail::kResourceFields;
using detail::SaturatingSubtract;

/// A team's row from the point of view of one entry instance.
struct RowView
{
  Resources limit;
  Resources own;
  /// The ungranted amount plus the own overcommitted amount, which a larger grant would cover.
  Resources available;
  Resources othersGranted;
  Resources othersUnmetDemand;
  Resources running;
  Resources demand;
};

RowView
BuildView(const TeamQuotaRow& aRow, const EntryId& aSelf, const TeamUsage& aUsage)
{
  RowView view{ .limit = aRow.limit,
                .available = aRow.Ungranted() + aRow.FindGrant(aSelf).overcommitted,
                .running = aUsage.running,
                .demand = ElementwiseMax(aUsage.running, aUsage.demand) };
  for (const Grant& grant : aRow.grants) {
    if (grant.holder == aSelf) {
      view.own = grant.amount;
      continue;
    }
    view.othersGranted += grant.amount + grant.overcommitted;
    view.othersUnmetDemand += grant.unmetDemand;
  }
  return view;
}

/// @return true if the unmet demand of others exceeds the available amount. This includes grants in
/// excess of the limit.
bool
IsContested(const RowView& aView)
{
  return !aView.othersUnmetDemand.FitsIn(aView.available);
}

Resources
ComputeQuantum(const Resources& aLimit, const QuotaPolicyOptions& aOptions)
{
  return CombineElementwise(aLimit, {}, [&](auto aAmount, auto) {
    return std::max<std::int64_t>(1, aAmount / aOptions.quantaPerLimit);
  });
}

/// @return the demand with @p aHeadroomCount times the headroom, rounded up to whole quanta.
Resources
AddHeadroom(const RowView& aView, const QuotaPolicyOptions& aOptions, double aHeadroomCount)
{
  const double factor = 1.0 + aHeadroomCount * aOptions.headroomFraction;
  const Resources rounded = CombineElementwise(
    aView.demand, ComputeQuantum(aView.limit, aOptions), [&](auto aDemand, auto aQuantum) {
      const auto increased =
        static_cast<std::int64_t>(std::ceil(static_cast<double>(aDemand) * factor));
      return (increased + aQuantum - 1) / aQuantum * aQuantum;
    });
  return ElementwiseMax(aView.demand, ElementwiseMin(rounded, aView.limit));
}

/// @return the limit times the own fraction of the total demand, but at least the next task.
Resources
ComputeFairShare(const RowView& aView, const TeamUsage& aUsage)
{
  const Resources total = aView.demand + aView.othersGranted + aView.othersUnmetDemand;
  Resources fairShare;
  for (const auto amount : kResourceFields) {
    if (total.*amount > 0) {
      const double fraction =
        static_cast<double>(aView.demand.*amount) / static_cast<double>(total.*amount);
      fairShare.*amount =
        static_cast<std::int64_t>(static_cast<double>(aView.limit.*amount) * fraction);
    }
  }
  return ElementwiseMax(fairShare, aUsage.nextTask);
}

/// @return the amount to request of the available amount in order to reach @p aTarget: at least
/// enough for the next task, else nothing; beyond that the same fraction of each amount.
Resources
PlanRequest(const RowView& aView, const TeamUsage& aUsage, const Resources& aTarget)
{
  const Resources available = ElementwiseMax(aView.available, {});
  const Resources forNextTask = SaturatingSubtract(aUsage.running + aUsage.nextTask, aView.own);
  if (!forNextTask.FitsIn(available)) {
    return {};
  }
  const Resources beyondNextTask =
    SaturatingSubtract(SaturatingSubtract(aTarget, aView.own), forNextTask);
  const Resources remaining = available - forNextTask;
  double fraction = 1.0;
  for (const auto amount : kResourceFields) {
    if (beyondNextTask.*amount > 0) {
      fraction = std::min(fraction,
                          static_cast<double>(remaining.*amount) /
                            static_cast<double>(beyondNextTask.*amount));
    }
  }
  return forNextTask + CombineElementwise(beyondNextTask, {}, [&](auto aAmount, auto) {
           return static_cast<std::int64_t>(static_cast<double>(aAmount) * fraction);
         });
}

GrantPlan
MakePlan(const RowView& aView, const Resources& aAmount)
{
  return { .amount = aAmount,
           .overcommitted = SaturatingSubtract(aView.running, aAmount),
           .unmetDemand = SaturatingSubtract(aView.demand, aAmount) };
}

GrantPlan
PlanUncontested(const RowView& aView,
                const TeamUsage& aUsage,
                const QuotaPolicyOptions& aOptions,
                QuotaRequests aRequests,
                IdleQuota aIdleQuota)
{
  const Resources demandWithHeadroom = AddHeadroom(aView, aOptions, 1.0);
  if (!aView.demand.FitsIn(aView.own)) {
    const bool mayRequest = aRequests == QuotaRequests::Allowed;
    return MakePlan(
      aView, mayRequest ? aView.own + PlanRequest(aView, aUsage, demandWithHeadroom) : aView.own);
  }
  const bool hasSurplus = !aView.own.FitsIn(AddHeadroom(aView, aOptions, 2.0));
  if (aIdleQuota == IdleQuota::Return && hasSurplus) {
    return MakePlan(aView, ElementwiseMin(aView.own, demandWithHeadroom));
  }
  return MakePlan(aView, aView.own);
}

/// @return true if some amount is a large enough fraction of the own grant. Returning a grant while
/// its tasks end then takes a number of writes that is logarithmic in the grant.
bool
IsWorthReturning(const Resources& aOwn,
                 const Resources& aReturned,
                 const QuotaPolicyOptions& aOptions)
{
  return std::ranges::any_of(kResourceFields, [&](const auto aAmount) {
    const auto minAmount = static_cast<double>(aOwn.*aAmount) * aOptions.minReturnFraction;
    return aReturned.*aAmount > 0 && static_cast<double>(aReturned.*aAmount) >= minAmount;
  });
}

/// @return true if others have not yet taken a substantial amount that is available already. More
/// would only stay unused, e.g. if the entry instance with the unmet demand is dead.
bool
HasUnclaimedQuota(const RowView& aView, const QuotaPolicyOptions& aOptions)
{
  const bool isOvercommitted = !aView.available.IsNonNegative();
  return !isOvercommitted && std::ranges::all_of(kResourceFields, [&](const auto aAmount) {
    const auto minAmount = static_cast<double>(aView.own.*aAmount) * aOptions.minReturnFraction;
    const std::int64_t available = aView.available.*aAmount;
    return aView.othersUnmetDemand.*aAmount == 0 ||
           (available > 0 && static_cast<double>(available) >= minAmount);
  });
}

GrantPlan
PlanContested(const RowView& aView,
              const TeamUsage& aUsage,
              const QuotaPolicyOptions& aOptions,
              QuotaRequests aRequests)
{
  const Resources fairShare = ElementwiseMin(aView.demand, ComputeFairShare(aView, aUsage));
  const bool canStartNextTask = (aUsage.running + aUsage.nextTask).FitsIn(aView.own);
  const Resources own = HasUnclaimedQuota(aView, aOptions)
                          ? ElementwiseMin(aView.demand, aView.own)
                          : (canStartNextTask ? fairShare : Resources{});
  const Resources retained = ElementwiseMax(aUsage.running, own);
  const Resources requested =
    aRequests == QuotaRequests::Allowed
      ? PlanRequest(aView, aUsage, ElementwiseMax(fairShare, aUsage.running + aUsage.nextTask))
      : Resources{};
  if (!IsZero(requested)) {
    return MakePlan(aView, aView.own + requested);
  }
  if (!IsWorthReturning(aView.own, SaturatingSubtract(aView.own, retained), aOptions)) {
    return MakePlan(aView, aView.own);
  }
  GrantPlan plan = MakePlan(aView, ElementwiseMin(aView.own, retained));
  plan.yieldsToOthers = true;
  return plan;
}

}

GrantPlan
PlanGrant(const TeamQuotaRow& aRow,
          const EntryId& aSelf,
          const TeamUsage& aUsage,
          const QuotaPolicyOptions& aOptions,
          QuotaRequests aRequests,
          IdleQuota aIdleQuota)
{
  const RowView view = BuildView(aRow, aSelf, aUsage);
  if (IsContested(view)) {
    return PlanContested(view, aUsage, aOptions, aRequests);
  }
  return PlanUncontested(view, aUsage, aOptions, aRequests, aIdleQuota);
}

Resources
ComputeMaxUsableQuota(const TeamQuotaRow& aRow,
                      const EntryId& aSelf,
                      const TeamUsage& aUsage,
                      const QuotaPolicyOptions& aOptions)
{
  const RowView view = BuildView(aRow, aSelf, aUsage);
  if (!IsContested(view) || HasUnclaimedQuota(view, aOptions)) {
    return ElementwiseMax(view.own, view.limit);
  }
  return ElementwiseMax(aUsage.running, ComputeFairShare(view, aUsage));
}

}
