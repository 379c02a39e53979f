#include <LibMembership/PeerLink.h>

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace zinc::detail {

namespace {

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

struct HeartbeatReceived
{};
struct QuietPassed
{};
struct TimeoutPassed
{};
struct LeaveLearned
{};
struct NewerHeard
{};

struct LinkDefinition : msm::front::state_machine_def<LinkDefinition>
{
  struct Joining : msm::front::state<>
  {};
  struct Live : msm::front::state<>
  {};
  struct Silent : msm::front::state<>
  {};
  struct Leaving : msm::front::state<>
  {};
  struct Dead : msm::front::state<>
  {};

  // MSM finds these by their names.
  // NOLINTBEGIN(readability-identifier-naming)
  using initial_state = Joining;
  // The states are numbered in the order in which the sources of the rows first appear.
  struct transition_table
    : boost::mpl::vector<Row<Joining, HeartbeatReceived, Live, none, none>,
                         Row<Live, QuietPassed, Silent, none, none>,
                         Row<Silent, HeartbeatReceived, Live, none, none>,
                         Row<Leaving, TimeoutPassed, Dead, none, none>,
                         Row<Dead, HeartbeatReceived, Live, none, none>,
                         Row<Joining, LeaveLearned, Leaving, none, none>,
                         Row<Joining, TimeoutPassed, Dead, none, none>,
                         Row<Joining, NewerHeard, Dead, none, none>,
                         Row<Live, LeaveLearned, Leaving, none, none>,
                         Row<Live, TimeoutPassed, Dead, none, none>,
                         Row<Live, NewerHeard, Dead, none, none>,
                         Row<Silent, LeaveLearned, Leaving, none, none>,
                         Row<Silent, TimeoutPassed, Dead, none, none>,
                         Row<Silent, NewerHeard, Dead, none, none>,
                         Row<Leaving, NewerHeard, Dead, none, none>>
  {};
  // NOLINTEND(readability-identifier-naming)

  template<typename Machine, typename Event>
  // NOLINTNEXTLINE(readability-identifier-naming)
  void no_transition(const Event&, Machine&, int)
  {
    // Repeated news changes nothing.
  }
};

}

struct PeerLink::Machine : msm::back::state_machine<LinkDefinition>
{};

PeerLink::PeerLink()
  : machine(std::make_unique<Machine>())
{
  this->machine->start();
}

PeerLink::~PeerLink() = default;

void
PeerLink::Process(LinkEvent aEvent)
{
  switch (aEvent) {
    case LinkEvent::Heartbeat:
      this->machine->process_event(HeartbeatReceived{});
      return;
    case LinkEvent::Quiet:
      this->machine->process_event(QuietPassed{});
      return;
    case LinkEvent::TimedOut:
      this->machine->process_event(TimeoutPassed{});
      return;
    case LinkEvent::Leave:
      this->machine->process_event(LeaveLearned{});
      return;
    case LinkEvent::Replaced:
      this->machine->process_event(NewerHeard{});
      return;
  }
}

PeerState
PeerLink::State() const
{
  return static_cast<PeerState>(this->machine->current_state()[0]);
}

std::size_t
PeerLink::MachineSize()
{
  return sizeof(Machine);
}

}
