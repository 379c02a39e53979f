#pragma once

/// @file
/// The open connections of a process, with what closes each. Safe to use from several threads.

#include <LibTraffic/ConnectionBudget.h>
#include <functional>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace zinc {

/// What a connection has to do for others.
enum class Eviction : std::uint8_t
{
  /// Refuse its incomplete request, whose memory others need.
  RefuseRequest,
  /// Close at once: a new connection takes its place.
  Close,
};

/// Keeps the connections of all listeners within one @ref ConnectionBudget.
class ConnectionRegistry
{
public:
  /// @param aMaxBytes bytes that all connections may hold together for requests
  explicit ConnectionRegistry(std::size_t aMaxBytes)
    : budget(aMaxBytes)
  {
  }

  /// @return a number for a listener
  [[nodiscard]] std::size_t AddListener();

  /// Adds a connection, and closes the one that it replaces if its listener is full.
  /// @param aEvict makes the connection give way; runs on any thread and must not block
  /// @return its number, or nothing if there is no room for it
  [[nodiscard]] std::optional<ConnectionNumber> Admit(std::size_t aListener,
                                                      std::size_t aMaxConnections,
                                                      std::function<void(Eviction)> aEvict);

  void Remove(ConnectionNumber aNumber);

  void SetPhase(ConnectionNumber aNumber, ConnectionPhase aPhase);

  /// Sets how many bytes a connection holds, and refuses the requests that give way.
  /// @return false if the connection's own request has given way, now or before
  [[nodiscard]] bool Hold(ConnectionNumber aNumber, std::size_t aBytes);
  /// Sets that a connection holds nothing for a request.
  void Release(ConnectionNumber aNumber);

  /// @return connections that had to give way to others since the start
  [[nodiscard]] std::uint64_t EvictedCount() const;
  [[nodiscard]] std::size_t HeldBytes() const;
  [[nodiscard]] std::size_t Size() const;

private:
  void Evict(ConnectionNumber aNumber, Eviction aEviction);

  mutable std::mutex mutex;
  ConnectionBudget budget;
  std::unordered_map<ConnectionNumber, std::function<void(Eviction)>> evictors;
  std::size_t listeners = 0;
  std::uint64_t evicted = 0;
};

}
