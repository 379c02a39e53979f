#pragma once

/// @file
/// Encoding of a shard's snapshot.

#include <LibBase/Verdict.h>
#include <LibLedger/ShardState.h>
#include <string>
#include <string_view>

namespace zinc {

/// @return the content of a snapshot object; equal images give equal contents.
[[nodiscard]] std::string
EncodeSnapshot(const ShardImage& aImage);

/// @return the image, or a verdict if the content is not one.
[[nodiscard]] Result<ShardImage>
DecodeSnapshot(std::string_view aContent);

}
