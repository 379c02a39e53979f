#include <LibBase/Task.h>

#include <array>

namespace zinc {

namespace {

constexpr std::array<std::string_view, kWorkClassCount> kWorkClassNames = { "check",
                                                                            "batch",
                                                                            "all_at_once",
                                                                            "service" };

}

std::string_view
ToString(WorkClass aClass)
{
  return kWorkClassNames.at(static_cast<std::size_t>(aClass));
}

std::optional<WorkClass>
WorkClassFromString(std::string_view aName)
{
  for (std::size_t index = 0; index < kWorkClassCount; ++index) {
    if (kWorkClassNames.at(index) == aName) {
      return static_cast<WorkClass>(index);
    }
  }
  return {};
}

}
