#pragma once

/// @file
/// The life cycle of the process of an entry instance.

#include <cstdint>
#include <memory>
#include <string_view>

namespace zinc {

/// Stages of the process; only @ref Serving is reported as ready.
enum class LifeCycleStage : std::uint8_t
{
  /// The document is not known yet.
  Starting,
  Serving,
  /// A stop was requested: not ready any more, but requests are still served.
  Draining,
  /// All requests are answered, or the drain timeout has passed.
  Stopped,
};

/// Events that cause a transition between stages.
enum class LifeCycleEvent : std::uint8_t
{
  DocumentKnown,
  StopRequested,
  Drained,
};

/// @return the lower-case name of the stage.
[[nodiscard]] std::string_view
ToString(LifeCycleStage aStage);

/// State machine of the stages. Events that a stage has no transition for are ignored.
class LifeCycle
{
public:
  LifeCycle();
  ~LifeCycle();
  LifeCycle(const LifeCycle&) = delete;
  LifeCycle& operator=(const LifeCycle&) = delete;

  /// @return true if the stage has changed.
  bool Process(LifeCycleEvent aEvent);

  [[nodiscard]] LifeCycleStage Stage() const;

private:
  struct Machine;
  std::unique_ptr<Machine> machine;
};

}
