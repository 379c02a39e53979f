#include <LibCell/PlacementOrder.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace zinc::cell {

namespace {

constexpr TimePoint kNow{ Milliseconds{ 1'000'000 } };

/// The order of a pool that is not contended, as it was before contended pools existed.
std::int64_t
ComputeUncontendedKey(const PriorityInput& aInput)
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
                       .criticalPath = offset(0, 20'000),
                       .expectedWait = offset(0, 5'000) };
  input.deadline = input.objective + offset(0, 30'000);
  return input;
}

PriorityClass
ClassOf(const PriorityInput& aInput)
{
  return static_cast<PriorityClass>(ComputePriorityKey(aInput) / kPriorityClassSpan);
}

/// A batch step of a contended pool that needs a second and arrived just now.
PriorityInput
NewBatch()
{
  return { .now = kNow,
           .queuePriority = 1,
           .objective = kNow + Milliseconds{ 3000 },
           .deadline = kNow + Milliseconds{ 9000 },
           .criticalPath = Milliseconds{ 1000 },
           .isContended = true };
}

}

// Guards against a change of the order on deployments whose pools are not contended.
RC_GTEST_PROP(PlacementOrder, IsUnchangedInAPoolThatIsNotContended, ())
{
  const auto input = AnyInput();
  RC_ASSERT(ComputePriorityKey(input) == ComputeUncontendedKey(input));
}

// Guards against late work that delays work which can still be on time, and against work without
// value that delays any other.
RC_GTEST_PROP(PlacementOrder, FollowsTheRemainingValueInAContendedPool, ())
{
  auto input = AnyInput();
  input.isContended = true;
  const auto end = input.now + input.expectedWait + input.criticalPath;
  const auto priorityClass = ClassOf(input);
  RC_ASSERT((priorityClass == PriorityClass::WithoutValue) ==
            (!input.isService && end > input.deadline));
  const bool isOnTimeClass =
    priorityClass == PriorityClass::OnTime || priorityClass == PriorityClass::Urgent;
  RC_ASSERT(!isOnTimeClass || input.isService || end <= input.objective);
}

// Guards against work that overtakes the work of others because it lost its value.
RC_GTEST_PROP(PlacementOrder, AStepNeverGainsFromAPassedDeadline, ())
{
  auto input = AnyInput();
  input.isContended = true;
  input.isService = false;
  auto expired = input;
  expired.deadline = input.now - Milliseconds{ 1 };
  RC_ASSERT(ComputePriorityKey(expired) >= ComputePriorityKey(input));
}

// Guards against jobs of 41 s that took the capacity of new jobs.
TEST(PlacementOrder, PlacesWorkWithoutValueAfterAllOther)
{
  const auto onTime = NewBatch();
  auto late = onTime;
  late.objective = kNow - Milliseconds{ 1000 };
  late.deadline = kNow + Milliseconds{ 4000 };
  auto expired = onTime;
  expired.objective = kNow - Milliseconds{ 38'000 };
  expired.deadline = kNow - Milliseconds{ 32'000 };
  auto beyondWeight = onTime;
  beyondWeight.isBeyondWeight = true;
  EXPECT_LT(ComputePriorityKey(onTime), ComputePriorityKey(late));
  EXPECT_LT(ComputePriorityKey(late), ComputePriorityKey(beyondWeight));
  EXPECT_LT(ComputePriorityKey(beyondWeight), ComputePriorityKey(expired));
}

// Guards against a step that counts as on time although its advice comes too late for it.
TEST(PlacementOrder, CountsTheExpectedWait)
{
  auto step = NewBatch();
  step.expectedWait = Milliseconds{ 2000 };
  EXPECT_EQ(ClassOf(step), PriorityClass::OnTime);
  step.expectedWait = Milliseconds{ 2001 };
  EXPECT_EQ(ClassOf(step), PriorityClass::Late);
  step.expectedWait = Milliseconds{ 8001 };
  EXPECT_EQ(ClassOf(step), PriorityClass::WithoutValue);
  step.queuePriority = 0;
  step.expectedWait = Milliseconds{ 2001 };
  EXPECT_EQ(ClassOf(step), PriorityClass::UrgentLate);
}

}
