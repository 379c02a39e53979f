#include <LibCell/PlacementOrder.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace zinc::cell {

namespace {

constexpr TimePoint kNow{ Milliseconds{ 1'000'000 } };

/// The documented order, written as a table of classes.
std::int64_t
ComputeExpectedKey(const PriorityInput& aInput)
{
  const auto latestStart = aInput.objective - aInput.criticalPath;
  const auto classOf = [&] {
    if (aInput.isBeyondWeight) {
      return 4;
    }
    if (aInput.isService || (aInput.queuePriority == 0 && latestStart >= aInput.now)) {
      return 0;
    }
    if (aInput.queuePriority == 0 && aInput.now < aInput.deadline) {
      return 1;
    }
    return latestStart < aInput.now ? 3 : 2;
  };
  return std::int64_t{ classOf() } * kPriorityClassSpan + latestStart.time_since_epoch().count();
}

PriorityInput
AnyInput()
{
  const auto offset = [](int aMin, int aMax) {
    return Milliseconds(*rc::gen::inRange(aMin, aMax));
  };
  PriorityInput input{ .now = kNow,
                       .queuePriority = *rc::gen::inRange(0U, 3U),
                       .isService = *rc::gen::inRange(0, 8) == 0,
                       .isBeyondWeight = *rc::gen::inRange(0, 4) == 0,
                       .objective = kNow + offset(-30'000, 30'000),
                       .criticalPath = offset(0, 20'000) };
  input.deadline = input.objective + offset(0, 30'000);
  return input;
}

}

// Guards against an order that depends on anything but urgency, weight and time left.
RC_GTEST_PROP(PlacementOrder, FollowsTheClassesAndTheLatestStart, ())
{
  const auto input = AnyInput();
  RC_ASSERT(ComputePriorityKey(input) == ComputeExpectedKey(input));
}

}
