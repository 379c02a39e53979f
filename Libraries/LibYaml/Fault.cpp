#include <LibYaml/Fault.h>

#include <utility>

namespace zinc {

void
AddFault(Faults& aFaults, Fault aFault)
{
  if (aFaults.size() > kMaxFaults) {
    return;
  }
  if (aFaults.size() == kMaxFaults) {
    aFault = { .line = aFault.line,
               .path = std::move(aFault.path),
               .message = "further faults are not listed",
               .expected = "the faults listed first to be mended" };
  }
  aFaults.push_back(std::move(aFault));
}

}
