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

/// The row as one entry sees it.
struct View
{
  Resources limit;
  Resources own;
  /// What the entry may take, including what it has running uncovered.
  Resources free;
  Resources othersGranted;
  Resources othersUnmetDemand;
  Resources running;
  Resources demand;
};

View
BuildView(const TeamQuotaRow& aRow, const EntryId& aSelf, const TeamUsage& aUsage)
{
  View view{ .limit = aRow.limit,
             .free = aRow.Ungranted() + aRow.FindGrant(aSelf).overcommitted,
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

/// @return true if others wait for more than is free, or more is granted than the limit.
bool
IsContested(const View& aView)
{
  return !aView.othersUnmetDemand.FitsIn(aView.free);
}

Resources
ComputeQuantum(const Resources& aLimit, const QuotaPolicyOptions& aOptions)
{
  return CombineElementwise(aLimit, {}, [&](auto aAmount, auto) {
    return std::max<std::int64_t>(1, aAmount / aOptions.quantaPerLimit);
  });
}

/// @return the demand with headroom, in whole quanta.
Resources
DemandWithHeadroom(const View& aView, const QuotaPolicyOptions& aOptions, double aHeadroomCount)
{
  const double factor = 1.0 + aHeadroomCount * aOptions.headroomFraction;
  const Resources rounded = CombineElementwise(
    aView.demand, ComputeQuantum(aView.limit, aOptions), [&](auto aDemand, auto aQuantum) {
      const auto unmetDemand =
        static_cast<std::int64_t>(std::ceil(static_cast<double>(aDemand) * factor));
      return (unmetDemand + aQuantum - 1) / aQuantum * aQuantum;
    });
  return ElementwiseMax(aView.demand, ElementwiseMin(rounded, aView.limit));
}

/// @return the part of the limit that the own demand is of the whole demand, and at least a task.
Resources
FairShare(const View& aView, const TeamUsage& aUsage)
{
  const Resources whole = aView.demand + aView.othersGranted + aView.othersUnmetDemand;
  Resources fair;
  for (const auto amount : kResourceFields) {
    if (whole.*amount > 0) {
      const double part =
        static_cast<double>(aView.demand.*amount) / static_cast<double>(whole.*amount);
      fair.*amount = static_cast<std::int64_t>(static_cast<double>(aView.limit.*amount) * part);
    }
  }
  return ElementwiseMax(fair, aUsage.nextTask);
}

/// @return what is taken of the free amount on the way to a target: enough for the next task or
/// nothing, and beyond that all amounts in the same proportion.
Resources
PlanRequest(const View& aView, const TeamUsage& aUsage, const Resources& aTarget)
{
  const Resources free = ElementwiseMax(aView.free, {});
  const Resources first = SaturatingSubtract(aUsage.running + aUsage.nextTask, aView.own);
  if (!first.FitsIn(free)) {
    return {};
  }
  const Resources rest = SaturatingSubtract(SaturatingSubtract(aTarget, aView.own), first);
  const Resources left = free - first;
  double part = 1.0;
  for (const auto amount : kResourceFields) {
    if (rest.*amount > 0) {
      part = std::min(part, static_cast<double>(left.*amount) / static_cast<double>(rest.*amount));
    }
  }
  return first + CombineElementwise(rest, {}, [&](auto aAmount, auto) {
           return static_cast<std::int64_t>(static_cast<double>(aAmount) * part);
         });
}

GrantPlan
MakePlan(const View& aView, const Resources& aAmount)
{
  return { .amount = aAmount,
           .overcommitted = SaturatingSubtract(aView.running, aAmount),
           .unmetDemand = SaturatingSubtract(aView.demand, aAmount) };
}

GrantPlan
PlanUncontested(const View& aView,
                const TeamUsage& aUsage,
                const QuotaPolicyOptions& aOptions,
                QuotaRequests aRequests,
                IdleQuota aIdleQuota)
{
  const Resources demandWithHeadroom = DemandWithHeadroom(aView, aOptions, 1.0);
  if (!aView.demand.FitsIn(aView.own)) {
    const bool mayRequest = aRequests == QuotaRequests::Allowed;
    return MakePlan(
      aView, mayRequest ? aView.own + PlanRequest(aView, aUsage, demandWithHeadroom) : aView.own);
  }
  const bool hasSurplus = !aView.own.FitsIn(DemandWithHeadroom(aView, aOptions, 2.0));
  if (aIdleQuota == IdleQuota::Return && hasSurplus) {
    return MakePlan(aView, ElementwiseMin(aView.own, demandWithHeadroom));
  }
  return MakePlan(aView, aView.own);
}

/// @return true if some amount is a large enough part of what is held. The number of writes with
/// which a grant is returned while its tasks end then grows only with the logarithm of the grant.
bool
IsWorthReturning(const Resources& aOwn,
                 const Resources& aReturned,
                 const QuotaPolicyOptions& aOptions)
{
  return std::ranges::any_of(kResourceFields, [&](const auto aAmount) {
    const auto least = static_cast<double>(aOwn.*aAmount) * aOptions.minReturnFraction;
    return aReturned.*aAmount > 0 && static_cast<double>(aReturned.*aAmount) >= least;
  });
}

/// @return true if others have yet to take what is free already. Returning more would only leave it
/// idle, e.g. if who waits is dead.
bool
HasUnclaimedQuota(const View& aView, const QuotaPolicyOptions& aOptions)
{
  const bool isOvercommitted = !aView.free.IsNonNegative();
  return !isOvercommitted && std::ranges::all_of(kResourceFields, [&](const auto aAmount) {
    const auto least = static_cast<double>(aView.own.*aAmount) * aOptions.minReturnFraction;
    const std::int64_t free = aView.free.*aAmount;
    return aView.othersUnmetDemand.*aAmount == 0 ||
           (free > 0 && static_cast<double>(free) >= least);
  });
}

GrantPlan
PlanContested(const View& aView,
              const TeamUsage& aUsage,
              const QuotaPolicyOptions& aOptions,
              QuotaRequests aRequests)
{
  const Resources fair = ElementwiseMin(aView.demand, FairShare(aView, aUsage));
  const bool canStartNext = (aUsage.running + aUsage.nextTask).FitsIn(aView.own);
  const Resources own = HasUnclaimedQuota(aView, aOptions) ? ElementwiseMin(aView.demand, aView.own)
                                                           : (canStartNext ? fair : Resources{});
  const Resources kept = ElementwiseMax(aUsage.running, own);
  const Resources taken =
    aRequests == QuotaRequests::Allowed
      ? PlanRequest(aView, aUsage, ElementwiseMax(fair, aUsage.running + aUsage.nextTask))
      : Resources{};
  if (!IsZero(taken)) {
    return MakePlan(aView, aView.own + taken);
  }
  if (!IsWorthReturning(aView.own, SaturatingSubtract(aView.own, kept), aOptions)) {
    return MakePlan(aView, aView.own);
  }
  GrantPlan plan = MakePlan(aView, ElementwiseMin(aView.own, kept));
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
  const View view = BuildView(aRow, aSelf, aUsage);
  if (IsContested(view)) {
    return PlanContested(view, aUsage, aOptions, aRequests);
  }
  return PlanUncontested(view, aUsage, aOptions, aRequests, aIdleQuota);
}

Resources
MaxUsableQuota(const TeamQuotaRow& aRow,
               const EntryId& aSelf,
               const TeamUsage& aUsage,
               const QuotaPolicyOptions& aOptions)
{
  const View view = BuildView(aRow, aSelf, aUsage);
  if (!IsContested(view) || HasUnclaimedQuota(view, aOptions)) {
    return ElementwiseMax(view.own, view.limit);
  }
  return ElementwiseMax(aUsage.running, FairShare(view, aUsage));
}

}
