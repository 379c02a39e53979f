#include "SchedulerModel.h"

namespace rc {

template<>
struct Arbitrary<zinc::Operation>
{
  static Gen<zinc::Operation> arbitrary() // NOLINT(readability-identifier-naming)
  {
    const auto number = gen::inRange<std::uint32_t>(0, 100'000);
    return gen::build<zinc::Operation>(gen::set(&zinc::Operation::kind, number),
                                       gen::set(&zinc::Operation::first, number),
                                       gen::set(&zinc::Operation::second, number));
  }
};

}

namespace zinc {

RC_GTEST_PROP(SchedulerProperties,
              RespectsCapacityAndAllowanceAndLosesNoTask,
              (std::uint64_t aSeed))
{
  const auto operations = *rc::gen::resize(400, rc::gen::arbitrary<std::vector<Operation>>());
  SchedulerModel model(aSeed);
  for (const Operation& operation : operations) {
    model.Apply(operation);
  }
  model.Drain();
}

}
