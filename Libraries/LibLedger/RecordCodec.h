#pragma once

/// @file
/// Encoding of the ledger's rows.

#include <LibBase/Verdict.h>
#include <LibLedger/Record.h>
#include <span>
#include <string>
#include <string_view>

namespace zinc {

/// @return a compact JSON array.
[[nodiscard]] std::string
EncodeRecord(const Record& aRecord);

/// @param aRecords records as @ref EncodeRecord gave them.
/// @return the value of a log row.
[[nodiscard]] std::string
EncodeBatch(std::string_view aId, const EntryId& aWriter, std::span<const std::string> aRecords);

/// @return the batch, or a verdict if the value is not one.
[[nodiscard]] Result<Batch>
DecodeBatch(std::string_view aValue);

/// @return the value of a base row.
[[nodiscard]] std::string
EncodeBase(const LogBase& aBase);

/// @return the base, or a verdict if the value is not one.
[[nodiscard]] Result<LogBase>
DecodeBase(std::string_view aValue);

}
