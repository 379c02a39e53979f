#pragma once

/// @file
/// Counts what the test program allocates.

#include <cstddef>

namespace zinc::platform::test {

/// @return how often this thread has allocated with `new`
[[nodiscard]] std::size_t
CountAllocations();

/// @return the bytes that this thread has allocated with `new`, freed ones included
[[nodiscard]] std::size_t
CountAllocatedBytes();

}
