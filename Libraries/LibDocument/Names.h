#pragma once

/// @file
/// Wire names of the document's choices.

#include <LibDocument/Document.h>
#include <LibYaml/MappingReader.h>
#include <array>

namespace zinc::detail {

inline constexpr std::array<NamedValue<QueueAccess>, 2> kQueueAccessNames{ {
  { "open", QueueAccess::Open },
  { "keyed", QueueAccess::Keyed },
} };

inline constexpr std::array<NamedValue<QueueReach>, 2> kQueueReachNames{ {
  { "zone", QueueReach::Zone },
  { "any_zone", QueueReach::AnyZone },
} };

inline const std::array<NamedValue<WorkClass>, kWorkClassCount> kWorkClassNames{ {
  { ToString(WorkClass::Check), WorkClass::Check },
  { ToString(WorkClass::Batch), WorkClass::Batch },
  { ToString(WorkClass::AllAtOnce), WorkClass::AllAtOnce },
  { ToString(WorkClass::Service), WorkClass::Service },
} };

inline constexpr std::array<NamedValue<Urgency>, 2> kUrgencyNames{ {
  { "false", Urgency::Normal },
  { "true", Urgency::Urgent },
} };

inline constexpr std::array<NamedValue<Idempotence>, 2> kIdempotenceNames{ {
  { "false", Idempotence::NonIdempotent },
  { "true", Idempotence::Idempotent },
} };

inline constexpr std::array<NamedValue<PlacementStrategy>, 6> kStrategyNames{ {
  { "first_fit", PlacementStrategy::FirstFit },
  { "best_fit", PlacementStrategy::BestFit },
  { "dot_product", PlacementStrategy::DotProduct },
  { "least_loaded", PlacementStrategy::LeastLoaded },
  { "power_of_choices", PlacementStrategy::PowerOfChoices },
  { "random", PlacementStrategy::Random },
} };

inline constexpr std::array<NamedValue<SpreadDomain>, 3> kSpreadNames{ {
  { "none", SpreadDomain::None },
  { "worker", SpreadDomain::Worker },
  { "rack", SpreadDomain::Rack },
} };

/// @return the wire name of a value of one of the tables above.
template<typename Enum, std::size_t Count>
[[nodiscard]] constexpr std::string_view
NameIn(const std::array<NamedValue<Enum>, Count>& aNames, Enum aValue)
{
  for (const auto& named : aNames) {
    if (named.value == aValue) {
      return named.name;
    }
  }
  return "unknown";
}

}
