#pragma once

/// @file
/// The format of accepted documents in the platform's table.

#include <LibBase/Verdict.h>
#include <LibDocument/Document.h>
#include <cstdint>
#include <string>
#include <string_view>

namespace zinc {

/// Key of the row with the latest accepted document.
inline constexpr std::string_view kCurrentDocumentKey = "document/current";

/// Prefix of the keys of the history rows, one for each accepted version.
inline constexpr std::string_view kDocumentHistoryPrefix = "document/version/";

/// A document's text together with its version and the acceptance that stored it.
struct AcceptedDocument
{
  /// Increases by one with every acceptance; 0 before the first.
  std::uint64_t version = 0;
  /// Name of the entry instance that accepted it.
  std::string acceptedBy;
  /// Unique to each acceptance, so that after a lost reply an instance can tell its own commit from
  /// another one of the same version.
  std::string acceptanceId;
  std::string yaml;
};

/// @return the row value that @ref DecodeAcceptedDocument reads.
[[nodiscard]] std::string
EncodeAcceptedDocument(const AcceptedDocument& aDocument);

/// Decodes a row value; the YAML text itself is not parsed.
/// @return the document, or @ref ErrorCode::BadRequest if a field is missing or malformed.
[[nodiscard]] Result<AcceptedDocument>
DecodeAcceptedDocument(std::string_view aText);

/// @return the key of a version's history row. The keys sort by version.
[[nodiscard]] std::string
HistoryKey(std::uint64_t aVersion);

}
