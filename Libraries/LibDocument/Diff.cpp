#include <LibDocument/Diff.h>
#include <LibDocument/Fields.h>

#include <algorithm>
#include <fmt/format.h>
#include <unordered_map>

namespace zinc {

namespace {

using detail::FieldsOf;
using detail::ItemFields;

std::string
Flow(const ItemFields& aFields)
{
  std::string text = "{";
  for (const auto& field : aFields) {
    text += fmt::format("{}{}: {}", text.size() > 1 ? ", " : "", field.name, field.text);
  }
  return text + "}";
}

std::string
TextOf(const ItemFields& aFields, std::string_view aName)
{
  const auto found = std::ranges::find(aFields, aName, &detail::ItemField::name);
  return found == aFields.end() ? std::string() : found->text;
}

void
DiffFields(std::vector<Change>& aChanges,
           const std::string& aPath,
           const ItemFields& aBefore,
           const ItemFields& aAfter)
{
  for (const auto& field : aBefore) {
    const std::string after = TextOf(aAfter, field.name);
    if (after != field.text) {
      const auto kind = after.empty() ? ChangeKind::Removed : ChangeKind::Changed;
      aChanges.push_back({ kind, fmt::format("{}/{}", aPath, field.name), field.text, after });
    }
  }
  for (const auto& field : aAfter) {
    if (TextOf(aBefore, field.name).empty()) {
      aChanges.push_back(
        { ChangeKind::Added, fmt::format("{}/{}", aPath, field.name), "", field.text });
    }
  }
}

template<typename Item>
std::unordered_map<std::string, const Item*>
IndexById(const std::vector<Item>& aItems)
{
  std::unordered_map<std::string, const Item*> index;
  for (const auto& item : aItems) {
    index.emplace(item.id.value, &item);
  }
  return index;
}

template<typename Item>
void
DiffSection(std::vector<Change>& aChanges,
            std::string_view aSection,
            const std::vector<Item>& aBefore,
            const std::vector<Item>& aAfter)
{
  const auto before = IndexById(aBefore);
  const auto after = IndexById(aAfter);
  for (const auto& item : aBefore) {
    const std::string path = fmt::format("{}/{}", aSection, item.id.value);
    const auto found = after.find(item.id.value);
    if (found == after.end()) {
      aChanges.push_back({ ChangeKind::Removed, path, Flow(FieldsOf(item)), "" });
      continue;
    }
    DiffFields(aChanges, path, FieldsOf(item), FieldsOf(*found->second));
  }
  for (const auto& item : aAfter) {
    if (!before.contains(item.id.value)) {
      const std::string path = fmt::format("{}/{}", aSection, item.id.value);
      aChanges.push_back({ ChangeKind::Added, path, "", Flow(FieldsOf(item)) });
    }
  }
}

}

std::string_view
ToString(ChangeKind aKind)
{
  switch (aKind) {
    case ChangeKind::Added:
      return "added";
    case ChangeKind::Removed:
      return "removed";
    case ChangeKind::Changed:
      return "changed";
  }
  return "unknown";
}

std::vector<Change>
DiffDocuments(const Document& aBefore, const Document& aAfter)
{
  std::vector<Change> changes;
  DiffSection(changes, "workspaces", aBefore.workspaces, aAfter.workspaces);
  DiffSection(changes, "teams", aBefore.teams, aAfter.teams);
  DiffSection(changes, "keys", aBefore.keys, aAfter.keys);
  DiffSection(changes, "queues", aBefore.queues, aAfter.queues);
  DiffFields(changes, "placement", FieldsOf(aBefore.placement), FieldsOf(aAfter.placement));
  return changes;
}

}
