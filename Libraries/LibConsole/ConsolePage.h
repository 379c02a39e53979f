#pragma once

/// @file
/// The operators' console.

#include <string_view>

namespace zinc {

/// @return the whole page as HTML in UTF-8. Its forms read and write the document through the same
/// HTTP interface as zincctl, so that the same checks apply. The document it loads has to be in the
/// canonical form of SerializeDocument.
[[nodiscard]] std::string_view
ConsolePage();

}
