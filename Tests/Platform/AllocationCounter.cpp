#include "AllocationCounter.h"

#include <cstdlib>
#include <new>

namespace zinc::platform::test {

namespace {

thread_local std::size_t allocations = 0;
thread_local std::size_t allocatedBytes = 0;

}

std::size_t
CountAllocations()
{
  return allocations;
}

std::size_t
CountAllocatedBytes()
{
  return allocatedBytes;
}

namespace detail {

void*
Allocate(std::size_t aBytes)
{
  ++allocations;
  allocatedBytes += aBytes;
  if (void* memory = std::malloc(aBytes == 0 ? 1 : aBytes)) {
    return memory;
  }
  throw std::bad_alloc();
}

}

}

void*
operator new(std::size_t aBytes)
{
  return zinc::platform::test::detail::Allocate(aBytes);
}

void
operator delete(void* aMemory) noexcept
{
  std::free(aMemory);
}

void
operator delete(void* aMemory, std::size_t) noexcept
{
  std::free(aMemory);
}
