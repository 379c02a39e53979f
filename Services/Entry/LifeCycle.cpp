#include "LifeCycle.h"

#include <array>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace zinc {

namespace {

namespace msm = boost::msm;
namespace front = boost::msm::front;

constexpr std::array<std::string_view, 4> kStageNames = { "starting",
                                                          "serving",
                                                          "draining",
                                                          "stopped" };

struct DocumentKnown
{};
struct StopRequested
{};
struct Drained
{};

struct Starting : front::state<>
{};
struct Serving : front::state<>
{};
struct Draining : front::state<>
{};
struct Stopped : front::state<>
{};

// Boost.MSM prescribes the names of the members.
// NOLINTBEGIN(readability-identifier-naming)
struct LifeCycleDefinition : front::state_machine_def<LifeCycleDefinition>
{
  using initial_state = Starting;

  template<typename Source, typename Event, typename Target>
  using Row = front::Row<Source, Event, Target, front::none, front::none>;

  struct transition_table
    : boost::mpl::vector<Row<Starting, DocumentKnown, Serving>,
                         Row<Starting, StopRequested, Draining>,
                         Row<Serving, StopRequested, Draining>,
                         Row<Draining, Drained, Stopped>>
  {};

  template<typename Machine, typename Event>
  void no_transition(const Event&, Machine&, int)
  {
  }
};
// NOLINTEND(readability-identifier-naming)

}

struct LifeCycle::Machine : msm::back::state_machine<LifeCycleDefinition>
{};

std::string_view
ToString(LifeCycleStage aStage)
{
  return kStageNames.at(static_cast<std::size_t>(aStage));
}

LifeCycle::LifeCycle()
  : machine(std::make_unique<Machine>())
{
  this->machine->start();
}

LifeCycle::~LifeCycle() = default;

bool
LifeCycle::Process(LifeCycleEvent aEvent)
{
  const auto before = this->Stage();
  switch (aEvent) {
    case LifeCycleEvent::DocumentKnown:
      this->machine->process_event(DocumentKnown{});
      break;
    case LifeCycleEvent::StopRequested:
      this->machine->process_event(StopRequested{});
      break;
    case LifeCycleEvent::Drained:
      this->machine->process_event(Drained{});
      break;
  }
  return this->Stage() != before;
}

LifeCycleStage
LifeCycle::Stage() const
{
  // Boost.MSM numbers the states in the order in which the transition table names them.
  switch (this->machine->current_state()[0]) {
    case 0:
      return LifeCycleStage::Starting;
    case 1:
      return LifeCycleStage::Serving;
    case 2:
      return LifeCycleStage::Draining;
    default:
      return LifeCycleStage::Stopped;
  }
}

}
