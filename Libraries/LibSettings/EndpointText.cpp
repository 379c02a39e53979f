#include <LibSettings/EndpointText.h>

#include <arpa/inet.h>
#include <charconv>
#include <fmt/format.h>

namespace zinc {

namespace {

std::optional<std::uint16_t>
ParsePort(std::string_view aText)
{
  std::uint16_t port = 0;
  const char* const end = aText.data() + aText.size();
  const auto [stop, error] = std::from_chars(aText.data(), end, port);
  if (error != std::errc() || stop != end || port == 0) {
    return {};
  }
  return port;
}

bool
IsAddress(int aFamily, const std::string& aText)
{
  in6_addr storage{};
  return inet_pton(aFamily, aText.c_str(), &storage) == 1;
}

}

const TextRule kEndpointRule{
  .holds = [](std::string_view aText) { return ParseEndpoint(aText).has_value(); },
  .expected = "an IP address and port, e.g. 10.0.0.7:8080"
};

std::optional<Endpoint>
ParseEndpoint(std::string_view aText)
{
  const auto separator = aText.rfind(':');
  if (separator == std::string_view::npos) {
    return {};
  }
  const auto port = ParsePort(aText.substr(separator + 1));
  std::string_view host = aText.substr(0, separator);
  const bool bracketed = host.starts_with('[') && host.ends_with(']');
  if (bracketed) {
    host = host.substr(1, host.size() - 2);
  }
  const std::string address(host);
  if (!port || !IsAddress(bracketed ? AF_INET6 : AF_INET, address)) {
    return {};
  }
  return Endpoint{ .address = address, .port = *port };
}

std::string
ToString(const Endpoint& aEndpoint)
{
  const bool isVersion6 = aEndpoint.address.find(':') != std::string::npos;
  return isVersion6 ? fmt::format("[{}]:{}", aEndpoint.address, aEndpoint.port)
                    : fmt::format("{}:{}", aEndpoint.address, aEndpoint.port);
}

}
