#pragma once

/// @file
/// Maps identifiers to dense indices.

#include <LibPlacement/Indices.h>
#include <unordered_map>

namespace zinc {

/// Assigns indices 0, 1, 2, ... to identifiers in the order in which they are interned. An index is
/// never reused.
template<typename Id>
class IndexMap
{
public:
  /// @return the index of @p aId; a new identifier gets the next free index.
  std::uint32_t Intern(const Id& aId)
  {
    return this->indices.try_emplace(aId, static_cast<std::uint32_t>(this->indices.size()))
      .first->second;
  }

  /// @return the index of @p aId, or @ref kNoIndex if it was never interned.
  [[nodiscard]] std::uint32_t Find(const Id& aId) const
  {
    const auto found = this->indices.find(aId);
    return found == this->indices.end() ? kNoIndex : found->second;
  }

  [[nodiscard]] std::size_t Size() const { return this->indices.size(); }

private:
  std::unordered_map<Id, std::uint32_t> indices;
};

}
