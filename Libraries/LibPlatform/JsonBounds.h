#pragma once

/// @file
/// Bounds on JSON that comes from outside, checked over the bytes before a tree is built.

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace zinc {

/// Deepest nesting of arrays and objects that is read; parsers recurse.
inline constexpr int kJsonDepthLimit = 32;

/// The most that a JSON text may hold. Each bounds the work of reading it, which its bytes do not.
struct JsonBounds
{
  /// Values of any kind, names of members included.
  std::size_t values = 0;
  /// Arrays and objects.
  std::size_t containers = 0;
  /// Texts, names of members included.
  std::size_t texts = 0;
  /// Numbers that no integer type holds: with a fraction or an exponent, or too long.
  std::size_t fractions = 0;
};

/// Counts in one pass, without allocations, up to the first bound that is exceeded. Of a malformed
/// text at least what stands before its fault is counted.
[[nodiscard]] bool
IsWithinBounds(std::string_view aText, const JsonBounds& aBounds);

/// Replaces the numbers that no double holds, such as 1e400, by the largest of their sign.
/// @return the text with other numbers, or nothing if it has no such number
[[nodiscard]] std::optional<std::string>
ClampHugeNumbers(std::string_view aText);

}
