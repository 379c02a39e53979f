#include <LibDocument/Document.h>

#include <algorithm>

namespace zinc {

namespace {

template<typename Item, typename Id>
const Item*
FindById(const std::vector<Item>& aItems, const Id& aId)
{
  const auto found = std::ranges::find(aItems, aId, &Item::id);
  return found == aItems.end() ? nullptr : &*found;
}

}

const Team*
Document::FindTeam(const TeamId& aId) const
{
  return FindById(this->teams, aId);
}

const Key*
Document::FindKey(const KeyId& aId) const
{
  return FindById(this->keys, aId);
}

const Queue*
Document::FindQueue(const QueueId& aId) const
{
  return FindById(this->queues, aId);
}

}
