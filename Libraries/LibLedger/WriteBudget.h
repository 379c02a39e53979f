#pragma once

/// @file
/// The share of the table's write capacity that one entry instance may use.

#include <LibBase/Time.h>
#include <algorithm>
#include <cstddef>

namespace zinc {

/// Fixed at creation.
struct WriteBudgetOptions
{
  /// Rows written a second, in the long run.
  double rowsPerSecond = 30.0;
  /// Rows that may be written at once after a quiet time.
  double burst = 6.0;
};

/// A token bucket in rows, shared by everything in the process that writes to the table.
/// Not thread-safe.
class WriteBudget
{
public:
  explicit WriteBudget(WriteBudgetOptions aOptions)
    : options(aOptions)
    , rows(aOptions.burst)
  {
  }

  /// Changes the rate, e.g. when the number of entry instances has changed.
  void SetOptions(WriteBudgetOptions aOptions) { this->options = aOptions; }

  /// Takes rows if the budget has one left. A larger amount is paid off by a longer wait.
  /// @return true if the rows may be written now.
  [[nodiscard]] bool TryTake(std::size_t aRows, TimePoint aNow)
  {
    this->Refill(aNow);
    if (this->rows < 1.0) {
      return false;
    }
    this->rows -= static_cast<double>(aRows);
    return true;
  }

  /// Takes rows for work that can wait: only those above half of the burst.
  /// @return how many rows may be written now, at most @p aMost.
  [[nodiscard]] std::size_t TakeIdle(std::size_t aMost, TimePoint aNow)
  {
    this->Refill(aNow);
    const double spare = std::max(0.0, this->rows - this->options.burst / 2.0);
    const std::size_t taken = std::min(aMost, static_cast<std::size_t>(spare));
    this->rows -= static_cast<double>(taken);
    return taken;
  }

  /// Gives rows back that were not written after all.
  void Return(std::size_t aRows)
  {
    this->rows = std::min(this->options.burst, this->rows + static_cast<double>(aRows));
  }

private:
  void Refill(TimePoint aNow)
  {
    if (aNow <= this->refilledAt) {
      return;
    }
    const std::chrono::duration<double> elapsed = aNow - this->refilledAt;
    this->refilledAt = aNow;
    this->rows =
      std::min(this->options.burst, this->rows + elapsed.count() * this->options.rowsPerSecond);
  }

  WriteBudgetOptions options;
  double rows;
  TimePoint refilledAt{};
};

}
