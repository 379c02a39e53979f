#include <LibCell/ExpiredWorkShare.h>

#include <algorithm>
#include <tuple>

namespace zinc::cell {

const ExpiredStep*
ExpiredWorkShare::Choose(std::span<const ExpiredStep> aSteps,
                         std::int64_t aMilliCores,
                         TimePoint aNow)
{
  if (this->chosen) {
    const auto found = std::ranges::find(aSteps, this->chosen->name, &ExpiredStep::name);
    const bool isPending = found != aSteps.end();
    if (isPending && aNow < this->chosen->until) {
      return &*found;
    }
    // A step that could not start has used nothing of the share.
    this->nextChoice = isPending ? aNow : this->nextChoice;
    this->chosen.reset();
  }
  if (aNow < this->nextChoice || aSteps.empty() || aMilliCores <= 0) {
    return nullptr;
  }
  const auto orderOf = [this](const ExpiredStep& aStep) {
    const auto turn = this->lastTurns.find(aStep.workspace);
    return std::tuple(turn == this->lastTurns.end() ? TimePoint{} : turn->second,
                      aStep.latestStart);
  };
  const auto next = std::ranges::min_element(aSteps, {}, orderOf);
  this->chosen = { .name = next->name, .until = aNow + this->options.maxWait };
  this->lastTurns[next->workspace] = aNow;
  const auto duration =
    static_cast<double>(next->work) / (static_cast<double>(aMilliCores) * this->options.share);
  this->nextChoice = aNow + Milliseconds(static_cast<std::int64_t>(duration));
  return &*next;
}

}
