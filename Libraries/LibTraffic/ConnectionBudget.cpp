#include <LibTraffic/ConnectionBudget.h>

#include <tuple>

namespace zinc {

std::optional<ConnectionBudget::Admission>
ConnectionBudget::Admit(std::size_t aListener, std::size_t aMaxConnections, TimePoint aNow)
{
  Admission admission;
  if (this->counts[aListener] >= aMaxConnections) {
    admission.replaced = this->FindReplaceable(aListener);
    if (!admission.replaced) {
      return {};
    }
    this->Remove(*admission.replaced);
  }
  admission.number = ++this->lastNumber;
  this->connections[admission.number] = { .listener = aListener, .since = aNow };
  ++this->counts[aListener];
  return admission;
}

void
ConnectionBudget::Remove(ConnectionNumber aNumber)
{
  const auto found = this->connections.find(aNumber);
  if (found == this->connections.end()) {
    return;
  }
  this->heldBytes -= found->second.bytes;
  --this->counts[found->second.listener];
  this->connections.erase(found);
}

void
ConnectionBudget::SetPhase(ConnectionNumber aNumber, ConnectionPhase aPhase, TimePoint aNow)
{
  const auto found = this->connections.find(aNumber);
  if (found != this->connections.end()) {
    found->second.phase = aPhase;
    found->second.since = aNow;
  }
}

std::vector<ConnectionNumber>
ConnectionBudget::Hold(ConnectionNumber aNumber, std::size_t aBytes)
{
  const auto found = this->connections.find(aNumber);
  if (found == this->connections.end() || found->second.hasGivenWay) {
    return {};
  }
  this->heldBytes += aBytes - found->second.bytes;
  found->second.bytes = aBytes;
  std::vector<ConnectionNumber> givingWay;
  while (this->heldBytes > this->maxBytes) {
    const auto largest = this->FindLargestIncomplete();
    if (!largest) {
      break;
    }
    auto& connection = this->connections.at(*largest);
    this->heldBytes -= connection.bytes;
    connection.bytes = 0;
    connection.hasGivenWay = true;
    givingWay.push_back(*largest);
  }
  return givingWay;
}

bool
ConnectionBudget::HasGivenWay(ConnectionNumber aNumber) const
{
  const auto found = this->connections.find(aNumber);
  return found == this->connections.end() || found->second.hasGivenWay;
}

std::optional<ConnectionNumber>
ConnectionBudget::FindReplaceable(std::size_t aListener) const
{
  std::optional<ConnectionNumber> best;
  std::tuple<ConnectionPhase, TimePoint, ConnectionNumber> lowest;
  for (const auto& [number, connection] : this->connections) {
    if (connection.listener != aListener || connection.phase == ConnectionPhase::Answering) {
      continue;
    }
    const std::tuple key(connection.phase, connection.since, number);
    if (!best || key < lowest) {
      best = number;
      lowest = key;
    }
  }
  return best;
}

std::optional<ConnectionNumber>
ConnectionBudget::FindLargestIncomplete() const
{
  std::optional<ConnectionNumber> best;
  const Connection* largest = nullptr;
  for (const auto& [number, connection] : this->connections) {
    if (connection.phase != ConnectionPhase::Receiving || connection.hasGivenWay) {
      continue;
    }
    const bool isLarger = largest == nullptr || connection.bytes > largest->bytes;
    const bool isOlder = largest != nullptr && connection.bytes == largest->bytes &&
                         std::tuple(connection.since, number) < std::tuple(largest->since, *best);
    if (isLarger || isOlder) {
      best = number;
      largest = &connection;
    }
  }
  return best;
}

}
