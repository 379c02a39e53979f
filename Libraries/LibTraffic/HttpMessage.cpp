#include <LibTraffic/HttpMessage.h>

#include <algorithm>

namespace zinc {

std::optional<std::string_view>
IncomingRequest::Query(std::string_view aName) const
{
  const auto found = std::ranges::find(this->query, aName, &QueryParameter::name);
  if (found == this->query.end()) {
    return {};
  }
  return found->value;
}

}
