#pragma once

/// @file
/// The open connections of a process, with what closes each. Safe to use from several threads.

#include <LibTraffic/ConnectionBudget.h>
#include <functional>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace zinc {

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
  /// @param aClose asks the connection to close; runs on any thread and must not block
  /// @return its number, or nothing if there is no room for it
  [[nodiscard]] std::optional<ConnectionNumber> Admit(std::size_t aListener,
                                                      std::size_t aMaxConnections,
                                                      std::function<void()> aClose);

  void Remove(ConnectionNumber aNumber);

  void SetPhase(ConnectionNumber aNumber, ConnectionPhase aPhase);

  /// Sets how many bytes a connection holds, and closes those that give way.
  /// @return false if the connection itself has given way, now or before
  [[nodiscard]] bool Hold(ConnectionNumber aNumber, std::size_t aBytes);
  /// Sets that a connection holds nothing for a request.
  void Release(ConnectionNumber aNumber);

  /// @return connections that had to give way to others since the start
  [[nodiscard]] std::uint64_t EvictedCount() const;
  [[nodiscard]] std::size_t HeldBytes() const;
  [[nodiscard]] std::size_t Size() const;

private:
  /// Asks a connection that the budget has removed to close.
  void Evict(ConnectionNumber aNumber);

  mutable std::mutex mutex;
  ConnectionBudget budget;
  std::unordered_map<ConnectionNumber, std::function<void()>> closers;
  std::size_t listeners = 0;
  std::uint64_t evicted = 0;
};

}
