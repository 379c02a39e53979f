#pragma once

/// @file
/// Form of the stored parts of a key.

#include <LibYaml/MappingReader.h>

namespace zinc {

/// 128 bits, hexadecimal.
extern const TextRule kSaltRule;

/// 256 bits, hexadecimal.
extern const TextRule kHashRule;

}
