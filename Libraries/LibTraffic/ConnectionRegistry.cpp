#include <LibTraffic/ConnectionRegistry.h>

namespace zinc {

std::size_t
ConnectionRegistry::AddListener()
{
  const std::scoped_lock lock(this->mutex);
  return this->listeners++;
}

std::optional<ConnectionNumber>
ConnectionRegistry::Admit(std::size_t aListener,
                          std::size_t aMaxConnections,
                          std::function<void(Eviction)> aEvict)
{
  const std::scoped_lock lock(this->mutex);
  const auto admission = this->budget.Admit(aListener, aMaxConnections, SteadyClock().Now());
  if (!admission) {
    return {};
  }
  if (admission->replaced) {
    this->Evict(*admission->replaced, Eviction::Close);
    this->evictors.erase(*admission->replaced);
  }
  this->evictors[admission->number] = std::move(aEvict);
  return admission->number;
}

void
ConnectionRegistry::Remove(ConnectionNumber aNumber)
{
  const std::scoped_lock lock(this->mutex);
  this->budget.Remove(aNumber);
  this->evictors.erase(aNumber);
}

void
ConnectionRegistry::SetPhase(ConnectionNumber aNumber, ConnectionPhase aPhase)
{
  const std::scoped_lock lock(this->mutex);
  this->budget.SetPhase(aNumber, aPhase, SteadyClock().Now());
}

bool
ConnectionRegistry::Hold(ConnectionNumber aNumber, std::size_t aBytes)
{
  const std::scoped_lock lock(this->mutex);
  for (const auto evicted : this->budget.Hold(aNumber, aBytes)) {
    this->Evict(evicted, Eviction::RefuseRequest);
  }
  return !this->budget.HasGivenWay(aNumber);
}

void
ConnectionRegistry::Release(ConnectionNumber aNumber)
{
  const std::scoped_lock lock(this->mutex);
  static_cast<void>(this->budget.Hold(aNumber, 0));
}

std::uint64_t
ConnectionRegistry::EvictedCount() const
{
  const std::scoped_lock lock(this->mutex);
  return this->evicted;
}

std::size_t
ConnectionRegistry::HeldBytes() const
{
  const std::scoped_lock lock(this->mutex);
  return this->budget.HeldBytes();
}

std::size_t
ConnectionRegistry::Size() const
{
  const std::scoped_lock lock(this->mutex);
  return this->budget.Size();
}

void
ConnectionRegistry::Evict(ConnectionNumber aNumber, Eviction aEviction)
{
  const auto found = this->evictors.find(aNumber);
  if (found != this->evictors.end()) {
    ++this->evicted;
    found->second(aEviction);
  }
}

}
