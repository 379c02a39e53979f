#pragma once

/// @file
/// Endpoints as text.

#include <LibPlatform/InstanceList.h>
#include <LibYaml/MappingReader.h>
#include <optional>
#include <string>
#include <string_view>

namespace zinc {

/// Accepts "<IPv4 address>:<port>" or "[<IPv6 address>]:<port>"; host names are refused.
[[nodiscard]] std::optional<Endpoint>
ParseEndpoint(std::string_view aText);

/// @return the text that @ref ParseEndpoint reads.
[[nodiscard]] std::string
ToString(const Endpoint& aEndpoint);

/// Rule of YAML values that hold an endpoint.
extern const TextRule kEndpointRule;

}
