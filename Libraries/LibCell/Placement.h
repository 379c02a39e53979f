#pragma once

/// @file
/// Which workers a step's tasks go to. Pure functions over the workers that may take them.

#include <LibCell/Worker.h>
#include <functional>
#include <optional>
#include <span>
#include <vector>

namespace zinc::cell {

/// @return what a task of the step takes of a worker's room.
[[nodiscard]] Resources
OccupiedBy(const StepSpecification& aStep);

/// @return how many more tasks of this demand fit, at most @p aMost.
[[nodiscard]] std::uint32_t
RoomFor(const Worker& aWorker, const Resources& aDemand, std::uint32_t aMost);

/// @return true if the worker has the label that the step needs.
[[nodiscard]] bool
HasRequiredLabel(const Worker& aWorker, const StepSpecification& aStep);

/// Tells how many tasks of the step a worker has already.
using CountAt = std::function<std::uint32_t(const Worker&)>;

/// Chooses a worker for one task: near its data, not slow, and where it leaves the least room.
/// @return null if none has room
[[nodiscard]] Worker*
ChooseWorker(std::span<Worker* const> aWorkers,
             const StepSpecification& aStep,
             const CountAt& aCount);

/// Chooses workers for all tasks of a gang: near its data, in one rack where that helps, on few
/// workers, slow ones last.
/// @return a worker for each task, or nothing if not all fit
[[nodiscard]] std::optional<std::vector<Worker*>>
AssignGang(std::span<Worker* const> aWorkers, const StepSpecification& aStep);

}
