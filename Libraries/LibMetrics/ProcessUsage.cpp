#include <LibMetrics/ProcessUsage.h>

#include <fstream>
#include <sys/resource.h>
#include <unistd.h>

namespace zinc {

namespace {

constexpr double kMicrosecondsPerSecond = 1e6;

double
Seconds(const timeval& aTime)
{
  return static_cast<double>(aTime.tv_sec) +
         static_cast<double>(aTime.tv_usec) / kMicrosecondsPerSecond;
}

std::uint64_t
ResidentBytes()
{
  std::ifstream file("/proc/self/statm");
  std::uint64_t virtualPages = 0;
  std::uint64_t residentPages = 0;
  if (!(file >> virtualPages >> residentPages)) {
    return 0;
  }
  return residentPages * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

}

ProcessUsage
CurrentProcessUsage()
{
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return { .processorSeconds = Seconds(usage.ru_utime) + Seconds(usage.ru_stime),
           .residentBytes = ResidentBytes() };
}

}
