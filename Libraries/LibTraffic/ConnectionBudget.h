#pragma once

/// @file
/// Decides which connections give way when those of a process hold too much together. Load: clients
/// that each keep to the bounds of one request, but open many and do not end them.

#include <LibBase/Time.h>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace zinc {

/// Number of a connection within its process.
using ConnectionNumber = std::uint64_t;

/// What a connection does at the moment.
enum class ConnectionPhase : std::uint8_t
{
  /// It has never sent a byte.
  New,
  /// It waits for its next request.
  Idle,
  /// A request has begun and is not complete.
  Receiving,
  /// A request is complete and is being answered. It is never given up.
  Answering,
};

/// The connections of all listeners of a process. The caller closes those that it names.
class ConnectionBudget
{
public:
  /// @param aMaxBytes bytes that all connections may hold together for requests
  explicit ConnectionBudget(std::size_t aMaxBytes)
    : maxBytes(aMaxBytes)
  {
  }

  /// A connection that was let in, and the one that it replaces.
  struct Admission
  {
    ConnectionNumber number = 0;
    std::optional<ConnectionNumber> replaced;
  };

  /// Adds a new connection. If its listener is full, it replaces the one that has been without a
  /// request for longest, those without any first; otherwise the one whose request has taken
  /// longest to arrive.
  /// @param aListener number of the listener, whose connections are bounded by themselves
  /// @param aMaxConnections the listener's bound
  /// @return nothing if every connection of the listener is being answered
  [[nodiscard]] std::optional<Admission> Admit(std::size_t aListener,
                                               std::size_t aMaxConnections,
                                               TimePoint aNow);

  /// Removes a connection; does nothing for an unknown one.
  void Remove(ConnectionNumber aNumber);

  void SetPhase(ConnectionNumber aNumber, ConnectionPhase aPhase, TimePoint aNow);

  /// Sets how many bytes a connection holds.
  /// @return the connections whose requests give way until the rest is within the budget: of those
  /// whose request is not complete, the ones that hold most. From now on they hold nothing, and
  /// count as connections until they are removed.
  [[nodiscard]] std::vector<ConnectionNumber> Hold(ConnectionNumber aNumber, std::size_t aBytes);

  /// @return true if the connection's request has given way, or the connection is unknown
  [[nodiscard]] bool HasGivenWay(ConnectionNumber aNumber) const;

  /// @return the bytes that all connections hold
  [[nodiscard]] std::size_t HeldBytes() const { return this->heldBytes; }
  [[nodiscard]] std::size_t Size() const { return this->connections.size(); }

private:
  struct Connection
  {
    std::size_t listener = 0;
    ConnectionPhase phase = ConnectionPhase::New;
    TimePoint since{};
    std::size_t bytes = 0;
    bool hasGivenWay = false;
  };

  /// @return the connection of the listener that gives way to a new one
  [[nodiscard]] std::optional<ConnectionNumber> FindReplaceable(std::size_t aListener) const;
  /// @return the incomplete request that holds most, the oldest of equal ones
  [[nodiscard]] std::optional<ConnectionNumber> FindLargestIncomplete() const;

  std::size_t maxBytes;
  std::size_t heldBytes = 0;
  ConnectionNumber lastNumber = 0;
  std::unordered_map<ConnectionNumber, Connection> connections;
  /// Connections of each listener.
  std::unordered_map<std::size_t, std::size_t> counts;
};

}
