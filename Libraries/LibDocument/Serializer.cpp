#include <LibDocument/Fields.h>
#include <LibDocument/Parser.h>

#include <fmt/format.h>
#include <iterator>

namespace zinc {

namespace {

using Output = std::back_insert_iterator<std::string>;

void
WriteItem(Output aOutput, const detail::ItemFields& aFields)
{
  std::string_view lead = "  - ";
  for (const auto& field : aFields) {
    fmt::format_to(aOutput, "{}{}: {}\n", lead, field.name, field.text);
    lead = "    ";
  }
}

template<typename Item>
void
WriteSection(Output aOutput, std::string_view aName, const std::vector<Item>& aItems)
{
  if (aItems.empty()) {
    fmt::format_to(aOutput, "{}: []\n", aName);
    return;
  }
  fmt::format_to(aOutput, "{}:\n", aName);
  for (const auto& item : aItems) {
    WriteItem(aOutput, detail::FieldsOf(item));
  }
}

void
WritePlacement(Output aOutput, const PlacementPolicy& aPolicy)
{
  fmt::format_to(aOutput, "placement:\n");
  for (const auto& field : detail::FieldsOf(aPolicy)) {
    fmt::format_to(aOutput, "  {}: {}\n", field.name, field.text);
  }
}

}

std::string
SerializeDocument(const Document& aDocument)
{
  std::string text;
  const Output output(text);
  WriteSection(output, "workspaces", aDocument.workspaces);
  WriteSection(output, "teams", aDocument.teams);
  WriteSection(output, "keys", aDocument.keys);
  WriteSection(output, "queues", aDocument.queues);
  WritePlacement(output, aDocument.placement);
  return text;
}

}
