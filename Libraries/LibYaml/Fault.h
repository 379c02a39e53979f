#pragma once

/// @file
/// One fault of a YAML text, told so that its author can correct it.

#include <string>
#include <vector>

namespace zinc {

/// What is wrong at one place.
struct Fault
{
  /// Counted from 1; 0 if the value does not come from the text.
  int line = 0;
  /// Place in the tree, e.g. "teams[1].share".
  std::string path;
  /// One sentence for a person.
  std::string message;
  /// What would be right, e.g. "a number above 0".
  std::string expected;

  friend bool operator==(const Fault&, const Fault&) = default;
};

using Faults = std::vector<Fault>;

/// Faults listed for one text; the rest is only mentioned.
inline constexpr std::size_t kMaxFaults = 1000;

/// Appends a fault unless @ref kMaxFaults are listed already.
void
AddFault(Faults& aFaults, Fault aFault);

}
