#pragma once

/// @file
/// Keeps the orders for a worker's previous incarnations from its next one, which has the same id.
/// Load: a few restarts an hour, and hundreds at once after a power loss.

#include <cstdint>

namespace zinc::cell {

/// The fencing token of a worker's orders. A worker that has started again has seen no token and
/// carries out orders for its previous incarnation until an order with a higher one arrives.
class OrderFence
{
public:
  OrderFence() = default;
  explicit OrderFence(std::uint64_t aToken)
    : token(aToken)
  {
  }

  /// @return the token of orders for the known incarnation
  [[nodiscard]] std::uint64_t Token() const { return this->token; }
  /// @return true while no token is known that is higher than those of earlier orders
  [[nodiscard]] bool AwaitsToken() const { return this->awaitsToken; }
  /// @return true while the known incarnation may carry out orders for previous ones
  [[nodiscard]] bool IsOpen() const { return this->isOpen; }
  /// @return true if an order with this token was meant for a previous incarnation
  [[nodiscard]] bool IsEarlier(std::uint64_t aToken) const { return aToken < this->token; }

  /// Called when the worker has started again.
  /// @param aLatest the highest token that this leader may use
  void OnRestarted(std::uint64_t aLatest)
  {
    this->isOpen = true;
    this->awaitsToken = true;
    this->OnTokenAvailable(aLatest);
  }
  /// Raises the token if the worker waits for a higher one.
  void OnTokenAvailable(std::uint64_t aLatest)
  {
    if (this->awaitsToken && aLatest > this->token) {
      this->token = aLatest;
      this->awaitsToken = false;
    }
  }
  /// Called when the known incarnation has responded to an order with this token.
  void OnResponse(std::uint64_t aToken)
  {
    this->isOpen = this->isOpen && (this->awaitsToken || aToken != this->token);
  }

private:
  std::uint64_t token = 0;
  bool awaitsToken = false;
  bool isOpen = true;
};

}
