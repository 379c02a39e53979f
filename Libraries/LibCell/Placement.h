#pragma once

/// @file
/// Choice of workers for a step's tasks: pure functions over the eligible workers.

#include <LibCell/Worker.h>
#include <LibCell/WorkerRanking.h>
#include <functional>
#include <optional>
#include <span>
#include <vector>

namespace zinc::cell {

/// @return the resources that a task of the step allocates at a worker. A best-effort task
/// allocates no processors.
[[nodiscard]] Resources
AllocatedDemand(const StepSpecification& aStep);

/// @return how many tasks of the step a worker may run at a time, whatever its room
[[nodiscard]] std::uint32_t
MaxTasksPerWorker(const StepSpecification& aStep);

/// Runs that a worker gets at most, however little its tasks ask for. Load: tasks without demand,
/// all of which would fit on one worker.
inline constexpr std::uint32_t kMaxRunsPerWorker = 1000;

/// @return how many more runs the worker may get
[[nodiscard]] std::uint32_t
CountFreeRuns(const Worker& aWorker);

/// @return how many more tasks of this demand fit at the worker, at most @p aMax.
[[nodiscard]] std::uint32_t
CountFittingTasks(const Worker& aWorker, const Resources& aDemand, std::uint32_t aMax);

/// @return how many tasks of this demand fit into free resources, at most @p aMax.
[[nodiscard]] std::uint32_t
CountFittingTasks(const Resources& aFree, const Resources& aDemand, std::uint32_t aMax);

/// @return how many tasks of the step fit at the workers together; counts on to @p aMax or beyond
[[nodiscard]] std::uint32_t
CountRoom(std::span<Worker* const> aWorkers, const StepSpecification& aStep, std::uint32_t aMax);

/// @return true if the worker has the label that the step requires.
[[nodiscard]] bool
HasRequiredLabel(const Worker& aWorker, const StepSpecification& aStep);

/// Returns how many tasks of the step a worker already has.
using TaskCountFunction = std::function<std::uint32_t(const Worker&)>;

/// Chooses a worker for one task: prefers the rack of its data, then workers of a low rank,
/// then the tightest fit.
/// @return null if no worker has room
[[nodiscard]] Worker*
ChooseWorker(std::span<Worker* const> aWorkers,
             const StepSpecification& aStep,
             const TaskCountFunction& aCount,
             const WorkerRanking& aRanking);

/// Chooses workers for all tasks of a gang: prefers a single rack if the step asks for it, then
/// workers of a low rank, the rack of the data and few workers.
/// @return a worker for each task, or nothing if the gang does not fit
[[nodiscard]] std::optional<std::vector<Worker*>>
AssignGang(std::span<Worker* const> aWorkers,
           const StepSpecification& aStep,
           const WorkerRanking& aRanking);

}
