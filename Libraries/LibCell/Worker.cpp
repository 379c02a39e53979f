#include <LibCell/Worker.h>

namespace zinc::cell {

void
Allocation::NoteProgress(int aPercent, TimePoint aNow)
{
  if (aPercent == this->progressPercent) {
    return;
  }
  if (aPercent > this->progressPercent) {
    const auto timePerPercent = (aNow - this->lastProgress) / (aPercent - this->progressPercent);
    this->slowestPercent = std::max(this->slowestPercent, timePerPercent);
  }
  this->progressPercent = aPercent;
  this->lastProgress = aNow;
}

std::optional<double>
Allocation::MeasureRunTimeRatio(TimePoint aNow) const
{
  // Shorter runs depend more on the worker's polling than on its speed.
  constexpr Milliseconds kMinMeasuredRun{ 200 };
  if (this->estimate <= kMinMeasuredRun || !this->checkpoint.empty()) {
    return {};
  }
  return static_cast<double>((aNow - this->startedAt).count()) /
         static_cast<double>(this->estimate.count());
}

}
