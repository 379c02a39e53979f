#pragma once

/// @file
/// The declared document as YAML.

#include <LibDocument/Document.h>
#include <LibYaml/Fault.h>
#include <string>
#include <string_view>
#include <variant>

namespace zinc {

/// Longest text of a document.
inline constexpr std::size_t kMaxDocumentBytes = 1U << 20U;

/// Reads and checks a document. Its version is left at 0: versions are given by acceptance and are
/// no part of the text.
/// @return the document, or every fault found.
[[nodiscard]] std::variant<Document, Faults>
ParseDocument(std::string_view aYaml);

/// @return the canonical text, which @ref ParseDocument reads back as the same document.
/// @pre the document is valid.
[[nodiscard]] std::string
SerializeDocument(const Document& aDocument);

}
